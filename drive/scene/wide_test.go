package scene

import (
	"testing"

	"magnoliastall.example/magno"
)

// A fleet as at a site of hundreds of machines, at a quarter of its size: many
// entries that hear of each engine once a second, and engines of few places.
const (
	wideEntries = 17
	wideEngines = 30
	wideSeeds   = 3
	wideSpan    = 7 * magno.Second
	// wideRate is 60 in 100 of what the engines' places hold.
	wideRate = 140
)

var wideShape = Shape{Slots: 11, Batch: 12, Tell: magno.Second, Freely: 14}

// shift is traffic in which one adapter that nobody held takes a quarter of all from
// one moment on.
func shift(seed uint64) []Ask {
	const hot = wideRate / 4 * 4 // a quarter of the rate for four seconds
	list := Burst(seed, Reading, hot, 2500, 4000, named("hot"))
	for i := range list {
		list[i].Entry = i % wideEntries
	}
	return append(Wide(seed, wideSpan, wideRate, wideEntries), list...)
}

// Demand moves to another adapter within a moment, as it does a few times a minute at
// a large site. One replica holds up its callers for as long as it takes to get a
// dozen: nine of ten must be in time all the same, also while new engines come that
// have no base model yet.
func TestAdapterThatBecomesHotInAWideFleet(t *testing.T) {
	const inTime = 0.9
	hot := func(a Ask) bool { return a.Adapter == "hot" }
	for _, c := range []struct {
		name  string
		joins int
	}{{"all engines there", 0}, {"engines join just before", 8}} {
		r := over(wideSeeds, func(seed uint64) *Scene {
			join := map[int]magno.Millis{}
			for i := range c.joins {
				join[i] = 2300
			}
			return &Scene{
				Entries: wideEntries, Engines: wideEngines, Shape: wideShape,
				Asks: shift(seed), Join: join, Count: hot,
			}
		})
		if r.InAim < inTime {
			t.Errorf("%s: %+v, want %.2f in time", c.name, r, inTime)
		}
	}
}

// Guards against engines that take three times as long for an event as the others, look
// idle, and get their full share of streams, whose pauses are then too long.
func TestSlowEnginesGetFewStreams(t *testing.T) {
	const slow, inTime = 10, 0.9
	r := over(wideSeeds, func(seed uint64) *Scene {
		engines := map[int]float64{}
		for i := range slow {
			engines[i*wideEngines/slow] = 3
		}
		return &Scene{
			Entries: wideEntries, Engines: wideEngines, Shape: wideShape, Slow: engines,
			Asks: Wide(seed, 3*wideSpan, wideRate/2, wideEntries), Count: func(a Ask) bool { return a.At > wideSpan },
		}
	})
	if r.InAim < inTime {
		t.Errorf("%+v, want %.2f in time", r, inTime)
	}
}
