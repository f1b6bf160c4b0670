package gate

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno"
)

const (
	// arrivalTime is how long an admitted request may take to reach the engine and to be counted in its reports.
	arrivalTime = magno.Second
	// lostDelay is for how long the engine must report fewer requests than were admitted: the ends of some may
	// be on their way.
	lostDelay = 300 * magno.Millis(1)
)

// endLost ends admitted requests that the engine no longer has, though nobody reported their ends: their
// entries were killed. The report was requested at the time asked.
func (g *Gate) endLost(r *magno.Report, asked magno.Millis) {
	g.countsRequests = g.countsRequests || r.Running+r.Queued > 0
	if !g.countsRequests {
		return
	}
	running := map[string]bool{}
	for _, s := range r.Streams {
		running[s.ID] = true
	}
	var arrived, silent []string
	for id, a := range g.active {
		if a.grantedAt+arrivalTime > asked {
			continue
		}
		arrived = append(arrived, id)
		if !running[attemptID(id)] {
			silent = append(silent, id)
		}
	}
	excess := min(len(arrived)-r.Running-r.Queued, len(silent))
	if excess <= 0 {
		g.lostSince = 0
		return
	}
	if g.lostSince == 0 {
		g.lostSince = asked
	}
	if asked-g.lostSince < lostDelay {
		return
	}
	// Those that have answered and don't any more come first, then the oldest.
	slices.SortFunc(silent, func(a, b string) int {
		x, y := g.active[a], g.active[b]
		return cmp.Or(cmp.Compare(min(y.events, 1), min(x.events, 1)), cmp.Compare(x.grantedAt, y.grantedAt), cmp.Compare(a, b))
	})
	for _, id := range silent[:excess] {
		g.Done(id, false)
	}
}
