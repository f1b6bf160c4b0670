package gate

import "magnoliastall.example/magno"

// NameLimit takes a limit that the engine stated at the given time, in requests per second from
// all entries together, and reports whether it is new.
//
// Load pattern: an engine that is short of resources names a limit far below its share of the
// traffic, and requests keep arriving for the adapters that only it has loaded. Its permits are
// granted here for all entries, so the limit holds whatever their number.
func (g *Gate) NameLimit(rate float64, statedAt magno.Millis) (changed bool) {
	g.setup()
	if g.restartedAt > 0 && statedAt <= g.restartedAt {
		return false // an entry has not noticed the restart
	}
	return g.limiter.Name(rate, statedAt, g.Clock.Now())
}

// RestartAge returns the time since the engine was last seen to have restarted under the same
// name, zero if it wasn't.
func (g *Gate) RestartAge() magno.Millis {
	if g.restartedAt == 0 {
		return 0
	}
	return max(g.Clock.Now()-g.restartedAt, 1)
}

// EndLimit takes an answer without a limit to an admitted request, and reports whether that
// ended the limit.
func (g *Gate) EndLimit(id string) (changed bool) {
	g.setup()
	r := g.active[id]
	return r != nil && g.limiter.End(r.grantedAt, g.Clock.Now())
}

// Limit returns what is known of the engine's limit, nil if nothing is.
func (g *Gate) Limit() *magno.LimitState { return g.limiter.State(g.Clock.Now()) }

// applyNotice takes what the engine stated in a report that was requested at the time asked.
func (g *Gate) applyNotice(n *magno.Notice, asked magno.Millis) {
	switch {
	case n.Limited:
		g.reportsLimit = true
		g.limiter.Name(n.Rate, asked, g.Clock.Now())
	case g.reportsLimit:
		g.limiter.End(asked, g.Clock.Now())
	}
	switch {
	case n.Leaving:
		g.reportsLeaving = true
		g.SetLeaving()
	case g.reportsLeaving:
		g.leavingAt, g.reportsLeaving = 0, false
	}
}

// SetLeaving takes the engine's statement in an answer that it leaves, and reports whether that is
// new. It holds until the engine restarts.
func (g *Gate) SetLeaving() (changed bool) {
	if g.leavingAt > 0 {
		return false
	}
	g.leavingAt = g.Clock.Now()
	return true
}

// LeavingAge returns the time since the engine first stated that it leaves, zero if it didn't.
func (g *Gate) LeavingAge() magno.Millis {
	if g.leavingAt == 0 {
		return 0
	}
	return max(g.Clock.Now()-g.leavingAt, 1)
}

// isLeaving reports whether the engine leaves, by its own statement or by the list.
func (g *Gate) isLeaving() bool { return g.leavingAt > 0 || g.spec.Leaving }
