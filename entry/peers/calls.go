package peers

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

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
	reply := p.self(h.MemberHash, h.KnownCount)
	reply.Proof = p.prove(stamped{stamp: h.Stamp, came: came})
	return reply, nil
}

func (p *Peers) onNews(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var n Update
	if err := json.Unmarshal(params, &n); err != nil {
		p.Log.Warn("news", "error", err)
		return nil, err
	}
	revision := p.take(&n, n.From)
	p.mu.Lock()
	p.told = max(p.told, revision)
	p.mu.Unlock()
	p.follow(n.From, revision) // where news before these were lost
	return nil, nil
}

func (p *Peers) onItems(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	came := p.Book.Clock.Now()
	var s Since
	if err := json.Unmarshal(params, &s); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	proof := p.prove(stamped{stamp: s.Stamp, came: came})
	told, err := json.Marshal(p.Book.Since(s.Revision))
	if err != nil {
		return nil, errors.Wrap(err, "items")
	}
	return Update{Payload: told, Proof: proof}, nil
}
