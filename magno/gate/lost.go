package gate

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno"
)

const (
	// arrivalTime is how long an admitted request may take to reach the engine and to be counted in its reports.
	arrivalTime = magno.Second
	// lostDelay is for how long no report of the engine must name a request: its end may be on its way.
	lostDelay = 300 * magno.Millis(1)
)

// endLost ends admitted requests that the engine no longer has, though nobody reported their ends: their
// entries were killed. The report was requested at the time asked.
func (g *Gate) endLost(r *magno.Report, asked magno.Millis) {
	count := r.Running + r.Queued
	g.countsRequests = g.countsRequests || count > 0
	if !g.countsRequests {
		return
	}
	named := make(map[string]bool, len(r.Streams))
	for _, s := range r.Streams {
		named[s.ID] = true
	}
	arrived := 0
	var lost []string
	for id, a := range g.active {
		switch {
		case named[attemptID(id)]:
			a.unnamedSince = 0
		case a.unnamedSince == 0:
			a.unnamedSince = asked
		}
		if a.grantedAt+arrivalTime > asked {
			continue
		}
		arrived++
		if a.unnamedSince > 0 && asked-a.unnamedSince >= lostDelay {
			lost = append(lost, id)
		}
	}
	excess := min(arrived-count, len(lost))
	if excess <= 0 {
		return
	}
	// Those that have answered and don't any more come first, then the oldest.
	slices.SortFunc(lost, func(a, b string) int {
		x, y := g.active[a], g.active[b]
		return cmp.Or(cmp.Compare(min(y.events, 1), min(x.events, 1)), cmp.Compare(x.grantedAt, y.grantedAt), cmp.Compare(a, b))
	})
	for _, id := range lost[:excess] {
		g.Done(id, false)
	}
}
