package gate

import "magnoliastall.example/magno"

// prefillLane estimates the waits for prefill from the state of a pacer at one time.
type prefillLane struct {
	pacer *pacer
	// remaining is the time that the engine needs for the prompts that it was given.
	remaining magno.Millis
	// spent is the prefill time in the last window. It and span and budget are only set if
	// prompts are spaced.
	spent, span, budget magno.Millis
	spaced              bool
}

func (p *pacer) lane(now magno.Millis) prefillLane {
	l := prefillLane{pacer: p, remaining: p.remainingTime(now), spaced: !p.unspaced()}
	if l.spaced {
		l.span, l.budget = p.window()
		l.spent = p.spentTime(now)
	}
	return l
}

// wait estimates when a prompt behind the given number of tokens would be prefilled. Work that
// the engine already has counts as well: of two engines without a queue, the one that is already
// prefilling is the worse choice.
func (l *prefillLane) wait(tokens int) magno.Millis {
	ahead := l.pacer.prefillTime(tokens)
	wait := l.remaining + ahead
	if !l.spaced {
		return wait
	}
	return max((l.spent+ahead-l.budget)*l.span/l.budget, wait)
}

// grantWait is the wait for the permit of a prompt whose prefill begins after the given wait.
func (l *prefillLane) grantWait(prefill magno.Millis) magno.Millis {
	if l.spaced {
		return prefill
	}
	return max(prefill-prefillAhead, 0)
}

// cost is the time by which a prompt delays the prefill of those behind it.
func (l *prefillLane) cost(tokens int) magno.Millis {
	took := l.pacer.prefillTime(tokens)
	if l.spaced {
		took = max(took*l.span/l.budget, took)
	}
	return took
}
