package scene

import (
	"maps"
	"slices"

	"magnoliastall.example/magno"
)

// step lets an engine work and its agent decide.
func (s *Scene) step(i int, e *engine) {
	now := s.clock.Now()
	if at, ok := s.Join[i]; ok && e.lost && now >= start+at {
		delete(s.Join, i)
		e.lost, e.ready = false, 0
		s.list()
	}
	if e.lost {
		return
	}
	if at, ok := s.Lose[i]; ok && now >= start+at {
		s.lose(e)
		return
	}
	e.settle(now)
	s.ended(e, now)
	if now%reportEvery < tick {
		e.gate.ApplyReport(e.report(now), now)
	}
	steps := e.gate.Decide()
	for _, g := range steps.Grants {
		s.begin(i, e, s.flights[g.ID])
	}
	for _, t := range steps.Rejections {
		f := s.flights[t.ID]
		s.routers[f.Entry].Sent(e.name, -f.Prompt)
		f.avoid = append(f.avoid, e.name)
		s.offer(f)
	}
	for _, c := range e.gate.Commands() {
		e.gate.ApplyOutcome(c, s.obey(e, c, now), now)
	}
	if (now+magno.Millis(i)*tick)%s.Shape.Tell < tick {
		for _, r := range s.routers {
			r.Report(e.name, e.gate.Backlog())
		}
	}
}

// begin runs a request: its prompt is read after all that are being read.
func (s *Scene) begin(i int, e *engine, f *flight) {
	now := s.clock.Now()
	e.free = max(e.free, now) + magno.Millis(float64(f.Prompt)/readRate)
	fails := s.rand.Float64() < s.Grey[i]
	made := token * max(s.Slow[i], 1)
	r := run{
		first: e.free, end: e.free + magno.Millis(float64(f.Output)*made), fails: fails,
	}
	if len(s.Slow) > 0 {
		r.pause = magno.Millis(s.rand.ExpFloat64() * pauseEvents * stride * made)
	}
	e.runs[f.id] = r
	s.routers[f.Entry].Report(e.name, e.gate.Backlog())
}

// ended ends runs that are over.
func (s *Scene) ended(e *engine, now magno.Millis) {
	for _, id := range slices.Sorted(maps.Keys(e.runs)) {
		r, f := e.runs[id], s.flights[id]
		if now < r.first || (now < r.end && !r.fails) {
			continue
		}
		delete(e.runs, id)
		e.gate.RecordPause(id, r.pause)
		e.gate.Done(id, !r.fails)
		s.routers[f.Entry].Ended(e.name, f.Prompt, now-f.began, !r.fails)
		switch {
		case r.fails:
			s.count(&s.done.Failed, f)
		case r.first-f.began <= f.Aim && r.pause <= gap:
			s.count(&s.done.InAim, f)
		default:
			s.count(&s.done.Late, f)
		}
	}
}

// lose takes an engine away: what ran there fails, what waited goes elsewhere.
func (s *Scene) lose(e *engine) {
	e.lost = true
	s.list()
	for _, id := range s.ids() {
		f := s.flights[id]
		if f.at != e.name {
			continue
		}
		if _, ran := e.runs[id]; ran {
			s.count(&s.done.Failed, f)
			continue
		}
		s.offer(f)
	}
}

func (e *engine) settle(now magno.Millis) {
	for name, end := range e.loading {
		if now >= end {
			e.held[name], e.known[name] = 1, true
			delete(e.loading, name)
		}
	}
}

func (e *engine) report(now magno.Millis) *magno.Report {
	r := &magno.Report{Born: e.born, Orders: e.orders, Running: len(e.runs), Busy: e.ready > now, Held: map[string]map[string]int64{}}
	if e.ready > 0 && now >= e.ready {
		r.Held[model] = maps.Clone(e.held)
	}
	for id, run := range e.runs {
		if now >= run.first {
			r.Runs = append(r.Runs, magno.Stream{ID: id, Events: 1 + int(float64(now-run.first)/token/stride)})
		}
	}
	for name := range e.loading {
		r.Coming = append(r.Coming, magno.Pin{Model: model, Adapter: name, Number: 1})
	}
	return r
}

// obey carries out an order. Adapters come from one store for all engines.
func (s *Scene) obey(e *engine, c magno.Command, now magno.Millis) magno.Outcome {
	switch {
	case c.Adapter == "":
		e.ready = now + base
	case !c.Load:
		delete(e.held, c.Adapter)
	case e.known[c.Adapter]:
		e.loading[c.Adapter] = now + load/10
	default:
		s.loads++
		e.loading[c.Adapter] = now + load*magno.Millis(max(s.coming(), s.Shape.Freely))/magno.Millis(s.Shape.Freely)
	}
	e.orders++
	return magno.OrderAccepted
}

// coming counts the loads under way.
func (s *Scene) coming() int {
	n := 1
	for _, e := range s.engines {
		n += len(e.loading)
	}
	return n
}
