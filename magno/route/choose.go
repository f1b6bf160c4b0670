package route

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

// candidate is a target with the cost of sending the request there, in milliseconds.
type candidate struct {
	peer *peer
	cost float64
	// demoted is true when recent failures exclude the target from this choice; it then
	// sorts after all others.
	demoted bool
}

// query is a magno.Query with values that are the same for all candidates.
type query struct {
	magno.Query
	now  magno.Millis
	hash uint32
	// maxLoadWait caps the reported wait for an adapter load.
	maxLoadWait magno.Millis
}

// allows reports whether the query admits a target, whatever its state.
func (q *query) allows(p *peer) bool {
	return (q.Build == "" || q.Build == p.build) && !slices.Contains(q.Avoid, p.name)
}

// Route returns at most maxNames target names in order of preference.
func (r *Router) Route(q magno.Query) []string { return r.Choose(q).Names }

// Choose returns at most maxNames target names in order of preference, and the wait up
// to which the first is still the better choice. It considers a fixed number of
// candidates, so its cost doesn't grow with the fleet.
func (r *Router) Choose(q magno.Query) magno.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup()
	if q.DataCentre == "" {
		q.DataCentre = r.DataCentre
	}
	r.candidates = r.candidates[:0]
	full := query{Query: q, now: r.Clock.Now(), maxLoadWait: magno.Hour}
	switch {
	case q.Build != "":
		r.addAll(&full) // the few holders that are compared otherwise may all be of other builds
	case q.Ref == (magno.Ref{}):
		r.addRandom(&full)
	default:
		full.hash = q.Ref.Hash()
		r.addHolders(&full)
		r.addMemHolders(&full)
		r.addHashed(&full)
	}
	if len(r.candidates) == 0 && q.Build == "" {
		r.addAll(&full)
	}
	slices.SortStableFunc(r.candidates, compare)
	names := make([]string, 0, maxNames)
	for _, s := range r.candidates[:min(maxNames, len(r.candidates))] {
		names = append(names, s.peer.name)
	}
	c := magno.Choice{Names: names}
	if len(names) == 0 {
		c.RetryAfter = r.restLeft(&full)
	}
	if len(names) > 1 {
		first, second := r.candidates[0], r.candidates[1]
		c.MaxWait = magno.Millis(r.expectedWait(&full, first.peer)+max(second.cost-first.cost, 0)) + waitSlack
	}
	return c
}

// addAll adds all targets. A few drawn at random may all be at rest, or the adapter's holders
// and hash candidates, while others of the pool aren't.
func (r *Router) addAll(q *query) {
	points := r.ring.points
	if len(points) == 0 {
		return
	}
	first := r.rand.IntN(len(points)) // entries prefer different ones among equals
	for i := range points {
		r.add(q, points[(first+i)%len(points)].peer, 0)
	}
}

// restLeft returns the time until the first target ends its rest, zero if none rests.
func (r *Router) restLeft(q *query) magno.Millis {
	least := magno.Millis(0)
	for _, p := range r.peers {
		left := p.restUntil - q.now
		if left <= 0 || p.leaving || p.report.Down || !q.allows(p) {
			continue
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

func compare(a, b candidate) int {
	switch {
	case a.demoted != b.demoted && b.demoted:
		return -1
	case a.demoted != b.demoted:
		return 1
	case a.cost < b.cost:
		return -1
	case a.cost > b.cost:
		return 1
	}
	return 0
}

// addRandom adds candidates for work without an adapter. Any target can serve it, so
// each request draws its own few.
func (r *Router) addRandom(q *query) {
	key := r.rand.Uint64()
	for nth := range 2 * maxNames {
		r.add(q, r.ring.find(key, nth), 0)
	}
}

// addHolders adds targets that have the adapter loaded. The hash of the prompt's prefix
// selects the first of them, so that requests that share a prefix find it in an
// engine's cache.
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
	for i := range min(maxHolders, len(list)) {
		p := list[(int(first)+i)%len(list)]
		r.add(q, p, magno.Millis(i)*step)
	}
}

// addMemHolders adds targets that have the adapter in host memory and load it without
// the weight store.
func (r *Router) addMemHolders(q *query) {
	list := r.memHolders[q.hash]
	for _, p := range list[:min(maxMemHolders, len(list))] {
		r.add(q, p, 0)
	}
}

// addHashed adds the adapter's hash candidates, the targets that come first on the ring
// for its hash and don't hold it. For each target that the query avoids, one more is
// considered. Targets without their base model are added but not counted: loading it
// takes seconds, and a request that knew no other candidate would wait at a full holder
// beside idle targets. Targets whose streams pause for too long aren't counted either.
//
// An adapter that becomes hot within a second needs a dozen replicas. If all entries
// chose the same next target, the replicas would be made one after the other, and each
// would be full as soon as its load ends. With n replicas, the candidates therefore
// begin at a random one of the first n: the number of replicas can double with each
// load, while an adapter with one replica or none has the same candidates on all
// entries.
func (r *Router) addHashed(q *query) {
	skip, found, extra := 0, 0, magno.Millis(0)
	if n := len(r.holders[q.hash]); n > 1 {
		skip = r.rand.IntN(n)
	}
	limit := hashCandidates + len(q.Avoid)
	for nth := 0; nth < maxHashScan+2*len(q.Avoid) && found < limit; nth++ {
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
		if ready && pauseCost(q, p) < float64(r.Tuning.HashStep) {
			found++
		}
	}
}

// add appends a candidate and reports whether it did. Targets that are unusable,
// avoided by the query or already listed are left out.
func (r *Router) add(q *query, p *peer, extra magno.Millis) bool {
	if p == nil || !p.usable(q.now) || !q.allows(p) {
		return false
	}
	for i := range r.candidates {
		if r.candidates[i].peer == p {
			return false
		}
	}
	weight := p.updateWeight(q.now)
	r.candidates = append(r.candidates, candidate{peer: p, cost: r.expectedCost(q, p) + float64(extra),
		demoted: weight < 1 && r.rand.Float64() >= weight})
	return true
}

// expectedCost returns the time that the work is expected to take at p beyond that at
// an idle target that holds the adapter.
func (r *Router) expectedCost(q *query, p *peer) float64 {
	wait := r.workCost(p) + r.expectedWait(q, p)
	if excess := p.slowdown(q.now) - 1; excess > 0 {
		wait += excess * math.Exp(r.logPace) * float64(q.Work)
	}
	if p.dc != q.DataCentre {
		wait += float64(r.Tuning.RemoteCost)
	}
	return wait + pauseCost(q, p)
}

// pauseCost returns the cost of stream pauses at p: q.Aim, the time within which the
// first event is due, times the share of streams expected to pause for longer than
// q.Gap.
//
// Some engines of a pool take two or three times as long for an event as others. They
// look idle, since nothing queues there and their answers begin in time, but whenever a
// prompt is read between two events, the pause is longer than the route allows. The
// longest pauses of an engine's streams are distributed about exponentially, so their
// average gives the share that exceeds the limit.
func pauseCost(q *query, p *peer) float64 {
	if q.Gap <= 0 || p.report.EventGap <= 0 {
		return 0
	}
	return float64(q.Aim) * math.Exp(-float64(q.Gap)/float64(p.report.EventGap))
}

// workCost returns the delay caused by work sent since the last report, and by a share
// of all outstanding work at p.
func (r *Router) workCost(p *peer) float64 {
	tokenDelay := r.tokenDelay
	if p.report.Rate > 0 {
		tokenDelay = 1 / p.report.Rate
	}
	return (float64(p.sentWork) + r.Tuning.WorkWeight*float64(max(p.report.Work, p.outstanding))) * tokenDelay
}

// expectedWait returns the wait that p reported for a place in the batch and for the
// adapter. The wait for a place decays with the age of the report, except for the part that
// is a rest of the upstream: that lasts until its end, and not longer.
func (r *Router) expectedWait(q *query, p *peer) float64 {
	age := q.now - p.reportedAt
	beyondRest := max(p.queueWait(q.Customer)-p.report.Rest, 0)
	wait := float64(beyondRest)*decay(age, reportHalfLife) + float64(max(p.report.Rest-age, 0))
	if q.hash == 0 {
		return wait
	}
	if p.holds(q.hash) {
		return wait
	}
	if _, coming := slices.BinarySearch(p.report.Loading, q.hash); coming {
		return max(wait, float64(r.Tuning.MinLoad))
	}
	if _, inMemory := slices.BinarySearch(p.report.Cached, q.hash); inMemory {
		return max(wait, float64(min(p.report.CachedWait, q.maxLoadWait))) + float64(r.Tuning.LoadMargin)
	}
	load := min(max(p.report.LoadWait, r.Tuning.MinLoad), q.maxLoadWait)
	return max(wait, float64(load)) + float64(r.Tuning.LoadMargin)
}
