package peers

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

func (p *Peers) onHello(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	receivedAt := p.Book.Clock.Now()
	var h Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	p.applyHello(&h)
	reply := p.newHello(h.MemberHash, h.KnownCount)
	reply.EndReport = p.replyEnds(&h)
	reply.Proof = p.freshnessProof(receivedStamp{stamp: h.Stamp, receivedAt: receivedAt})
	return reply, nil
}

func (p *Peers) onUpdate(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var u Update
	if err := json.Unmarshal(params, &u); err != nil {
		p.Log.Warn("malformed update", "error", err)
		return nil, err
	}
	revision := p.receive(&u, u.From)
	p.mu.Lock()
	p.receivedRevision = max(p.receivedRevision, revision)
	p.mu.Unlock()
	if revision > p.Book.Digest().Revision { // earlier updates were lost
		p.startFetch(u.From, view.AskSince, causeUpdate)
	}
	return nil, nil
}

func (p *Peers) onItems(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	receivedAt := p.Book.Clock.Now()
	var req Since
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	proof := p.freshnessProof(receivedStamp{stamp: req.Stamp, receivedAt: receivedAt})
	payload, err := json.Marshal(p.Book.Answer(req.Ask, req.Revision))
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return Update{Payload: payload, Proof: proof}, nil
}
