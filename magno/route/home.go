package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

const (
	// coldHomes is the number of homes of an adapter that no target holds. With more
	// than one, a rarely used adapter would be loaded on each.
	coldHomes = 1
	// maxHomeHolders bounds the holders that are considered as homes.
	maxHomeHolders = 16
	// homeWaitStep is the difference of waits that counts. Among targets within one
	// step, keys are distributed by hash alone, which gives the same result on every
	// entry.
	homeWaitStep = 300 * magno.Millis(1)
	// maxHomeLoadWait caps the reported wait for a load. Keyed work isn't offered
	// elsewhere while its home is busy, so a hot adapter has to get a further replica
	// sooner than for other work. The harm of waiting for an adapter in such demand
	// grows faster than the report assumes, and its load is scheduled earlier.
	maxHomeLoadWait = 2 * magno.Second
	// homeProbes bounds the ring lookups for each further home, since two lookups may
	// return the same target.
	homeProbes = 4
)

var _ magno.HomeRouter = (*Router)(nil)

// home is a candidate home of a key. Homes are ordered by steps of wait, then by hash.
type home struct {
	peer  *peer
	steps int
	hash  uint64
}

// Homes returns the first n home targets of an idempotency key, in order. Entries with
// the same targets and reports return the same homes, so a request that is repeated
// through another entry reaches the agent whose ledger has the key. Failures are left
// out, since entries see different ones. While reports differ, a repeated request may
// reach another agent, which the witnesses refuse, naming the holder of the key; that
// costs extra hops and is safe.
//
// An adapter has as many homes as targets hold it, and one more once their waits exceed
// a load. With a fixed number, the homes of the hottest adapters would be full beside
// idle targets.
func (r *Router) Homes(request magno.Query, key string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup()
	hash := xxhash.Sum64String(key)
	var names []string
	ringKey := hash
	if request.Ref != (magno.Ref{}) {
		ringKey = uint64(request.Ref.Hash())
		for _, h := range r.adapterHomes(request, hash) {
			names = append(names, h.peer.name)
		}
	}
	for nth := 0; nth < homeProbes*max(n, 1) && len(names) < n; nth++ {
		p := r.ring.find(ringKey, nth)
		if p == nil {
			break
		}
		if !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	return names[:min(n, len(names))]
}

// adapterHomes lists the holders of an adapter and its hash candidates in the order for
// the key.
func (r *Router) adapterHomes(request magno.Query, key uint64) []home {
	q := &query{Query: request, now: r.Clock.Now(), hash: request.Ref.Hash(), maxLoadWait: maxHomeLoadWait}
	holders := r.holders[q.hash]
	homes := make([]home, 0, maxHomeHolders+hashCandidates)
	add := func(p *peer) int {
		if p == nil || !p.usable(q.now) || slices.ContainsFunc(homes, func(h home) bool { return h.peer == p }) {
			return 0
		}
		steps := int((r.workCost(p) + r.expectedWait(q, p)) / float64(homeWaitStep))
		homes = append(homes, home{p, steps, mix(key ^ xxhash.Sum64String(p.name))})
		return 1
	}
	for i := range min(maxHomeHolders, len(holders)) {
		add(holders[i])
	}
	count := coldHomes
	if len(homes) > 0 {
		count = hashCandidates // where a further replica would be loaded
	}
	for nth := 0; nth < homeProbes*hashCandidates && count > 0; nth++ {
		count -= add(r.ring.find(uint64(q.hash), nth))
	}
	slices.SortFunc(homes, func(a, b home) int {
		if a.steps != b.steps {
			return a.steps - b.steps
		}
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return homes
}
