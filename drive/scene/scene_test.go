package scene

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/route"
)

// The fleet of all scenarios and the number of seeds; thresholds hold for the mean over
// the seeds.
const (
	entries = 5
	engines = 18
	seeds   = 4
)

// runMean runs a scenario with each seed.
func runMean(scene func(seed uint64) *Scenario) Result {
	return runSeeds(seeds, func(seed uint64) *Scenario {
		s := scene(seed)
		s.Entries, s.Engines = entries, engines
		return s
	})
}

// runSeeds runs a scenario with a number of seeds. It returns the sum of the loads and the
// means of the shares.
func runSeeds(seeds int, scene func(seed uint64) *Scenario) Result {
	var sum Result
	n := float64(seeds)
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		s := scene(seed)
		s.Seed = seed
		r := s.Run()
		sum.OnTime += r.OnTime / n
		sum.Late += r.Late / n
		sum.Refused += r.Refused / n
		sum.Failed += r.Failed / n
		sum.Loads += r.Loads
	}
	return sum
}

func fixedAdapter(name string) func(int) string { return func(int) string { return name } }

func calmTraffic(seed uint64) []Request { return Traffic(seed, 5000, 75) }

// Guards against decisions that delay the first token under typical loads and faults. Each
// threshold leaves a small margin.
func TestLoads(t *testing.T) {
	hot := func(a Request) bool { return a.Adapter == "hot" }
	for _, c := range []struct {
		name      string
		scene     func(seed uint64) *Scenario
		threshold float64
	}{
		{"calm", func(seed uint64) *Scenario { return &Scenario{Requests: calmTraffic(seed)} }, 0.985},
		{"more than twice as many", func(seed uint64) *Scenario { return &Scenario{Requests: Traffic(seed, 5000, 180)} }, 0.80},
		{"a burst for one adapter", func(seed uint64) *Scenario {
			return &Scenario{Requests: append(calmTraffic(seed), Burst(seed, StreamedRequest, 150, 2000, 2000, fixedAdapter("hot"))...), Counted: hot}
		}, 0.86},
		{"a third of the engines lost", func(seed uint64) *Scenario {
			lose := map[int]magno.Millis{}
			for i := range engines / 3 {
				lose[i] = 2000
			}
			return &Scenario{Requests: calmTraffic(seed), FailAt: lose}
		}, 0.93},
		{"engines that fail 45% in good health", func(seed uint64) *Scenario {
			return &Scenario{Requests: calmTraffic(seed), ErrorRate: map[int]float64{0: 0.45, 5: 0.45, 9: 0.45}}
		}, 0.93},
		{"all engines empty", func(seed uint64) *Scenario { return &Scenario{Requests: calmTraffic(seed), ColdStart: true} }, 0.57},
		{"urgent drafts among too many readings", func(seed uint64) *Scenario {
			requests := append(Burst(seed, StreamedRequest, 700, 1000, 2000, fixedAdapter("a1")), Burst(seed, FormRequest, 40, 1000, 2000, fixedAdapter("a1"))...)
			return &Scenario{Requests: requests, Counted: func(a Request) bool { return a.Rank == 0 }}
		}, 0.99},
	} {
		if r := runMean(c.scene); r.OnTime < c.threshold {
			t.Errorf("%s: got %+v, want a share of %.3f on time", c.name, r, c.threshold)
		}
	}
}

// Guards against redundant loads, which delay other adapters' requests: twenty adapters
// that no engine holds are requested three times each within 0.3 s, and each should be
// loaded once.
func TestRareAdaptersAreLoadedOnce(t *testing.T) {
	r := runMean(func(seed uint64) *Scenario {
		return &Scenario{Requests: Burst(seed, StreamedRequest, 60, 1000, 300, func(i int) string { return fmt.Sprint("rare", i/3) })}
	})
	if limit := seeds * 22; r.Loads > limit {
		t.Errorf("got %d loads, want at most %d", r.Loads, limit)
	}
}

// Guards against too few replicas of a hot adapter: 700 callers request one adapter within
// two seconds. Replicas must be added while the wait at the existing ones is longer than a
// load. With only a few of them most first tokens are late although other engines are
// idle.
func TestHotAdapterSpreads(t *testing.T) {
	scene := func(seed uint64) *Scenario {
		return &Scenario{Requests: Burst(seed, StreamedRequest, 700, 1000, 2000, fixedAdapter("hot"))}
	}
	r := runMean(scene)
	if least := seeds * 10; r.Loads < least {
		t.Errorf("got %d replicas, want at least %d", r.Loads, least)
	}
	capped := runMean(func(seed uint64) *Scenario {
		s := scene(seed)
		s.Tuning = route.PermitTuning()
		s.Tuning.LoadMargin = magno.Minute
		return s
	})
	if r.OnTime < 2*capped.OnTime {
		t.Errorf("share on time: got %.3f, and %.3f without more replicas; want at least twice as much", r.OnTime, capped.OnTime)
	}
}

// Guards against an advantage, or a high cost to waiting requests, from immediate retries:
// under overload, refused callers retry three times at once.
func TestRetryingCallersGainNothing(t *testing.T) {
	simulate := func(retries int) Result {
		return runMean(func(seed uint64) *Scenario {
			requests := Traffic(seed, 4000, 420)
			for i := range requests {
				requests[i].Retries = retries
			}
			return &Scenario{Requests: requests}
		})
	}
	if once, again := simulate(0), simulate(3); again.OnTime < once.OnTime-0.03 {
		t.Errorf("got %+v with retries, %+v without", again, once)
	}
}
