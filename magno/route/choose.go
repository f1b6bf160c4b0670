package route

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// scored is a candidate with its cost in milliseconds.
type scored struct {
	peer *peer
	cost float64
	// eased is true when a failing target is passed over this time.
	eased bool
}

// query is a magno.Query with what all candidates share.
type query struct {
	magno.Query
	now  magno.Millis
	hash uint32
	// most bounds the reported wait for a load.
	most magno.Millis
}

// Route returns names in order of preference, at most a few.
func (r *Router) Route(q magno.Query) []string { return r.Choose(q).Names }

// Choose returns names in order of preference, at most a few, and how long a wait
// the first is worth. The work is the same in a fleet of any size: a fixed number
// of candidates is looked at.
func (r *Router) Choose(q magno.Query) magno.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup()
	if q.DataCentre == "" {
		q.DataCentre = r.DataCentre
	}
	r.list = r.list[:0]
	full := query{Query: q, now: r.Clock.Now(), most: magno.Hour}
	if q.Ref == (magno.Ref{}) {
		r.any(&full)
	} else {
		full.hash = q.Ref.Hash()
		r.addHolders(&full)
		r.addKeepers(&full)
		r.addHashed(&full)
	}
	slices.SortStableFunc(r.list, compare)
	names := make([]string, 0, most)
	for _, s := range r.list[:min(most, len(r.list))] {
		names = append(names, s.peer.name)
	}
	c := magno.Choice{Names: names}
	if len(names) > 1 {
		first, second := r.list[0], r.list[1]
		c.Most = magno.Millis(r.waitAt(&full, first.peer)+max(second.cost-first.cost, 0)) + mostSlack
	}
	return c
}

func compare(a, b scored) int {
	switch {
	case a.eased != b.eased && b.eased:
		return -1
	case a.eased != b.eased:
		return 1
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	}
	return 0
}

// any adds candidates for work without an adapter: any target will do, so
// each request looks at its own few.
func (r *Router) any(q *query) {
	key := r.rand.Uint64()
	for nth := range 2 * most {
		r.add(q, r.ring.find(key, nth), 0)
	}
}

// addHolders adds targets that hold the adapter. A prompt's start chooses the
// first of them, so that its cached prefix is found again.
func (r *Router) addHolders(q *query) {
	list := r.holders[q.hash]
	if len(list) == 0 {
		return
	}
	first, step := r.rand.Uint64(), magno.Millis(0)
	if q.Prefix != 0 {
		first, step = mix(q.Prefix), r.Tuning.PrefixStep
	}
	first %= uint64(len(list))
	for i := range min(held, len(list)) {
		p := list[(int(first)+i)%len(list)]
		r.add(q, p, magno.Millis(i)*step)
	}
}

// addKeepers adds targets that have the adapter in their memory.
func (r *Router) addKeepers(q *query) {
	list := r.keepers[q.hash]
	for _, p := range list[:min(kept, len(list))] {
		r.add(q, p, 0)
	}
}

// addHashed adds the adapter's hash candidates among the targets that don't hold
// it. When the query avoids some, as many more are looked at. Those without their base
// model don't count: they take seconds to load it, and a request that knew only of such
// would wait at a full holder beside idle targets. Nor do those whose streams pause for
// too long.
//
// Load pattern: one adapter becomes hot within a second, and needs a dozen replicas.
// If all entries took the same next one, replicas would come one after the other, and
// each would be full as soon as its load ends. So the candidates begin at one of as
// many as there are replicas: their number doubles with each load, and an adapter
// with one replica or none still has the same home for all.
func (r *Router) addHashed(q *query) {
	skip, found, extra := 0, 0, magno.Millis(0)
	if n := len(r.holders[q.hash]); n > 1 {
		skip = r.rand.IntN(n)
	}
	most := hashed + len(q.Avoid)
	for nth := 0; nth < reach+2*len(q.Avoid) && found < most; nth++ {
		p := r.ring.find(uint64(q.hash), nth)
		if p == nil || p.holds(q.hash) {
			continue
		}
		ready := p.report.BaseWait == 0
		if ready && skip > 0 {
			skip--
			continue
		}
		if !r.add(q, p, extra) {
			continue
		}
		extra += r.Tuning.HashStep
		if ready && lateAt(q, p) < float64(r.Tuning.HashStep) {
			found++
		}
	}
}

// add adds a candidate once; it returns whether it did.
func (r *Router) add(q *query, p *peer, extra magno.Millis) bool {
	if p == nil || !p.usable() || slices.Contains(q.Avoid, p.name) {
		return false
	}
	for i := range r.list {
		if r.list[i].peer == p {
			return false
		}
	}
	share := p.share(q.now)
	r.list = append(r.list, scored{peer: p, cost: r.costOf(q, p) + float64(extra),
		eased: share < 1 && r.rand.Float64() >= share})
	return true
}

// costOf is the time that work is expected to take at p, over that at an idle
// target that holds the adapter.
func (r *Router) costOf(q *query, p *peer) float64 {
	wait := r.busyAt(p) + r.waitAt(q, p)
	if slow := p.factor(q.now) - 1; slow > 0 {
		wait += slow * math.Exp(r.pace) * float64(q.Work)
	}
	if p.dc != q.DataCentre {
		wait += float64(r.Tuning.RemoteCost)
	}
	return wait + lateAt(q, p)
}

// lateAt is what the pauses of streams at p cost: as much as a wait as long as the aim,
// where they make the answer late for certain.
//
// Load pattern: some engines of a pool take two or three times as long as others for an
// event. They look idle, for nothing waits there, and their answers begin in time; but
// whenever a prompt is read between two events, the pause is longer than the route allows.
// The longest pauses of an engine's streams are spread about exponentially, so their
// average tells how many of them exceed that.
func lateAt(q *query, p *peer) float64 {
	if q.Gap <= 0 || p.report.Pause <= 0 {
		return 0
	}
	return float64(q.Aim) * math.Exp(-float64(q.Gap)/float64(p.report.Pause))
}

// busyAt is the cost of work sent since the last report, and of all that p has
// to do.
func (r *Router) busyAt(p *peer) float64 {
	cost := r.cost
	if p.report.Rate > 0 {
		cost = 1 / p.report.Rate
	}
	return (float64(p.fresh) + r.Tuning.WorkWeight*float64(max(p.report.Work, p.open))) * cost
}

// waitAt is the wait that p reported, aged, for a place and for the adapter.
func (r *Router) waitAt(q *query, p *peer) float64 {
	wait := float64(p.placeWait(q.Customer)) * half(q.now-p.at, reportHalf)
	if q.hash == 0 {
		return wait
	}
	if p.holds(q.hash) {
		return wait
	}
	if _, coming := slices.BinarySearch(p.report.Coming, q.hash); coming {
		return max(wait, float64(r.Tuning.MinLoad))
	}
	if _, kept := slices.BinarySearch(p.report.Kept, q.hash); kept {
		return max(wait, float64(min(p.report.KeptWait, q.most))) + float64(r.Tuning.LoadMargin)
	}
	load := min(max(p.report.LoadWait, r.Tuning.MinLoad), q.most)
	return max(wait, float64(load)) + float64(r.Tuning.LoadMargin)
}
