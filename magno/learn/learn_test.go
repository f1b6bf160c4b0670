package learn

import (
	"math/rand/v2"
	"testing"

	"magnoliastall.example/magno"
)

// simulate shows e an engine that reads so many tokens in a millisecond, with 30 ms of
// transit and reporting around each reading.
func simulate(e *Estimator, rate float64, readings int) {
	simulateEach(e, rate, readings, func() {})
}

// simulateEach calls read after each reading.
func simulateEach(e *Estimator, rate float64, readings int, read func()) {
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // no secret
	now := magno.Hour
	for range readings {
		tokens := 100 + rng.IntN(4000)
		e.Observe(Sample{At: now})
		from := now + 10
		end := from + 30 + magno.Millis(float64(tokens)/rate)
		for now += 30; now < end; now += 30 {
			e.Observe(Sample{At: now, Unread: tokens, ReadStart: from})
		}
		e.Observe(Sample{At: now, Read: tokens, ReadStart: from})
		now += 30
		read()
	}
}

// Engines differ threefold in how fast they read. With another engine's rate, prompts
// wait needlessly on a fast engine, and stop the streams of a slow one.
func TestRateIsLearned(t *testing.T) {
	for _, rate := range []float64{8, 23, 37, 80} {
		var e Estimator
		simulate(&e, rate, 100)
		if got := e.PrefillRate(); got < 0.9*rate || got > 1.1*rate {
			t.Errorf("estimated %.1f tokens/ms, the engine reads %.1f", got, rate)
		}
	}
}

// An engine slows down. With the old rate its streams would pause for too long within
// seconds of work.
func TestChangeOfRateIsLearned(t *testing.T) {
	var e Estimator
	simulate(&e, 40, 200)
	simulate(&e, 20, 200)
	if got := e.PrefillRate(); got > 22 {
		t.Errorf("estimated %.1f tokens/ms, the engine now reads 20", got)
	}
}

// A machine is suspended for seconds while its engine reads, and a report has event
// counts that went back. If these samples were used, the engine would count as a
// hundredth as fast, and its callers would be refused.
func TestGapsAndInvalidCountsAreIgnored(t *testing.T) {
	var e Estimator
	e.Stride = 3
	simulate(&e, 25, 50)
	rate, event := e.PrefillRate(), e.EventInterval()
	now := 2 * magno.Hour
	for range 20 {
		e.Observe(Sample{At: now, Unread: 1000, ReadStart: now - 10, Streams: []Stream{{"a", 50}}})
		now += 5 * magno.Second
		e.Observe(Sample{At: now, Read: 1000, Streams: []Stream{{"a", 2}}})
	}
	if e.PrefillRate() != rate || e.EventInterval() != event {
		t.Errorf("rate %.1f, event interval %d ms after the gaps; %.1f and %d before", e.PrefillRate(), e.EventInterval(), rate, event)
	}
}

// Streams of an engine that reads no prompts generate an event every 25 ms, also when
// sampled at other intervals. The interval determines how long a pause prompts may
// cause.
func TestEventIntervalIsLearned(t *testing.T) {
	e := Estimator{Stride: 3}
	for i := range 400 {
		at := magno.Millis(i) * 37
		e.Observe(Sample{At: at, Streams: []Stream{{"a", int(at / 25)}, {"b", int(at/25) + 7}}})
	}
	if got := e.EventInterval(); got < 24 || got > 26 {
		t.Errorf("estimated an event interval of %d ms, want 25", got)
	}
}

func BenchmarkObserve(b *testing.B) {
	var e Estimator
	streams := make([]Stream, 64)
	for i := range streams {
		streams[i] = Stream{ID: string(rune('A' + i))}
	}
	for i := 0; b.Loop(); i++ {
		e.Observe(Sample{At: magno.Millis(i) * 30, Streams: streams, Unread: i % 2 * 100, Read: (i + 1) % 2 * 100})
	}
}
