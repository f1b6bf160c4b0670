package peers

import (
	"context"
	"encoding/json"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

func (p *Peers) onHello(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	came := p.Book.Clock.Now()
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	p.heard(&h)
	reply := p.self(h.Crowd)
	reply.Proof = p.prove(stamped{stamp: h.Stamp, came: came})
	return reply, nil
}

func (p *Peers) onNews(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var n News
	if err := json.Unmarshal(params, &n); err != nil {
		p.Log.Warn("news", "error", err)
		return nil, err
	}
	p.mu.Lock()
	p.told = max(p.told, n.Revision)
	p.mu.Unlock()
	p.take(&n, n.From)
	p.follow(n.From, n.Revision) // where news before these were lost
	return nil, nil
}

func (p *Peers) onItems(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	came := p.Book.Clock.Now()
	var s Since
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	proof := p.prove(stamped{stamp: s.Stamp, came: came})
	return News{News: p.Book.Since(s.Revision), Proof: proof}, nil
}
