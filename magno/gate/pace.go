package gate

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/learn"
)

const (
	// pauseSlack is by how much the longest pause of a stream exceeds the usual
	// one while prompts are read: full batches step more slowly.
	pauseSlack = 1.2
	// readDepth is how much reading an engine that needs no spacing is given
	// ahead, in ms: more than the time between two of its reports, so that it
	// never stands idle, and little enough that an urgent prompt isn't behind
	// many others.
	readDepth = 150 * magno.Millis(1)
	// spanSlack is what is left of a spaced window for the event itself to come.
	spanSlack = 10 * magno.Millis(1)
	// leastPart is the least part of a window that prompts get, however tight the
	// pause that is allowed: with less, none would be read in time.
	leastPart = 0.3
	// unseenTimes is how many times as long as expected a prompt may take to be
	// read until it counts as read unseen, unseenSlack what is added: a few
	// reports and the way to the engine.
	unseenTimes = 3
	unseenSlack = 400 * magno.Millis(1)
	// tightStep is by how much a stream that paused for too long tightens what
	// counts as within the allowed pause, looseStep what each other one gives
	// back: with one in twenty too long it stays as it is. leastTight bounds it.
	tightStep  = 0.02
	looseStep  = 0.001
	leastTight = 0.3
	// pauseHalf is the time without streams in which their longest pause counts half.
	pauseHalf = 10 * magno.Second
)

// pace decides when a prompt may be read.
//
// Load pattern: prompts come in clumps, and an engine reads in pieces between
// its steps. Where the pauses that this makes are longer than streams may have,
// prompts are spaced: in each window as long as the allowed pause less an event,
// they get what another event leaves of it. Where the engine's own pauses stay within
// what is allowed, spacing would only keep it idle between clumps: it is given
// readDepth of reading at a time, so that the order among what waits is still this
// process's.
type pace struct {
	// engine is what is known of its speed.
	engine learn.Engine
	// gap is the shortest pause that is allowed to any stream, zero for none.
	gap   magno.Millis
	taken []reading
	// unread are tokens that the engine was given and wasn't seen to have read
	// at the time looked; since is when the reading began that goes on.
	unread int
	looked magno.Millis
	since  magno.Millis
	// done are tokens of requests that began and ended since then.
	done int
	// tight is by how much streams paused for longer than the engine's figures
	// tell, as a part of what is allowed, zero while they don't.
	tight float64
	// pausedAt is when a stream last told its longest pause.
	pausedAt magno.Millis
}

// reading is a prompt that was let through.
type reading struct {
	at     magno.Millis
	tokens int
}

// free tells whether the engine's own reading keeps every stream's pauses within
// what is allowed.
func (p *pace) free() bool {
	return p.gap == 0 || pauseSlack*float64(p.engine.Pause()) <= (1-p.tight)*float64(p.gap)
}

// paused takes the longest pause of a stream that ended, and what was allowed.
// An engine that reads in larger pieces than is usual shows it here only.
func (p *pace) paused(longest, gap, now magno.Millis) {
	p.engine.Paused(longest)
	p.pausedAt = now
	if longest > gap {
		p.tight = min(p.tight+tightStep, 1-leastTight)
		return
	}
	p.tight = max(p.tight-looseStep, 0)
}

// longest is the longest pause of a stream here, on average. Of an engine that gets no
// streams it counts less and less, so that one that was slow is tried again.
func (p *pace) longest(now magno.Millis) magno.Millis {
	return magno.Millis(float64(p.engine.Longest()) * math.Exp2(-float64(now-p.pausedAt)/float64(pauseHalf)))
}

// window is the span in which reading is spaced, and how much of it may be spent
// on prompts.
func (p *pace) window() (span, read magno.Millis) {
	event := p.engine.Event()
	span = max(p.gap-event, p.gap/2, 1)
	read = max(span-event-spanSlack, magno.Millis(leastPart*float64(span)), 1)
	return span, read
}

// spent is the time that the prompts of the last window take to read, where
// reading is spaced. One that takes longer than its part of the window counts for
// so much longer.
func (p *pace) spent(now magno.Millis) magno.Millis {
	span, read := p.window()
	sum := 0
	p.taken = slices.DeleteFunc(p.taken, func(r reading) bool {
		if now-r.at >= max(span, p.time(r.tokens)*span/read) {
			return true
		}
		sum += r.tokens
		return false
	})
	return p.time(sum)
}

// ahead is the time that the engine needs for what it was given.
func (p *pace) ahead(now magno.Millis) magno.Millis {
	return max(p.time(p.unread)-max(now-max(p.looked, p.since), 0), 0)
}

// allows tells whether a prompt may be read now. Where reading is spaced, one
// that takes longer than a whole window may once the window is empty.
func (p *pace) allows(tokens int, now magno.Millis) bool {
	if p.free() {
		return p.ahead(now) < readDepth
	}
	spent := p.spent(now)
	_, read := p.window()
	return spent == 0 || spent+p.time(tokens) <= read
}

// take notes that a prompt of so many tokens that must be read is let through.
// It returns when the prompt counts as read even where nothing showed it: an
// engine may not tell which of its requests answer, and a request may never
// reach it.
func (p *pace) take(tokens int, now magno.Millis) magno.Millis {
	if !p.free() {
		p.taken = append(p.taken, reading{at: now, tokens: tokens})
	}
	if p.unread == 0 {
		p.since = now
	}
	p.unread += tokens
	return now + unseenTimes*p.time(p.unread) + unseenSlack
}

// read notes that a prompt was read, gave that it no longer will be.
func (p *pace) read(tokens int) {
	p.gave(tokens)
	p.done += tokens
}

func (p *pace) gave(tokens int) { p.unread = max(p.unread-tokens, 0) }

// look takes what the engine showed at a time.
func (p *pace) look(runs []learn.Run, at magno.Millis) {
	p.engine.Look(learn.Look{At: at, Runs: runs, Read: p.done, Unread: p.unread, Since: p.since})
	p.done, p.looked = 0, at
}

// forget drops what an engine that is gone was given.
func (p *pace) forget() {
	p.taken, p.unread, p.done = nil, 0, 0
	p.engine.Forget()
}

// wait estimates when a prompt will begin to be read that comes behind so many
// tokens. What the engine was given counts as well: of two engines without a
// queue, the one that reads already is the worse.
func (p *pace) wait(tokens int, now magno.Millis) magno.Millis {
	wait := p.ahead(now) + p.time(tokens)
	if p.free() {
		return wait
	}
	span, read := p.window()
	over := p.spent(now) + p.time(tokens) - read
	return max(over*span/read, wait)
}

// time is how long so many tokens take to read.
func (p *pace) time(tokens int) magno.Millis {
	return magno.Millis(float64(tokens) / p.engine.Rate())
}
