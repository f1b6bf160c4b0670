package queue

import (
	"math"
	"testing"

	"magnoliastall.example/magno"
)

// sceneSeeds is the number of seeds over which outcomes are added up.
const sceneSeeds = 4

// peakSeeds replaces sceneSeeds near capacity, where single seeds differ by percents.
const peakSeeds = 24

// steady is a constant level.
func steady(level float64) func(magno.Millis) float64 {
	return func(magno.Millis) float64 { return level }
}

// wave has the mean 0.6 and the peak 0.95.
func wave(at magno.Millis) float64 { return 0.6 + 0.35*math.Sin(2*math.Pi*float64(at)/17000) }

// overload is calm for three seconds, then 1.3 for four, then calm.
func overload(at magno.Millis) float64 {
	if at >= 3000 && at < 7000 {
		return 1.3
	}
	return 0.6
}

// slowTurns makes each upstream slow for 15% of the time, in turns of 1.5 s.
func slowTurns(up int, at magno.Millis) bool { return (int(at)+up*3300)%10000 < 1500 }

// expectation is what the queue must reach against sending at once.
type expectation int

const (
	notWorse  expectation = iota // on time within a percent, hardly any refused
	better                       // more on time, no more refused
	moreValue                    // more value and fewer refused
)

// TestLoad replays loads with the queue and with the policy without it. Without the queue, upstreams
// fill by chance, and under overload every answer waits for a whole upstream queue.
func TestLoad(t *testing.T) {
	for _, l := range []struct {
		name         string
		entries, ups int
		level        func(magno.Millis) float64
		slow         func(int, magno.Millis) bool
		// burst is the number of requests that each entry has at its start.
		burst int
		// hot is true if one entry has as many requests as 100 others, and another one from the
		// middle on.
		hot  bool
		end  magno.Millis
		want expectation
	}{
		{"calm", 30, 3, steady(0.5), nil, 0, false, 20000, notWorse},
		{"calm with slow upstreams", 30, 3, steady(0.5), slowTurns, 0, false, 20000, notWorse},
		{"waves", 30, 3, wave, nil, 0, false, 34000, notWorse},
		{"waves with slow upstreams", 30, 3, wave, slowTurns, 0, false, 34000, better},
		{"peak", 30, 3, steady(0.95), nil, 0, false, 20000, notWorse},
		{"peak with slow upstreams", 30, 3, steady(0.95), slowTurns, 0, false, 20000, better},
		{"overload", 30, 3, overload, nil, 0, false, 15000, better},
		{"overload with slow upstreams", 30, 3, overload, slowTurns, 0, false, 15000, better},
		{"long overload", 30, 3, steady(1.3), nil, 0, false, 30000, better},
		{"start with a backlog", 30, 3, steady(0.6), nil, 12, false, 6000, moreValue},
		{"one entry with most requests", 30, 3, steady(0.7), nil, 0, true, 10000, notWorse},
		{"96 entries with one with most requests", 96, 15, steady(0.7), nil, 0, true, 10000, notWorse},
		{"96 entries with an overload", 96, 15, overload, nil, 0, false, 10000, better},
	} {
		t.Run(l.name, func(t *testing.T) {
			play := func(direct bool) (sum outcome) {
				seeds := uint64(sceneSeeds)
				if l.name == "peak" {
					seeds = peakSeeds
				}
				for seed := range seeds {
					s := newScene(seed+1, l.entries, l.ups, direct)
					s.slow = l.slow
					for _, f := range s.fronts {
						for range l.burst {
							s.arrive(magno.Millis(s.rand.IntN(100)), f)
						}
					}
					s.loadHalves(l.end, l.level, l.hot)
					s.run(l.end + 2*scenePatient)
					sum.add(s.outcome(0, l.end))
				}
				return sum
			}
			compareOutcomes(t, play(true), play(false), l.want)
		})
	}
}

func compareOutcomes(t *testing.T, direct, queued outcome, want expectation) {
	t.Helper()
	t.Logf("direct %v", direct)
	t.Logf("queued %v", queued)
	if queued.open > 0 {
		t.Errorf("%d requests were never decided on", queued.open)
	}
	percent := queued.total() / 100
	switch {
	case want == notWorse && (queued.onTime < direct.onTime-percent || queued.refused > direct.refused+percent/5):
		t.Error("worse than sending at once")
	case want == better && (queued.onTime <= direct.onTime || queued.refused > direct.refused):
		t.Error("not better than sending at once")
	case want == moreValue && (queued.value() <= direct.value() || queued.refused > direct.refused/2):
		t.Error("no more value than by sending at once")
	}
}
