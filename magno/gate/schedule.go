package gate

import "magnoliastall.example/magno"

// schedule estimates when queued requests start, from the state of the engine at one time. It
// is computed once per decision.
type schedule struct {
	gate    *Gate
	now     magno.Millis
	prefill prefillLane
	// event is the time of one event, running the number of running requests.
	event   magno.Millis
	running int
	// memory is the token memory that running requests have reserved, memoryLimit what may be
	// reserved in total.
	memory, memoryLimit float64
	// releases are when running requests end by their lengths. They are computed at first use.
	releases releases
}

// position is what precedes a request in the queue: prompt tokens, requests, and tokens of
// memory, as reserved, as declared and as expected by their lengths.
type position struct{ tokens, requests, memory, declared, expected int }

// add takes a request into account. One whose adapter isn't ready doesn't hold up those behind
// it.
func (p *position) add(w *queuedRequest) {
	if w.eta == 0 {
		p.addAny(w)
	}
}

// addAny takes a request into account whether or not its adapter is ready.
func (p *position) addAny(w *queuedRequest) {
	p.tokens += w.tokens
	p.requests++
	p.memory += memoryTokens(&w.Request)
	p.declared += declaredTokens(&w.Request)
	p.expected += w.expectedTokens
}

func (g *Gate) newSchedule(now magno.Millis) schedule {
	s := schedule{
		gate: g, now: now, prefill: g.pacer.lane(now), event: g.pacer.engine.EventInterval(), running: g.runningCount(),
		memoryLimit: tokenMemoryShare * float64(g.spec.Engine.Tokens),
	}
	for _, r := range g.active {
		s.memory += float64(memoryTokens(&r.request))
	}
	return s
}

// wait returns the expected time until a request behind the given position starts, and
// until the engine prefills it, if its adapter were ready. The engine is given some work ahead.
func (s *schedule) wait(ahead position) (start, prefill magno.Millis) {
	other := max(s.capacityWait(ahead), s.gate.limiter.Delay(ahead.requests+1, s.now))
	prefill = s.prefill.wait(ahead.tokens)
	return max(s.prefill.grantWait(prefill), other), max(prefill, other)
}

// capacityWait is the expected wait for a place in the batch and for token memory.
func (s *schedule) capacityWait(ahead position) magno.Millis {
	wait := s.gate.placeWait(s.running + ahead.requests)
	if learned, known := s.learnedWait(ahead); known {
		return max(wait, learned)
	}
	if over := s.memory + float64(ahead.memory) - s.memoryLimit; over > 0 && s.memoryLimit > 0 {
		wait = max(wait, magno.Millis(s.gate.meanRunTime*over/s.memoryLimit))
	}
	return wait
}

// startBehind returns when a request is expected to be granted behind the given position.
func (s *schedule) startBehind(w *queuedRequest, ahead position) magno.Millis {
	start, _ := s.wait(ahead)
	return s.now + max(start, w.eta)
}

// prefillBehind returns when the engine is expected to begin its prefill.
func (s *schedule) prefillBehind(w *queuedRequest, ahead position) magno.Millis {
	_, prefill := s.wait(ahead)
	return s.now + max(prefill, w.eta)
}

// earliestStart returns when the engine could begin the prefill of a request if no other one
// preceded it in the queue.
func (s *schedule) earliestStart(w *queuedRequest) magno.Millis {
	return s.now + max(s.prefill.remaining, w.eta)
}

// firstEvent returns when the first event of a request comes whose prefill begins at start.
func (s *schedule) firstEvent(w *queuedRequest, start magno.Millis) magno.Millis {
	return start + s.gate.pacer.prefillTime(w.tokens) + s.event
}

// onTimeBehind reports whether the first event of a request behind the given position is on
// time.
func (s *schedule) onTimeBehind(w *queuedRequest, ahead position) bool {
	return s.firstEvent(w, s.prefillBehind(w, ahead)) <= w.startBy
}

// cost is the time by which a request delays those behind it: its prefill, or its part of the
// batch for as long as it runs while the batch is full.
func (s *schedule) cost(w *queuedRequest) magno.Millis {
	took := s.prefill.cost(w.tokens)
	if batch := max(s.gate.spec.Engine.Batch, 1); s.running >= batch {
		took = max(took, s.gate.holdTime(&w.Request)/magno.Millis(batch))
	}
	return max(took, 1)
}
