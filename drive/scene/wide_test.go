package scene

import (
	"testing"

	"magnoliastall.example/magno"
)

// A fleet as at a site of hundreds of machines, scaled to a quarter: many entries that
// receive reports from each engine once a second, and engines with few slots.
const (
	wideEntries = 17
	wideEngines = 30
	wideSeeds   = 3
	wideSpan    = 7 * magno.Second
	// wideRate is 60% of the capacity of the engines' batches.
	wideRate = 140
)

var wideFleet = Fleet{Slots: 11, Batch: 12, BacklogInterval: magno.Second, ParallelLoads: 14}

// shiftTraffic returns traffic in which one adapter that no engine holds suddenly receives
// a quarter of all requests.
func shiftTraffic(seed uint64) []Request {
	const hot = wideRate / 4 * 4 // a quarter of the rate over four seconds
	list := Burst(seed, StreamedRequest, hot, 2500, 4000, fixedAdapter("hot"))
	for i := range list {
		list[i].Entry = i % wideEntries
	}
	return append(WideTraffic(seed, wideSpan, wideRate, wideEntries), list...)
}

// Guards against late first tokens when demand shifts to another adapter at once, as
// happens a few times a minute at a large site. A single replica delays its callers until
// about a dozen are loaded. 90% must be on time, also while new engines join that have no
// base model yet.
func TestAdapterThatBecomesHotInAWideFleet(t *testing.T) {
	const inTime = 0.9
	hot := func(a Request) bool { return a.Adapter == "hot" }
	for _, c := range []struct {
		name  string
		joins int
	}{{"all engines there", 0}, {"engines join just before", 8}} {
		r := runSeeds(wideSeeds, func(seed uint64) *Scenario {
			join := map[int]magno.Millis{}
			for i := range c.joins {
				join[i] = 2300
			}
			return &Scenario{
				Entries: wideEntries, Engines: wideEngines, Fleet: wideFleet,
				Requests: shiftTraffic(seed), JoinAt: join, Counted: hot,
			}
		})
		if r.OnTime < inTime {
			t.Errorf("%s: got %+v, want a share of %.2f on time", c.name, r, inTime)
		}
	}
}

// Guards against routing a full share of streams to slow engines: engines that take three
// times as long per event look idle, but their streams pause for too long.
func TestSlowEnginesGetFewStreams(t *testing.T) {
	const slow, inTime = 10, 0.9
	r := runSeeds(wideSeeds, func(seed uint64) *Scenario {
		engines := map[int]float64{}
		for i := range slow {
			engines[i*wideEngines/slow] = 3
		}
		return &Scenario{
			Entries: wideEntries, Engines: wideEngines, Fleet: wideFleet, Slowdown: engines,
			Requests: WideTraffic(seed, 3*wideSpan, wideRate/2, wideEntries), Counted: func(a Request) bool { return a.At > wideSpan },
		}
	})
	if r.OnTime < inTime {
		t.Errorf("got %+v, want a share of %.2f on time", r, inTime)
	}
}
