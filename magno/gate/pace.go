package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/learn"
)

const (
	// pauseSlack is the factor by which the longest pause of a stream exceeds the usual one
	// during prefill: full batches step more slowly.
	pauseSlack = 1.2
	// prefillAhead is the prefill work, in ms, that an engine without spacing is given ahead.
	// It is longer than the time between two reports, so that the engine never idles, and short
	// enough that an urgent prompt is not behind many others.
	prefillAhead = 150 * magno.Millis(1)
	// windowSlack is the part of a window that is kept free for the event itself.
	windowSlack = 10 * magno.Millis(1)
	// minPrefillShare is the smallest share of a window that prompts get, however short the
	// allowed pause: with less, none would be prefilled in time.
	minPrefillShare = 0.3
	// unseenFactor and unseenSlack give the time after which a prompt counts as prefilled
	// although no event was seen: a multiple of the expected time, and a few reports and the
	// way to the engine on top.
	unseenFactor = 3
	unseenSlack  = 400 * magno.Millis(1)
	// tightenStep is how much a stream with too long a pause reduces the target pause, and
	// relaxStep how much any other stream restores, so that it is steady when one stream in
	// twenty is late. minGapShare is the lowest share of the allowed pause to which it falls.
	tightenStep = 0.02
	relaxStep   = 0.001
	minGapShare = 0.3
	// pauseHalfLife is the time without streams in which their longest pause counts half.
	pauseHalfLife = 10 * magno.Second
)

// pacer decides when a prompt may be prefilled.
//
// Prompts arrive in bursts, and an engine prefills them in chunks between its decode steps. If
// this makes pauses longer than streams may have, prompts are spaced: in each window, which is
// as long as the allowed pause less one event, they get the time that another event leaves. If
// the engine's own pauses stay within what is allowed, spacing would only leave it idle between
// bursts. It is then given prefillAhead of work at a time, so that the order of the queue is
// still decided here.
type pacer struct {
	// engine estimates the engine's speed.
	engine learn.Estimator
	// maxGap is the shortest pause allowed to any stream, zero for no limit.
	maxGap magno.Millis
	recent []prefill
	// unreadTokens are the tokens given to the engine that were not prefilled at the time
	// observedAt. busySince is when the current uninterrupted prefill began.
	unreadTokens int
	observedAt   magno.Millis
	busySince    magno.Millis
	// doneTokens are the tokens that were prefilled since observedAt.
	doneTokens int
	// tightening is the share of the allowed pause by which the target is reduced, because
	// streams paused for longer than the engine's estimates predict.
	tightening float64
	// lastPauseAt is when a stream last reported its longest pause.
	lastPauseAt magno.Millis
}

// prefill is a prompt that was admitted.
type prefill struct {
	startedAt magno.Millis
	tokens    int
}

// unspaced reports whether the engine's own scheduling of prompts keeps the pauses of all
// streams within what is allowed.
func (p *pacer) unspaced() bool {
	return p.maxGap == 0 || pauseSlack*float64(p.engine.PrefillPause()) <= (1-p.tightening)*float64(p.maxGap)
}

// recordPause takes the longest pause of a stream that has ended, and the allowed one. Engines
// that prefill in larger chunks than usual show only here.
func (p *pacer) recordPause(longest, gap, now magno.Millis) {
	p.engine.ObservePause(longest)
	p.lastPauseAt = now
	if longest > gap {
		p.tightening = min(p.tightening+tightenStep, 1-minGapShare)
		return
	}
	p.tightening = max(p.tightening-relaxStep, 0)
}

// longestPause is the average longest pause of a stream. It decays while there are no streams,
// so that an engine that was slow is tried again.
func (p *pacer) longestPause(now magno.Millis) magno.Millis {
	return magno.Millis(float64(p.engine.LongestPause()) * math.Exp2(-float64(now-p.lastPauseAt)/float64(pauseHalfLife)))
}

// window returns the length of a spacing window, and the time in it that may be spent on
// prefill.
func (p *pacer) window() (span, budget magno.Millis) {
	event := p.engine.EventInterval()
	span = max(p.maxGap-event, p.maxGap/2, 1)
	budget = max(span-event-windowSlack, magno.Millis(minPrefillShare*float64(span)), 1)
	return span, budget
}

// spentTime is the prefill time of the prompts in the last window, if prompts are spaced. A
// prompt that exceeds the budget of one window counts for proportionally longer.
func (p *pacer) spentTime(now magno.Millis) magno.Millis {
	span, budget := p.window()
	sum := 0
	p.recent = slices.DeleteFunc(p.recent, func(r prefill) bool {
		if now-r.startedAt >= max(span, p.prefillTime(r.tokens)*span/budget) {
			return true
		}
		sum += r.tokens
		return false
	})
	return p.prefillTime(sum)
}

// remainingTime is the time that the engine needs for the prompts that it was given.
func (p *pacer) remainingTime(now magno.Millis) magno.Millis {
	return max(p.prefillTime(p.unreadTokens)-max(now-max(p.observedAt, p.busySince), 0), 0)
}

// allows reports whether a prompt may be prefilled now. With spacing, one that exceeds a whole
// window is allowed once the window is empty.
func (p *pacer) allows(tokens int, now magno.Millis) bool {
	if p.unspaced() {
		return p.remainingTime(now) < prefillAhead
	}
	spent := p.spentTime(now)
	_, budget := p.window()
	return spent == 0 || spent+p.prefillTime(tokens) <= budget
}

// start records that a prompt with the given number of tokens to prefill is admitted. It
// returns the time at which it counts as prefilled even without evidence: an engine may not
// report which requests produce events, and a request may never reach it.
func (p *pacer) start(tokens int, now magno.Millis) magno.Millis {
	if !p.unspaced() {
		p.recent = append(p.recent, prefill{startedAt: now, tokens: tokens})
	}
	if p.unreadTokens == 0 {
		p.busySince = now
	}
	p.unreadTokens += tokens
	return now + unseenFactor*p.prefillTime(p.unreadTokens) + unseenSlack
}

// finish records that a prompt was prefilled, and discard that it no longer will be.
func (p *pacer) finish(tokens int) {
	p.discard(tokens)
	p.doneTokens += tokens
}

func (p *pacer) discard(tokens int) { p.unreadTokens = max(p.unreadTokens-tokens, 0) }

// observe takes the engine's reported state at a time.
func (p *pacer) observe(runs []learn.Stream, at magno.Millis) {
	p.engine.Observe(learn.Sample{At: at, Streams: runs, Read: p.doneTokens, Unread: p.unreadTokens, ReadStart: p.busySince})
	p.doneTokens, p.observedAt = 0, at
}

// reset drops the work of an engine that has stopped.
func (p *pacer) reset() {
	p.recent, p.unreadTokens, p.doneTokens = nil, 0, 0
	p.engine.Reset()
}

// expectedWait estimates when a prompt behind the given number of tokens would be prefilled.
func (p *pacer) expectedWait(tokens int, now magno.Millis) magno.Millis {
	l := p.lane(now)
	return l.wait(tokens)
}

// prefillTime is how long the given number of tokens takes to prefill.
func (p *pacer) prefillTime(tokens int) magno.Millis {
	return magno.Millis(float64(tokens) / p.engine.PrefillRate())
}
