package peers

import (
	"context"
	"encoding/json"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

func (p *Peers) onHello(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	p.heard(&h)
	return p.self(), nil
}

func (p *Peers) onNews(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var n News
	if err := json.Unmarshal(params, &n); err != nil {
		p.Log.Warn("news", "error", err)
		return nil, err
	}
	p.Book.Heard(n.Changes, n.Since, n.Revision, n.Age)
	return nil, nil
}

func (p *Peers) onItems(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var s Since
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	changes, revision, age := p.Book.Since(s.Revision)
	return News{Changes: changes, Since: s.Revision, Revision: revision, Age: age}, nil
}
