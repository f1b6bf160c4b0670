package peers

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// fetchIfNewer fetches the changes that a peer has and this process lacks, one fetch at a
// time.
func (p *Peers) fetchIfNewer(addr string, revision magno.Revision) {
	p.mu.Lock()
	mine := p.Book.Current().Revision
	needed := revision > mine && !p.fetching
	p.fetching = p.fetching || needed
	p.mu.Unlock()
	if needed {
		go p.fetch(addr, mine)
	}
}

// fetchTimeout returns the timeout of the next fetch.
func (p *Peers) fetchTimeout() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(minFetchTimeout<<p.slowFetches, maxFetchTimeout)
}

// fetch requests the changes after a revision from a peer.
func (p *Peers) fetch(addr string, since magno.Revision) {
	timeout := p.fetchTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	var u Update
	err := p.Mesh.Call(ctx, addr, MethodItems, Since{Revision: since, Stamp: p.stamp()}, &u)
	p.mu.Lock()
	p.fetching = false
	switch {
	case !errors.Is(err, context.DeadlineExceeded):
		p.slowFetches = 0
	case timeout < maxFetchTimeout:
		p.slowFetches++
	}
	p.mu.Unlock()
	if err != nil {
		p.Log.Info("fetching changes failed", "addr", addr, "since", since, "error", err)
		return
	}
	p.receive(&u, addr)
}

// receive applies an update from a peer and returns its revision. What can't be applied is
// fetched later.
func (p *Peers) receive(u *Update, from string) (revision magno.Revision) {
	var update view.Update
	if err := json.Unmarshal(u.Payload, &update); err != nil {
		p.Log.Warn("malformed update", "from", from, "error", err)
		return 0
	}
	if p.apply(update, from) {
		p.acceptProof(u.Proof)
	}
	return update.Revision
}

// apply applies decoded changes to the book; it returns false if that fails.
func (p *Peers) apply(update view.Update, from string) bool {
	err := p.Book.ApplyUpdate(update)
	if err != nil {
		p.Log.Info("news left", "from", from, "rev", update.Revision, "error", err)
	}
	return err == nil
}

// Broadcast queues what was read from the list, to be sent to all peers.
func (p *Peers) Broadcast(u view.Update) {
	select {
	case p.updates <- u:
	default: // peers see the higher revision in the next hello and fetch the changes
		p.Log.Warn("update queue full; update dropped", "changes", len(u.Changes), "rev", u.Revision)
	}
}

// sendToAll sends what was read to all peers, unless another process did meanwhile.
func (p *Peers) sendToAll(ctx context.Context, u view.Update) {
	if delay := p.broadcastDelay(); delay > 0 {
		if !magno.Sleep(ctx, delay) || p.received(u.Revision) {
			return
		}
	}
	payload, err := json.Marshal(u) // encoded once for all peers
	if err != nil {
		p.Log.Error("encoding update failed", "rev", u.Revision, "error", err)
		return
	}
	stamps := p.aliveStamps()
	p.Mesh.NotifyAll(ctx, slices.Collect(maps.Keys(stamps)), MethodUpdate, updateTimeout,
		func(addr string) any {
			return Update{Payload: payload, From: p.Addr, Proof: p.freshnessProof(stamps[addr])}
		},
		func(addr string, err error) {
			p.Log.Info("sending update failed", "addr", addr, "rev", u.Revision, "error", err)
		})
}

// aliveStamps maps the addresses of the other live entries to their last stamps.
func (p *Peers) aliveStamps() map[string]receivedStamp {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]receivedStamp, len(p.known))
	for addr, k := range p.known {
		if k.alive {
			list[addr] = k.lastStamp
		}
	}
	return list
}
