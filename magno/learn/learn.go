// Package learn estimates an engine's own figures from what it shows.
//
//	Look (what runs, what is unread) --> line, ratio --> Rate, Event, Pause
//
// Load pattern: engines of one kind read 25 prompt tokens in a millisecond, of
// another 40 and more; they read in pieces between the steps that make the
// tokens of all that runs, so the same clump of prompts stops the streams of one
// for 260 ms and those of another for 390. Without this package a constant names
// one of them, and prompts are spaced on engines whose streams need no spacing.
//
// Each estimate begins with a prior that weighs as much as a second or so of
// work, and what was seen counts half after a while, so a change of the engine
// shows within seconds of work. A look after a long silence (a suspended machine)
// tells nothing, and no estimate leaves the bounds of any engine, so one that
// reports nonsense can spoil its own pace only that far.
package learn

import "magnoliastall.example/magno"

const (
	// PriorPrefillRate is how many prompt tokens an engine reads in a millisecond until
	// it shows, which takes a dozen prompts.
	PriorPrefillRate = 32.0
	// priorStep is the time of a step that reads nothing, in ms. priorPiece is how
	// many tokens are read at most between two steps; nothing shows it. Where an
	// engine reads more at once, the pauses of its streams must correct what rests
	// on it.
	priorStep  = 7.0
	priorPiece = 2048.0
	// usualTimes is by how much steps that read lengthen a usual event until the
	// engine shows: it reads half of the time.
	usualTimes = 2.0
	// longestLook is the time between two looks beyond which they tell nothing:
	// several of the slowest reports.
	longestLook = 400 * magno.Millis(1)
	// longestRead is when a reading that goes on without a break is counted, and
	// another one begun.
	longestRead = 600 * magno.Millis(1)
	// leastRate and mostRate bound the estimates of any engine, in tokens a
	// millisecond.
	leastRate = 2.0
	mostRate  = 500.0
)

// Stream is a request that makes events.
type Stream struct {
	ID string
	// Events is how many it made.
	Events int
}

// Sample is what an engine shows at a moment.
type Sample struct {
	At magno.Millis
	// Streams make events. Their order doesn't matter.
	Streams []Stream
	// Read is how many prompt tokens were read since the last look, Unread how
	// many of those that it was given are still to be read.
	Read, Unread int
	// ReadStart is when it was given the first of what is or was being read, where
	// nothing was unread at the last look.
	ReadStart magno.Millis
}

// Estimator is what is known of one. The zero value knows priors only. It isn't
// safe for concurrent use.
type Estimator struct {
	// Stride is how many tokens a stream's event holds, at least 1 once set.
	Stride int

	last Sample
	seen bool
	// from is when the reading began that goes on, tokens what was read in it.
	from   magno.Millis
	tokens int
	// read is the time of readings over their tokens, calm milliseconds over
	// events of one stream while nothing is read.
	read line
	calm ratio
	// usual is milliseconds over events of one stream, whatever else goes on.
	usual ratio
	// pauses are the longest ones of streams.
	pauses mean
}

// PrefillRate is how many prompt tokens it reads in a millisecond, the steps between
// pieces counted in.
func (e *Estimator) PrefillRate() float64 {
	return min(max(1/e.read.slope(1/PriorPrefillRate), leastRate), mostRate)
}

// EventInterval is the time of a stream's event while no prompt is read.
func (e *Estimator) EventInterval() magno.Millis {
	return magno.Millis(e.calm.value(priorStep * float64(max(e.Stride, 1))))
}

// PrefillPause is the time between two events of a stream while prompts are read
// without a break, piece by piece.
func (e *Estimator) PrefillPause() magno.Millis {
	return magno.Millis(float64(max(e.Stride, 1)) * priorPiece / e.PrefillRate())
}

// MeanEventInterval is the time between two events of a stream as it is on average.
func (e *Estimator) MeanEventInterval() magno.Millis {
	return magno.Millis(e.usual.value(usualTimes * priorStep * float64(max(e.Stride, 1))))
}

// ObservePause takes the longest pause between two events of a stream that ended.
func (e *Estimator) ObservePause(longest magno.Millis) { e.pauses.add(float64(longest)) }

// LongestPause is the longest pause of a stream on average, zero before the first ended.
func (e *Estimator) LongestPause() magno.Millis { return magno.Millis(e.pauses.value()) }

// Reset drops the last look: what ran is gone. The estimates are kept, for an
// engine that starts anew is still of its kind.
func (e *Estimator) Reset() { e.seen, e.from, e.tokens = false, 0, 0 }

// Observe takes what the engine shows now.
func (e *Estimator) Observe(l Sample) {
	was, seen := e.last, e.seen
	e.last, e.seen = l, true
	span := l.At - was.At
	if !seen || span <= 0 || span > longestLook {
		e.from, e.tokens = 0, 0
		return
	}
	e.reading(&was, &l)
	runs, made := sumEvents(was.Streams, l.Streams)
	e.usual.add(float64(span)*float64(runs), float64(made))
	if was.Unread == 0 && l.Unread == 0 && l.Read == 0 {
		e.calm.add(float64(span)*float64(runs), float64(made))
	}
}

// reading follows one from its begin to its end. How long it took beside its
// tokens (the way to the engine, the step under way, the time until a report
// shows it) is the same for short and long ones, so the slope tells the rate.
func (e *Estimator) reading(was, l *Sample) {
	if was.Unread == 0 && (l.Unread > 0 || l.Read > 0) {
		e.from, e.tokens = max(l.ReadStart, was.At), 0
	}
	if e.from == 0 {
		return
	}
	e.tokens += l.Read
	if l.Unread > 0 && l.At-e.from < longestRead {
		return
	}
	e.read.add(float64(e.tokens), float64(l.At-e.from))
	e.from, e.tokens = 0, 0
	if l.Unread > 0 {
		e.from = l.At
	}
}

// sumEvents counts the runs that are in both looks, and the events that they
// made between them.
func sumEvents(was, is []Stream) (runs, made int) {
	before := make(map[string]int, len(was))
	for _, r := range was {
		before[r.ID] = r.Events
	}
	for _, r := range is {
		n, ok := before[r.ID]
		if ok && r.Events >= n {
			runs++
			made += r.Events - n
		}
	}
	return runs, made
}
