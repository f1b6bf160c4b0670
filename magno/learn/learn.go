// Package learn estimates an engine's speed from its reports.
//
//	Observe (streams, unread) --> line, ratio --> PrefillRate, EventInterval, PrefillPause
//
// Load pattern: engines of one kind read 25 prompt tokens in a millisecond, those of
// another 40 and more. They read prompts in chunks between the steps that generate the
// tokens of all streams, so the same burst of prompts stops the streams of one for
// 260 ms and those of another for 390. A constant would fit one kind only, and prompts
// would be spaced on engines whose streams need no spacing.
//
// Each estimate begins with a prior that weighs as much as about a second of work, and
// observations decay, so a change of the engine shows within seconds of work. Samples
// after a long gap, such as a suspended machine, are ignored. Estimates are bounded to
// the range of real engines, so that an engine that reports invalid values distorts its
// own pace only that far.
package learn

import "magnoliastall.example/magno"

const (
	// PriorPrefillRate is how many prompt tokens an engine is assumed to read in a
	// millisecond until its own rate is known, which takes a dozen prompts.
	PriorPrefillRate = 32.0
	// priorStepTime is the time of a step without prefill, in ms. priorChunk is the
	// most tokens read between two steps, which no report shows. Where an engine reads
	// larger chunks, the observed pauses of its streams must correct the estimates that
	// depend on it.
	priorStepTime = 7.0
	priorChunk    = 2048.0
	// priorEventFactor is by how much prefill lengthens an average event until the
	// engine's own figure is known: engines read half of the time.
	priorEventFactor = 2.0
	// maxSampleGap is the time between two samples beyond which they are ignored:
	// several intervals of the slowest reports.
	maxSampleGap = 400 * magno.Millis(1)
	// maxPrefillSpan is when a prefill that goes on without a break is recorded, and
	// another one begun.
	maxPrefillSpan = 600 * magno.Millis(1)
	// minRate and maxRate bound the estimates of any engine, in tokens per millisecond.
	minRate = 2.0
	maxRate = 500.0
)

// Stream is a request that generates events.
type Stream struct {
	ID string
	// Events is how many it has generated.
	Events int
}

// Sample is an engine's state at one moment.
type Sample struct {
	At magno.Millis
	// Streams generate events. Their order doesn't matter.
	Streams []Stream
	// Read is how many prompt tokens were read since the last sample, Unread how many
	// that the engine was given are still to be read.
	Read, Unread int
	// ReadStart is when the engine was given the first of the prompts that are or were
	// being read, where nothing was unread at the last sample.
	ReadStart magno.Millis
}

// Estimator holds the estimates for one engine. The zero value knows priors only. It
// isn't safe for concurrent use.
type Estimator struct {
	// Stride is how many tokens a stream's event holds; less than 1 counts as 1.
	Stride int

	last    Sample
	hasLast bool
	// prefillStart is when the prefill in progress began, prefillTokens what was read
	// in it.
	prefillStart  magno.Millis
	prefillTokens int
	// prefill is the time of prefills over their tokens. idleEvents is the time per
	// event of a stream while no prompt is read.
	prefill      line
	decodeEvents ratio
	// allEvents is the time per event of a stream, with and without prefill.
	allEvents ratio
	// longestPauses averages the longest pause of each stream.
	longestPauses mean
}

// PrefillRate returns how many prompt tokens the engine reads in a millisecond,
// including the steps between chunks.
func (e *Estimator) PrefillRate() float64 {
	return min(max(1/e.prefill.slope(1/PriorPrefillRate), minRate), maxRate)
}

// EventInterval returns the time of a stream's event while no prompt is read.
func (e *Estimator) EventInterval() magno.Millis {
	return magno.Millis(e.decodeEvents.value(priorStepTime * float64(max(e.Stride, 1))))
}

// PrefillPause returns the time between two events of a stream while prompts are read
// without a break, chunk by chunk.
func (e *Estimator) PrefillPause() magno.Millis {
	return magno.Millis(float64(max(e.Stride, 1)) * priorChunk / e.PrefillRate())
}

// MeanEventInterval returns the average time between two events of a stream.
func (e *Estimator) MeanEventInterval() magno.Millis {
	return magno.Millis(e.allEvents.value(priorEventFactor * priorStepTime * float64(max(e.Stride, 1))))
}

// ObservePause records the longest pause between two events of a stream that ended.
func (e *Estimator) ObservePause(longest magno.Millis) { e.longestPauses.add(float64(longest)) }

// LongestPause returns the average of the streams' longest pauses, zero before the
// first stream ended.
func (e *Estimator) LongestPause() magno.Millis { return magno.Millis(e.longestPauses.value()) }

// Reset drops the last sample after a restart of the engine. The estimates are kept,
// since a restarted engine is still of the same kind.
func (e *Estimator) Reset() { e.hasLast, e.prefillStart, e.prefillTokens = false, 0, 0 }

// Observe records a sample.
func (e *Estimator) Observe(s Sample) {
	previous, hasLast := e.last, e.hasLast
	e.last, e.hasLast = s, true
	span := s.At - previous.At
	if !hasLast || span <= 0 || span > maxSampleGap {
		e.prefillStart, e.prefillTokens = 0, 0
		return
	}
	e.observePrefill(&previous, &s)
	streams, events := sumEvents(previous.Streams, s.Streams)
	e.allEvents.add(float64(span)*float64(streams), float64(events))
	if previous.Unread == 0 && s.Unread == 0 && s.Read == 0 {
		e.decodeEvents.add(float64(span)*float64(streams), float64(events))
	}
}

// observePrefill follows a prefill from its start to its end. The overhead in its time
// (the way to the engine, the step under way, the delay until a report shows it) is the
// same for short and long ones, so the slope gives the rate.
func (e *Estimator) observePrefill(previous, s *Sample) {
	if previous.Unread == 0 && (s.Unread > 0 || s.Read > 0) {
		e.prefillStart, e.prefillTokens = max(s.ReadStart, previous.At), 0
	}
	if e.prefillStart == 0 {
		return
	}
	e.prefillTokens += s.Read
	if s.Unread > 0 && s.At-e.prefillStart < maxPrefillSpan {
		return
	}
	e.prefill.add(float64(e.prefillTokens), float64(s.At-e.prefillStart), 1/PriorPrefillRate)
	e.prefillStart, e.prefillTokens = 0, 0
	if s.Unread > 0 {
		e.prefillStart = s.At
	}
}

// sumEvents counts the streams that are in both samples, and the events that they
// generated between them.
func sumEvents(previous, current []Stream) (streams, events int) {
	before := make(map[string]int, len(previous))
	for _, s := range previous {
		before[s.ID] = s.Events
	}
	for _, s := range current {
		n, ok := before[s.ID]
		if ok && s.Events >= n {
			streams++
			events += s.Events - n
		}
	}
	return streams, events
}
