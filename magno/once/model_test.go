package once

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// historyCount is the number of concurrent histories that are checked.
var historyCount = 6

// TestMain fixes the seed so that runs are reproducible. The environment variables SEED and
// CHECKS override it for long searches.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{
		"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "120", "rapid.nofailfile": "true",
	}
	if seed := os.Getenv("SEED"); seed != "" {
		settings["rapid.seed"] = seed
	}
	if checks := os.Getenv("CHECKS"); checks != "" {
		settings["rapid.checks"] = checks
		n, _ := strconv.Atoi(checks)
		historyCount = max(historyCount, n/200)
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// actions returns the events that may happen at any time, in any order.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int, what string) int {
		if n == 0 {
			t.Skip()
		}
		return rapid.IntRange(0, n-1).Draw(t, what)
	}
	openTasks := func(granted bool) (all []*task) {
		for _, k := range sim.tasks {
			if !k.ended && k.granted == granted && sim.alive(k.home) {
				all = append(all, k)
			}
		}
		return all
	}
	deliver := func(t *rapid.T) {
		for range rapid.IntRange(1, 24).Draw(t, "burst") {
			if len(sim.packets) == 0 {
				return
			}
			i := pick(t, len(sim.packets), "packet")
			p := sim.packets[i]
			if rapid.IntRange(0, 7).Draw(t, "copy") > 0 {
				sim.packets = append(sim.packets[:i:i], sim.packets[i+1:]...)
			}
			sim.deliver(p, rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "astray"))
		}
	}
	exchange := func(t *rapid.T) {
		tasks := openTasks(false)
		k := tasks[pick(t, len(tasks), "task")]
		for range 2 {
			for _, p := range sim.takePackets(k) {
				sim.deliver(p, 0)
			}
		}
	}
	send := func(t *rapid.T) {
		k := pick(t, len(sim.keys), "key")
		body := rapid.SampledFrom([]uint64{0, 0, 0, 0, 0, 0, 1}).Draw(t, "body")
		sim.send(sim.homes[pick(t, len(sim.homes), "home")], k, body)
	}
	return map[string]func(*rapid.T){
		"issue": func(t *rapid.T) {
			if len(sim.keys) == sim.maxKeys {
				t.Skip()
			}
			sim.issueKey(t)
		},
		"send": send, "send again": send, "send thrice": send,
		"deliver": deliver, "deliver more": deliver,
		"exchange": exchange, "exchange more": exchange,
		"expire": func(t *rapid.T) {
			tasks := openTasks(false)
			sim.timeOutRound(tasks[pick(t, len(tasks), "task")])
		},
		"finish": func(t *rapid.T) {
			tasks := openTasks(true)
			sim.finish(tasks[pick(t, len(tasks), "task")], rapid.IntRange(0, 3).Draw(t, "run") > 0)
		},
		"restart witness": func(t *rapid.T) {
			sim.skipByChurn(t)
			sim.drawClockOffset(t)
			i := pick(t, len(sim.slots)+2, "slot")
			for n, s := range sim.slots {
				if n == i || i == len(sim.slots) || i > len(sim.slots) && s.overlap {
					sim.startWitness(t, s)
				}
			}
		},
		"restart home": func(t *rapid.T) {
			sim.skipByChurn(t)
			i := pick(t, len(sim.homes), "home")
			h := sim.homes[i]
			if len(sim.homes) > 5 || rapid.Bool().Draw(t, "ended") {
				sim.homes = append(sim.homes[:i:i], sim.homes[i+1:]...)
			}
			sim.startHome(t, h.name)
		},
		"advance": func(t *rapid.T) {
			sim.advance(magno.Millis(rapid.SampledFrom([]int{1, 500, 500, 1000, 2001, 2001, 2001, 6000, 20000}).Draw(t, "ms")))
		},
		"cut": func(t *rapid.T) {
			sim.skipByChurn(t)
			h := sim.homes[pick(t, len(sim.homes), "home")]
			h.partitions = rapid.SampledFrom([]int{0, 1, 2, 4, 8, 3, 6, 12, 9, 15}).Draw(t, "cuts")
		},
		"": func(t *rapid.T) {
			if sim.fault = sim.violation(); sim.fault != "" {
				t.Fatalf("%s\n%s", sim.fault, strings.Join(sim.log, "\n"))
			}
		},
	}
}

// skipByChurn skips an event with a probability that differs between histories: if failures
// happen all the time, nothing is ever granted.
func (sim *simulation) skipByChurn(t *rapid.T) {
	if rapid.IntRange(1, 10).Draw(t, "chance") > sim.churn {
		t.Skip()
	}
}

// historyProperty runs one random history of a variant.
func historyProperty(r variant) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(t, r)
		t.Repeat(sim.actions())
	}
}

// Guards against a receipt that is counted twice, or counted after its caller was told "not
// run". Callers repeatedly send their keys to any home while witnesses lose their memory, old
// home processes keep running and resume late, messages are delayed, lost and duplicated, data
// centres are partitioned, clocks differ by up to the maximum, and some processes have an old
// configuration.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, historyProperty(variant{doubledSlots: 2}))
}

// runHistory runs the random history of a seed under a variant.
func runHistory(r variant, seed int) *simulation {
	var sim *simulation
	rapid.Custom(func(t *rapid.T) int {
		// Example retries after a failure; keep the first violation.
		if sim != nil && sim.fault != "" {
			return rapid.Int().Draw(t, "unused")
		}
		sim = newSimulation(t, r)
		t.Repeat(sim.actions())
		return 0
	}).Example(seed)
	return sim
}

// Guards against a model that can't detect violations: with each rule broken on purpose, it
// must find one. The seeds are the first whose history shows the violation. Changes of the
// model or of the order of messages need other seeds, which SEARCH=1 finds.
func TestWeakenedRulesFail(t *testing.T) {
	tests := []struct {
		name string
		r    variant
		seed int
	}{
		{"four of seven with two doubled", variant{doubledSlots: 2, quorum: 4}, 2203},
		{"three of seven", variant{quorum: 3}, 94},
		{"a witness ignores that it started after the key", variant{doubledSlots: 2, ignoreStart: true}, 113},
		{"an old roster is used past its end", variant{doubledSlots: 2, ignoreRosterEnd: true}, 20},
		{"not run is told without a quorum", variant{doubledSlots: 2, denyEarly: true}, 1},
		{"three doubled, one over the bound", variant{doubledSlots: 3}, 8839},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seed := tt.seed
			if os.Getenv("SEARCH") != "" {
				for seed = 1; seed < 50000 && runHistory(tt.r, seed).fault == ""; seed++ {
				}
			}
			sim := runHistory(tt.r, seed)
			t.Logf("seed %d: %s", seed, sim.fault)
			if sim.fault == "" {
				t.Error("the history shows no violation")
			}
		})
	}
}

// Guards against a model whose histories never reach the critical outcomes, such as one in
// which no key is ever granted, and which therefore finds no violation.
func TestHistoriesCoverAllOutcomes(t *testing.T) {
	const total = 400
	covered := map[string]int{}
	for seed := 1; seed <= total; seed++ {
		sim := runHistory(variant{doubledSlots: 2}, seed)
		for what, n := range sim.coverage() {
			covered[what] += n
		}
	}
	t.Logf("of %d histories: %v", total, covered)
	for _, what := range []string{"ran", "denied", "lost", "yield", "blocked", "short", "dead", "replayed", "forgot", "stale", "another body denied"} {
		if covered[what] < total/100 {
			t.Errorf("%s: only in %d of %d", what, covered[what], total)
		}
	}
}

// Guards against granting a key twice when all witnesses are replaced right after they granted
// a key issued as far ahead as they allow, and the clocks of the new processes are behind by
// the maximum skew. The new processes wait for twice the skew; with a wait of once the skew
// they would grant the key again.
func TestClocksAtTheBound(t *testing.T) {
	for _, tt := range []struct {
		r    variant
		runs int
	}{{variant{}, 1}, {variant{singleSkewWait: true}, 2}} {
		sim := emptySimulation(tt.r)
		sim.sharedOffset, sim.clockOffset, sim.slots = true, skew/2, sim.slots[:7]
		restart := func() {
			for _, s := range sim.slots {
				sim.startWitness(nil, s)
			}
		}
		restart()
		sim.advance(3 * skew)
		sim.issueKeyAt(sim.now + 3*skew/2)
		for i, band := range []magno.Millis{skew / 2, -skew / 2} {
			h := &home{clock: magno.NewClock(sim.now + skew/2), staleConfig: true}
			h.table = newKeyTable("h", fmt.Sprint(i), skew, retention, 10, 1<<20)
			sim.homes = append(sim.homes, h)
			sim.send(h, 0, 0)
			k := sim.tasks[i]
			for len(sim.packets) > 0 {
				p := sim.packets[0]
				sim.packets = sim.packets[1:]
				sim.deliver(p, 0)
			}
			if k.granted {
				sim.finish(k, true)
			}
			sim.clockOffset = band - skew
			restart()
			sim.advance(skew)
		}
		if sim.truths[0].runs != tt.runs {
			t.Errorf("%+v: %d runs\n%s", tt.r, sim.truths[0].runs, strings.Join(sim.log, "\n"))
		}
	}
}
