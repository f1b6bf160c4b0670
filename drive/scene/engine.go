package scene

import (
	"maps"
	"slices"

	"magnoliastall.example/magno"
)

// stepEngine advances an engine by one tick and executes the decisions of its agent.
func (s *Scenario) stepEngine(i int, e *engine) {
	now := s.clock.Now()
	if at, ok := s.JoinAt[i]; ok && e.down && now >= startTime+at {
		delete(s.JoinAt, i)
		e.down, e.readyAt = false, 0
		s.updateTargets()
	}
	if e.down {
		return
	}
	if at, ok := s.FailAt[i]; ok && now >= startTime+at {
		s.failEngine(e)
		return
	}
	e.finishLoads(now)
	s.finishRuns(e, now)
	if now%reportInterval < tickInterval {
		e.gate.ApplyReport(e.report(now), now)
	}
	steps := e.gate.Decide()
	for _, g := range steps.Grants {
		s.startRun(i, e, s.pending[g.ID])
	}
	for _, t := range steps.Rejections {
		f := s.pending[t.ID]
		s.routers[f.Entry].Sent(e.name, -f.Prompt)
		f.avoid = append(f.avoid, e.name)
		s.offer(f)
	}
	for _, c := range e.gate.Commands() {
		e.gate.ApplyOutcome(c, s.execute(e, c, now), now)
	}
	if (now+magno.Millis(i)*tickInterval)%s.Fleet.BacklogInterval < tickInterval {
		for _, r := range s.routers {
			r.Report(e.name, e.gate.Backlog())
		}
	}
}

// startRun starts a request. Its prompt is processed after those of all earlier requests.
func (s *Scenario) startRun(i int, e *engine, f *pendingRequest) {
	now := s.clock.Now()
	e.promptsDoneAt = max(e.promptsDoneAt, now) + magno.Millis(float64(f.Prompt)/promptRate)
	fails := s.rand.Float64() < s.ErrorRate[i]
	perToken := tokenTime * max(s.Slowdown[i], 1)
	r := run{
		firstToken: e.promptsDoneAt, end: e.promptsDoneAt + magno.Millis(float64(f.Output)*perToken), fails: fails,
	}
	if len(s.Slowdown) > 0 {
		r.longestPause = magno.Millis(s.rand.ExpFloat64() * meanPauseEvents * tokensPerEvent * perToken)
	}
	e.runs[f.id] = r
	s.routers[f.Entry].Report(e.name, e.gate.Backlog())
}

// finishRuns ends the runs that have completed or failed.
func (s *Scenario) finishRuns(e *engine, now magno.Millis) {
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		r, f := e.runs[id], s.pending[id]
		if now < r.firstToken || (now < r.end && !r.fails) {
			continue
		}
		delete(e.runs, id)
		e.gate.RecordPause(id, r.longestPause)
		e.gate.Done(id, !r.fails)
		s.routers[f.Entry].Ended(e.name, f.Prompt, now-f.startedAt, !r.fails)
		switch {
		case r.fails:
			s.record(&s.counts.Failed, f)
		case r.firstToken-f.startedAt <= f.StartTarget && r.longestPause <= maxGap:
			s.record(&s.counts.OnTime, f)
		default:
			s.record(&s.counts.Late, f)
		}
	}
}

// failEngine removes an engine: requests running there fail, and waiting ones are offered
// to other engines.
func (s *Scenario) failEngine(e *engine) {
	e.down = true
	s.updateTargets()
	for _, id := range s.pendingIDs() {
		f := s.pending[id]
		if f.assigned != e.name {
			continue
		}
		if _, ran := e.runs[id]; ran {
			s.record(&s.counts.Failed, f)
			continue
		}
		s.offer(f)
	}
}

func (e *engine) finishLoads(now magno.Millis) {
	for name, endsAt := range e.loading {
		if now >= endsAt {
			e.held[name], e.cached[name] = 1, true
			delete(e.loading, name)
		}
	}
}

func (e *engine) report(now magno.Millis) *magno.Report {
	r := &magno.Report{StartedAt: e.born, Orders: e.orders, Running: len(e.runs), Busy: e.readyAt > now, Loaded: map[string]map[string]int64{}}
	if e.readyAt > 0 && now >= e.readyAt {
		r.Loaded[model] = maps.Clone(e.held)
	}
	for id, run := range e.runs {
		if now >= run.firstToken {
			r.Streams = append(r.Streams, magno.Stream{ID: id, Events: 1 + int(float64(now-run.firstToken)/tokenTime/tokensPerEvent)})
		}
	}
	for name := range e.loading {
		r.Loading = append(r.Loading, magno.Pin{Model: model, Adapter: name, Number: 1})
	}
	return r
}

// execute executes an order. All engines load adapters from the same store, which slows
// down when too many load at once.
func (s *Scenario) execute(e *engine, c magno.Command, now magno.Millis) magno.Outcome {
	switch {
	case c.Adapter == "":
		e.readyAt = now + baseLoadTime
	case !c.Load:
		delete(e.held, c.Adapter)
	case e.cached[c.Adapter]:
		e.loading[c.Adapter] = now + loadTime/10
	default:
		s.loads++
		e.loading[c.Adapter] = now + loadTime*magno.Millis(max(s.activeLoads(), s.Fleet.ParallelLoads))/magno.Millis(s.Fleet.ParallelLoads)
	}
	e.orders++
	return magno.OrderAccepted
}

// activeLoads counts the loads in progress, including the one about to begin.
func (s *Scenario) activeLoads() int {
	n := 1
	for _, e := range s.engines {
		n += len(e.loading)
	}
	return n
}
