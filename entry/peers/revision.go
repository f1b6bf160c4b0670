package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

const (
	// maxFetchPeers is the number of peers that are asked in turn for a revision.
	maxFetchPeers = 3
	// firstFetchTimeout bounds the first of these calls: a request that waits for the list does so
	// for up to 300 ms, and another peer must have time to answer if the first one is gone.
	firstFetchTimeout = 120 * magno.Millis(1)
)

// fetchCause is why changes are fetched, as the label of fetches_total.
type fetchCause string

const (
	causeHello       fetchCause = "hello"       // a peer's hello has another state
	causeUpdate      fetchCause = "update"      // an update starts after the known state
	causeIncarnation fetchCause = "incarnation" // an agent has the spec of a later incarnation
)

// wantedRevision is a revision that an agent has and this process doesn't.
type wantedRevision struct {
	revision magno.Revision
	// missed is the highest revision that none of the asked peers had, at missedAt.
	missed   magno.Revision
	missedAt magno.Millis
}

// FetchRevision has the changes of the list up to a revision fetched from a peer. It doesn't block.
//
// Load pattern: after a loss of power, agents learn of the new incarnations of their engines from
// the entries that heard of them first. All requests of the other entries are refused until the next
// hello brings the changes. Many requests then call this at once: one fetch at a time serves them
// all, none is made for a known revision, and one that no peer had is asked for again only after
// the time between two hellos.
func (p *Peers) FetchRevision(revision magno.Revision) {
	p.mu.Lock()
	p.wanted.revision = max(p.wanted.revision, revision)
	p.mu.Unlock()
	p.wakeFetch()
}

// wakeFetch makes Run fetch the wanted revision if there is reason to.
func (p *Peers) wakeFetch() {
	if !p.shouldFetch() {
		return
	}
	select {
	case p.fetchWakeup <- struct{}{}:
	default: // a wakeup is pending
	}
}

// shouldFetch reports whether a wanted revision is unknown and hasn't been missed just now.
func (p *Peers) shouldFetch() bool {
	known, now := p.Book.Digest().Revision, p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.wanted
	return w.revision > known && (w.revision > w.missed || now-w.missedAt >= helloInterval)
}

// fetchWanted fetches the wanted revision from the peers that most likely have it, one after the
// other, unless a fetch is in progress. The end of that fetch wakes Run again.
func (p *Peers) fetchWanted(ctx context.Context) {
	if !p.claimFetch() {
		return
	}
	defer p.releaseFetch()
	if !p.shouldFetch() {
		return // another fetch brought it meanwhile
	}
	p.mu.Lock()
	revision, timeout := p.wanted.revision, firstFetchTimeout
	p.mu.Unlock()
	for _, addr := range p.likelyHolders(revision) {
		p.countFetch(causeIncarnation)
		p.fetch(ctx, addr, Since{Ask: view.AskSince, Revision: p.Book.Current().Revision}, timeout)
		if p.Book.Digest().Revision >= revision || ctx.Err() != nil {
			return
		}
		timeout = p.fetchTimeout()
	}
	p.mu.Lock()
	p.wanted.missed, p.wanted.missedAt = revision, p.Clock.Now()
	p.mu.Unlock()
	p.Log.Info("no peer has the revision", "rev", revision, "known", p.Book.Digest().Revision)
}

// likelyHolders returns the addresses of a few live peers: first those that have the revision by
// their last hello, in random order, so that a fleet that learns of it at once doesn't ask the same
// one; then the others in the order of readers, who have it before their hellos say so.
func (p *Peers) likelyHolders(revision magno.Revision) []string {
	type candidate struct {
		rank   rank
		has    bool
		random uint64
	}
	var list []candidate
	p.mu.Lock()
	for _, k := range p.known {
		if k.alive {
			list = append(list, candidate{rank: k.rank, has: k.hello.Revision >= revision, random: rand.Uint64()})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.has && b.has:
			return cmp.Compare(a.random, b.random)
		case a.has:
			return -1
		case b.has:
			return 1
		}
		return compareRanks(a.rank, b.rank)
	})
	var addrs []string
	for _, c := range list[:min(len(list), maxFetchPeers)] {
		addrs = append(addrs, c.rank.addr)
	}
	return addrs
}

// claimFetch returns false if a fetch is in progress. Otherwise the caller may fetch, and calls
// releaseFetch afterwards.
func (p *Peers) claimFetch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching {
		return false
	}
	p.fetching = true
	return true
}

func (p *Peers) releaseFetch() {
	p.mu.Lock()
	p.fetching = false
	p.mu.Unlock()
	p.wakeFetch()
}

func (p *Peers) countFetch(cause fetchCause) {
	metrics.GetOrCreateCounter(`fetches_total{cause="` + string(cause) + `"}`).Inc()
}
