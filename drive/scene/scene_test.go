package scene

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/route"
)

// The fleet of all scenes, and their seeds: a floor holds for their mean.
const (
	entries = 5
	engines = 18
	seeds   = 4
)

// mean plays a scene with each seed.
func mean(scene func(seed uint64) *Scene) Result {
	return over(seeds, func(seed uint64) *Scene {
		s := scene(seed)
		s.Entries, s.Engines = entries, engines
		return s
	})
}

// over plays a scene with so many seeds; loads are summed up, shares are the mean.
func over(seeds int, scene func(seed uint64) *Scene) Result {
	var sum Result
	n := float64(seeds)
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		s := scene(seed)
		s.Seed = seed
		r := s.Play()
		sum.InAim += r.InAim / n
		sum.Late += r.Late / n
		sum.Refused += r.Refused / n
		sum.Failed += r.Failed / n
		sum.Loads += r.Loads
	}
	return sum
}

func named(name string) func(int) string { return func(int) string { return name } }

func calm(seed uint64) []Ask { return Traffic(seed, 5000, 75) }

// Loads at which decisions went wrong, or could. What a caller notices is a first
// word that comes late; each floor is a little under what is reached.
func TestLoads(t *testing.T) {
	hot := func(a Ask) bool { return a.Adapter == "hot" }
	for _, c := range []struct {
		name  string
		scene func(seed uint64) *Scene
		floor float64
	}{
		{"calm", func(seed uint64) *Scene { return &Scene{Asks: calm(seed)} }, 0.985},
		{"more than twice as many", func(seed uint64) *Scene { return &Scene{Asks: Traffic(seed, 5000, 180)} }, 0.80},
		{"a burst for one adapter", func(seed uint64) *Scene {
			return &Scene{Asks: append(calm(seed), Burst(seed, Reading, 150, 2000, 2000, named("hot"))...), Count: hot}
		}, 0.86},
		{"a third of the engines lost", func(seed uint64) *Scene {
			lose := map[int]magno.Millis{}
			for i := range engines / 3 {
				lose[i] = 2000
			}
			return &Scene{Asks: calm(seed), Lose: lose}
		}, 0.93},
		{"engines that fail 45% in good health", func(seed uint64) *Scene {
			return &Scene{Asks: calm(seed), Grey: map[int]float64{0: 0.45, 5: 0.45, 9: 0.45}}
		}, 0.93},
		{"all engines empty", func(seed uint64) *Scene { return &Scene{Asks: calm(seed), Cold: true} }, 0.57},
		{"urgent drafts among too many readings", func(seed uint64) *Scene {
			asks := append(Burst(seed, Reading, 700, 1000, 2000, named("a1")), Burst(seed, Draft, 40, 1000, 2000, named("a1"))...)
			return &Scene{Asks: asks, Count: func(a Ask) bool { return a.Rank == 0 }}
		}, 0.99},
	} {
		if r := mean(c.scene); r.InAim < c.floor {
			t.Errorf("%s: %+v, want %.3f in time", c.name, r, c.floor)
		}
	}
}

// Twenty adapters that nobody holds are asked for three times each within a third
// of a second. Each is loaded once: loads beyond that keep others waiting.
func TestRareAdaptersAreLoadedOnce(t *testing.T) {
	r := mean(func(seed uint64) *Scene {
		return &Scene{Asks: Burst(seed, Reading, 60, 1000, 300, func(i int) string { return fmt.Sprint("rare", i/3) })}
	})
	if most := seeds * 22; r.Loads > most {
		t.Errorf("%d loads, want %d at most", r.Loads, most)
	}
}

// 700 callers ask for one adapter within two seconds. It gets replicas while the
// wait at those it has is longer than a load; with a few only, most first words
// come late though other engines are idle.
func TestHotAdapterSpreads(t *testing.T) {
	scene := func(seed uint64) *Scene { return &Scene{Asks: Burst(seed, Reading, 700, 1000, 2000, named("hot"))} }
	r := mean(scene)
	if least := seeds * 10; r.Loads < least {
		t.Errorf("%d replicas, want %d at least", r.Loads, least)
	}
	never := mean(func(seed uint64) *Scene {
		s := scene(seed)
		s.Tuning = route.PermitTuning()
		s.Tuning.LoadMargin = magno.Minute
		return s
	})
	if r.InAim < 2*never.InAim {
		t.Errorf("%.3f in time, and %.3f without further replicas; want twice as many", r.InAim, never.InAim)
	}
}

// Callers that are refused come back at once, three times, at more load than
// there is room for. They gain nothing by it, and those who wait lose little.
func TestStubbornCallersGainNothing(t *testing.T) {
	play := func(stubborn int) Result {
		return mean(func(seed uint64) *Scene {
			asks := Traffic(seed, 4000, 420)
			for i := range asks {
				asks[i].Stubborn = stubborn
			}
			return &Scene{Asks: asks}
		})
	}
	if once, again := play(0), play(3); again.InAim < once.InAim-0.03 {
		t.Errorf("%+v, without their coming back %+v", again, once)
	}
}
