package gate

import (
	"math"

	"magnoliastall.example/magno"
)

// held is the token memory that a request holds at its engine.
func (req *replayRequest) held() int { return req.prompt + int(req.made)*replayStride }

func (e *replayEngine) held() int {
	sum := 0
	for _, req := range e.decode {
		sum += req.held()
	}
	return sum
}

// fits reports whether the engine has memory for the prefill of a request, and for one event of
// each stream. A request alone on its engine always fits.
func (e *replayEngine) fits(tokens int, req *replayRequest) bool {
	return tokens == 0 || len(e.decode) == 0 || e.held()+req.held()+replayStride*(len(e.decode)+1) <= tokens
}

// preempt stops the newest streams while the engine's memory is exceeded. They are prefilled again,
// before other prompts.
func (e *replayEngine) preempt(r *replay) {
	for r.load.tokens > 0 && len(e.decode) > 1 && e.held() > r.load.tokens {
		last := len(e.decode) - 1
		req := e.decode[last]
		e.decode = e.decode[:last]
		req.unread = float64(req.held())
		e.prefill = append([]*replayRequest{req}, e.prefill...)
		if !req.preempted {
			req.preempted = true
			r.result.preempted++
		}
	}
}

// drawLength draws the number of events of a request, and its hint.
func (r *replay) drawLength(req *replayRequest, since magno.Millis) {
	if req.spread == 0 && req.hintSpread == 0 {
		return
	}
	times := 1.0
	if r.load.longFrom > 0 && since >= r.load.longFrom {
		times = r.load.longTimes
	}
	events := times * float64(req.events) * math.Exp(req.spread*r.lengths.NormFloat64())
	if req.declared > 0 {
		events = min(events, float64(req.declared/replayStride))
	}
	req.events = max(int(events), 1)
	if req.hintSpread > 0 {
		req.hint = max(int(float64(req.events*replayStride)*math.Exp(req.hintSpread*r.lengths.NormFloat64())), 1)
	}
}
