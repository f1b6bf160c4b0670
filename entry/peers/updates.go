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

// compare starts a fetch from a peer if that knows something else than this process, unless the
// last one for the same pair of states made no difference.
func (p *Peers) compare(h *Hello) {
	mine := p.Book.Digest()
	ask := p.Book.Compare(h.Digest, h.Age+helloTimeout)
	pair := [2]view.Digest{mine, h.Digest}
	p.mu.Lock()
	tried := p.compared == pair
	p.mu.Unlock()
	if ask == view.AskNothing || (tried && ask != view.AskSince) || !p.startFetch(h.Addr, ask, causeHello) {
		return
	}
	p.mu.Lock()
	p.compared = pair
	p.mu.Unlock()
	if ask != view.AskSince {
		p.Log.Info("state differs", "from", h.Addr, "rev", mine.Revision, "theirs", h.Revision, "verified", mine.Verified)
	}
}

// startFetch starts a fetch of what a peer has and this process lacks. It returns false if one is
// in progress.
func (p *Peers) startFetch(addr string, ask view.Ask, cause fetchCause) bool {
	if !p.claimFetch() {
		return false
	}
	p.countFetch(cause)
	go func() {
		defer p.releaseFetch()
		p.fetch(context.Background(), addr, Since{Ask: ask, Revision: p.Book.Current().Revision}, p.fetchTimeout())
	}()
	return true
}

// fetchTimeout returns the timeout of the next fetch.
func (p *Peers) fetchTimeout() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(minFetchTimeout<<p.slowFetches, maxFetchTimeout)
}

// fetch sends a request for changes to a peer and applies them. The caller has claimed it.
func (p *Peers) fetch(ctx context.Context, addr string, req Since, timeout magno.Millis) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var u Update
	req.Stamp = p.stamp()
	err := p.Mesh.Call(ctx, addr, MethodItems, req, &u)
	p.mu.Lock()
	switch {
	case !errors.Is(err, context.DeadlineExceeded):
		p.slowFetches = 0
	case timeout >= minFetchTimeout && timeout < maxFetchTimeout:
		p.slowFetches++
	}
	p.mu.Unlock()
	if err != nil {
		p.Log.Info("fetching changes failed", "addr", addr, "since", req.Revision, "error", err)
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
