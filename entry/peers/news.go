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

// follow fetches what a peer knows and this process doesn't, one fetch at a
// time.
func (p *Peers) follow(addr string, revision int64) {
	p.mu.Lock()
	mine := p.Book.Current().Revision
	pull := revision > mine && !p.pulling
	p.pulling = p.pulling || pull
	p.mu.Unlock()
	if pull {
		go p.pull(addr, mine)
	}
}

// pullLimit bounds the next fetch.
func (p *Peers) pullLimit() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(pullTime<<p.pulls, pullMost)
}

// pull fetches the changes that a peer has and this process hasn't.
func (p *Peers) pull(addr string, since int64) {
	limit := p.pullLimit()
	ctx, cancel := context.WithTimeout(context.Background(), limit.Span())
	defer cancel()
	var n Update
	err := p.Mesh.Call(ctx, addr, MethodItems, Since{Revision: since, Stamp: p.stamp()}, &n)
	p.mu.Lock()
	p.pulling = false
	switch {
	case !errors.Is(err, context.DeadlineExceeded):
		p.pulls = 0
	case limit < pullMost:
		p.pulls++
	}
	p.mu.Unlock()
	if err != nil {
		p.Log.Info("pull", "addr", addr, "since", since, "error", err)
		return
	}
	p.take(&n, addr)
}

// take brings what a peer told into the book, and returns up to which revision that was.
// What can't be used is fetched later.
func (p *Peers) take(n *Update, from string) (revision int64) {
	var told view.Update
	if err := json.Unmarshal(n.Payload, &told); err != nil {
		p.Log.Warn("news", "from", from, "error", err)
		return 0
	}
	if p.heed(told, from) {
		p.vouch(n.Proof)
	}
	return told.Revision
}

// heed is take for decoded news; false when they can't be used.
func (p *Peers) heed(told view.Update, from string) bool {
	err := p.Book.ApplyUpdate(told)
	if err != nil {
		p.Log.Info("news left", "from", from, "rev", told.Revision, "error", err)
	}
	return err == nil
}

// Push tells all peers what was read.
func (p *Peers) Broadcast(n view.Update) {
	select {
	case p.news <- n:
	default: // they see the higher revision in the next hello, and ask
		p.Log.Warn("news dropped", "changes", len(n.Changes), "rev", n.Revision)
	}
}

// spread tells all peers what was read, unless another process did meanwhile.
func (p *Peers) spread(ctx context.Context, n view.Update) {
	if hold := p.holdBack(); hold > 0 {
		if !magno.Pause(ctx, hold) || p.toldBy(n.Revision) {
			return
		}
	}
	told, err := json.Marshal(n) // once for all
	if err != nil {
		p.Log.Error("news", "rev", n.Revision, "error", err)
		return
	}
	stamps := p.alive()
	p.Mesh.NotifyAll(ctx, slices.Collect(maps.Keys(stamps)), MethodUpdate, newsTime,
		func(addr string) any { return Update{Payload: told, From: p.Addr, Proof: p.prove(stamps[addr])} },
		func(addr string, err error) { p.Log.Info("news", "addr", addr, "rev", n.Revision, "error", err) })
}

// alive maps the addresses of the other entries that answer to their last stamps.
func (p *Peers) alive() map[string]stamped {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]stamped, len(p.known))
	for addr, k := range p.known {
		if k.alive {
			list[addr] = k.stamped
		}
	}
	return list
}
