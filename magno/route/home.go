package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

const (
	// homeSpread is how many targets share the keys of an adapter that nobody
	// holds. With more than one, a rarely used adapter is loaded on each.
	homeSpread = 1
	// homeHeld bounds the holders that are looked at.
	homeHeld = 16
	// homeStep is the difference of waits that counts. Under it keys are
	// spread over the holders by hash alone, the same on every entry.
	homeStep = 300 * magno.Millis(1)
	// homeLoad bounds the reported wait for a load. Keyed work isn't offered
	// elsewhere when its home is busy, so a hot adapter gets a further replica
	// sooner than for other work; one that is asked for that often gathers
	// harm, and with it a turn, faster than the report says.
	homeLoad = 2 * magno.Second
	// homeTries bounds the look for further homes: two choices of a ring may
	// be the same target.
	homeTries = 4
)

var _ magno.Homer = (*Router)(nil)

// home is a candidate for a key: the fewest steps of wait first, then by hash.
type home struct {
	peer  *peer
	steps int
	hash  uint64
}

// Homes returns the targets that are home to an idempotency key, the first n
// in order. Entries that know the same targets and reports return the same, so
// a caller's second request through another entry meets the first one's
// ledger; failures, which entries see differently, have no say. Where reports
// differ for a moment, the second request comes to another agent, which the
// witnesses refuse and which names the holder of the key: that costs hops, and
// is safe. An adapter has as many homes as upstreams hold it, and one more
// once their waits exceed a load; with a fixed number its hottest adapters
// would find their homes full beside idle upstreams.
func (r *Router) Homes(asked magno.Query, key string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup()
	hash := xxhash.Sum64String(key)
	var names []string
	spread := hash
	if asked.Ref != (magno.Ref{}) {
		spread = uint64(asked.Ref.Hash())
		for _, h := range r.homesOf(asked, hash) {
			names = append(names, h.peer.name)
		}
	}
	for nth := 0; nth < homeTries*max(n, 1) && len(names) < n; nth++ {
		p := r.ring.find(spread, nth)
		if p == nil {
			break
		}
		if !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	return names[:min(n, len(names))]
}

// homesOf lists the holders of an adapter and its hash candidates in the
// key's order.
func (r *Router) homesOf(asked magno.Query, key uint64) []home {
	q := &query{Query: asked, now: r.Clock.Now(), hash: asked.Ref.Hash(), most: homeLoad}
	holders := r.holders[q.hash]
	homes := make([]home, 0, homeHeld+hashed)
	add := func(p *peer) int {
		if p == nil || !p.usable() || slices.ContainsFunc(homes, func(h home) bool { return h.peer == p }) {
			return 0
		}
		steps := int((r.busyAt(p) + r.waitAt(q, p)) / float64(homeStep))
		homes = append(homes, home{p, steps, mix(key ^ xxhash.Sum64String(p.name))})
		return 1
	}
	for i := range min(homeHeld, len(holders)) {
		add(holders[i])
	}
	count := homeSpread
	if len(homes) > 0 {
		count = hashed // where a further replica would be
	}
	for nth := 0; nth < homeTries*hashed && count > 0; nth++ {
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
