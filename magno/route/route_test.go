package route

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

func fleet(n int) []magno.Target {
	targets := make([]magno.Target, 0, n)
	for i := range n {
		targets = append(targets, magno.Target{Name: fmt.Sprintf("u%d", i), DataCentre: fmt.Sprintf("d%d", i%4)})
	}
	return targets
}

func newRoute(n int) (*Router, *magno.Clock) {
	clock := magno.NewClock(1_000_000)
	r := &Router{Clock: clock, Seed: 1}
	r.Update(fleet(n))
	return r, clock
}

func sorted(warm []uint32) []uint32 {
	slices.Sort(warm)
	return slices.Compact(warm)
}

func ref(i int) magno.Ref { return magno.Ref{Adapter: fmt.Sprintf("ad%d", i), Version: "1"} }

// The list of targets changes while requests are under way. Work must go only to
// targets that are listed, not leaving and not tried before, and a target must be named
// whenever one is left.
func TestRoutesNameUsableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, clock := newRoute(0)
		usable := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				targets := fleet(rapid.IntRange(0, 12).Draw(t, "n"))
				clear(usable)
				for i := range targets {
					targets[i].Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 3
					usable[targets[i].Name] = !targets[i].Leaving
				}
				r.Update(targets)
			},
			"report": func(t *rapid.T) {
				var warm []uint32
				for i := range 4 {
					if rapid.Bool().Draw(t, "warm") {
						warm = append(warm, ref(i).Hash())
					}
				}
				slices.Sort(warm)
				name := fmt.Sprintf("u%d", rapid.IntRange(0, 12).Draw(t, "u"))
				r.Report(name, magno.Backlog{Wait: 100, Warm: warm})
			},
			"ended": func(t *rapid.T) {
				name := fmt.Sprintf("u%d", rapid.IntRange(0, 12).Draw(t, "u"))
				r.Sent(name, 10)
				r.Ended(name, 10, 100, rapid.Bool().Draw(t, "ok"))
			},
			"time": func(*rapid.T) { clock.Advance(300) },
			"route": func(t *rapid.T) {
				avoid := []string{fmt.Sprintf("u%d", rapid.IntRange(0, 12).Draw(t, "avoid"))}
				q := magno.Query{Ref: ref(rapid.IntRange(0, 3).Draw(t, "ref")), Avoid: avoid, Work: 10}
				if rapid.Bool().Draw(t, "plain") {
					q.Ref = magno.Ref{}
				}
				names := r.Route(q)
				left := 0
				for name, ok := range usable {
					if ok && name != avoid[0] {
						left++
					}
				}
				if (len(names) == 0) != (left == 0) || len(names) > maxNames {
					t.Fatalf("got %v, %d usable", names, left)
				}
				for i, name := range names {
					if !usable[name] || name == avoid[0] || slices.Contains(names[:i], name) {
						t.Fatalf("got %v", names)
					}
				}
			},
		})
	})
}

// There are many adapters and no reports yet. If the ring favoured a target, its slots
// would turn over while others stood idle.
func TestRingIsEven(t *testing.T) {
	r, _ := newRoute(18)
	counts := map[string]int{}
	for i := range 18000 {
		counts[r.ring.find(uint64(ref(i).Hash()), 0).name]++
	}
	for name, n := range counts {
		if n > 1250 || n < 750 {
			t.Fatalf("%s has %d keys of a mean of 1000", name, n)
		}
	}
}

// When a target is added, only its own adapters may move, or every slot of the fleet
// would be reloaded.
func TestRingMovesFewKeys(t *testing.T) {
	before, _ := newRoute(100)
	after, _ := newRoute(101)
	moved := 0
	for i := range 10000 {
		a, b := before.ring.find(uint64(ref(i).Hash()), 0), after.ring.find(uint64(ref(i).Hash()), 0)
		if a.name == b.name {
			continue
		}
		moved++
		if b.name != "u100" {
			t.Fatalf("%v moved from %s to %s", ref(i), a.name, b.name)
		}
	}
	if moved > 200 {
		t.Fatalf("%d of 10000 moved", moved)
	}
}

// first counts how many of n routes name each target first.
func first(r *Router, n int, q magno.Query) map[string]int {
	counts := map[string]int{}
	for range n {
		if names := r.Route(q); len(names) > 0 {
			counts[names[0]]++
		}
	}
	return counts
}

// An adapter is held by a target that isn't its hash candidate. Its requests must go
// there, and elsewhere only when the wait there exceeds a load.
func TestHoldersFirstUntilBusy(t *testing.T) {
	r, _ := newRoute(18)
	home := r.Route(magno.Query{Ref: ref(1)})[0]
	holder := "u3"
	if home == holder {
		holder = "u4"
	}
	warm := []uint32{ref(1).Hash()}
	r.Report(holder, magno.Backlog{Warm: warm})
	q := magno.Query{Ref: ref(1)}
	if got := first(r, 100, q); got[holder] != 100 {
		t.Fatalf("got %v, held by %s", got, holder)
	}
	r.Report(holder, magno.Backlog{Warm: warm, Wait: defaultMinLoad})
	if got := first(r, 100, q); got[holder] != 100 {
		t.Fatalf("got %v with a wait no longer than a load, want the holder", got)
	}
	r.Report(holder, magno.Backlog{Warm: warm, Wait: 2 * (defaultMinLoad + defaultLoadMargin)})
	if got := first(r, 100, q); got[holder] != 0 {
		t.Fatalf("got %v with a wait of two loads at the holder", got)
	}
	r.Report(holder, magno.Backlog{})
	if got := first(r, 100, q); got[home] != 100 {
		t.Fatalf("got %v after the eviction, want %s", got, home)
	}
}

// One target is full of one customer's work. The holder of another customer's adapter
// has a shorter queue, all of it that customer's own. Its work must go to the first
// target, where it is next in fair order: judged by the length of whole queues, it
// would pile up at the holder and be refused there.
func TestWaitIsThatOfTheCustomer(t *testing.T) {
	r, _ := newRoute(2)
	warm := []uint32{ref(1).Hash()}
	r.Report("u0", magno.Backlog{Warm: warm, Wait: 20_000, Waits: map[string]magno.Millis{"mine": 20_000}})
	r.Report("u1", magno.Backlog{Wait: 60_000, Waits: map[string]magno.Millis{"other": 60_000}})
	tests := []struct{ customer, want string }{{"mine", "u1"}, {"other", "u0"}, {"", "u0"}}
	for _, tt := range tests {
		q := magno.Query{Ref: ref(1), Customer: tt.customer}
		if got := r.Route(q)[0]; got != tt.want {
			t.Errorf("work of %q goes to %s", tt.customer, got)
		}
		if got := r.Homes(q, "key", 1)[0]; got != tt.want {
			t.Errorf("keyed work of %q goes to %s", tt.customer, got)
		}
	}
}

// A target flaps: it fails, recovers and fails again. It must get few requests while it
// fails, and regain its share gradually, more slowly the second time.
func TestFlappingTargetComesBackGradually(t *testing.T) {
	r, clock := newRoute(2)
	for _, name := range []string{"u0", "u1"} {
		r.Report(name, magno.Backlog{Warm: []uint32{ref(1).Hash()}})
	}
	q := magno.Query{Ref: ref(1)}
	share := func() float64 { return float64(first(r, 1000, q)["u0"]) / 1000 }
	usual := share()
	var after [2]float64
	for round := range after {
		for range 20 {
			r.Sent("u0", 1)
			r.Ended("u0", 1, 10, false)
		}
		if down := share(); down > 0.1*usual {
			t.Fatalf("a failing target gets a share of %v, %v before", down, usual)
		}
		clock.Advance(2 * recoveryHalfLife)
		after[round] = share()
		if after[round] > 0.9*usual || after[round] == 0 {
			t.Fatalf("share of %v soon after the failures, %v before", after[round], usual)
		}
		clock.Advance(magno.Minute)
	}
	if after[1] >= after[0] {
		t.Fatalf("share of %v after the first outage, %v after the second", after[0], after[1])
	}
	clock.Advance(magno.Hour)
	if now := share(); math.Abs(now-usual) > 0.1 {
		t.Fatalf("share of %v after an hour, %v before", now, usual)
	}
}

// A target takes four times as long as the others for the same work and doesn't report
// it. Work must move to the others.
func TestSlowTargetGetsLessWork(t *testing.T) {
	r, _ := newRoute(2)
	for _, name := range []string{"u0", "u1"} {
		r.Report(name, magno.Backlog{Warm: []uint32{ref(1).Hash()}})
	}
	for range 100 {
		r.Ended("u1", 100, 1000, true)
		r.Ended("u0", 100, 4000, true)
	}
	if got := first(r, 1000, magno.Query{Ref: ref(1), Work: 100}); got["u0"] > 100 {
		t.Fatalf("the slow target gets %d of 1000 requests", got["u0"])
	}
}

// Requests, answers and changes of the list come on many goroutines. With the race
// detector this finds state that isn't guarded.
func TestConcurrentUse(t *testing.T) {
	r, _ := newRoute(18)
	done := make(chan struct{})
	for g := range 4 {
		go func() {
			defer func() { done <- struct{}{} }()
			for i := range 200 {
				name := r.Route(magno.Query{Ref: ref(i % 7)})[0]
				r.Sent(name, 10)
				r.Report(name, magno.Backlog{Wait: 5, Warm: []uint32{ref(i % 7).Hash()}})
				r.Ended(name, 10, 100, i%9 != 0)
				if g == 0 {
					r.Update(fleet(10 + i%9))
				}
			}
		}()
	}
	for range 4 {
		<-done
	}
}

// A rare adapter is requested again. One target still has it in host memory and loads
// it in a tenth of the time; the hash candidate would fetch it from the weight store,
// for which all others wait as well.
func TestAdapterInMemoryIsLoadedThere(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	r := &Router{Clock: clock, Seed: 1, Tuning: PermitTuning()}
	r.Update(fleet(18))
	home := r.Route(magno.Query{Ref: ref(1)})[0]
	memHolder := "u3"
	if home == memHolder {
		memHolder = "u4"
	}
	for i := range 18 {
		r.Report(fmt.Sprint("u", i), magno.Backlog{LoadWait: 250, CachedWait: 25})
	}
	r.Report(memHolder, magno.Backlog{LoadWait: 250, CachedWait: 25, Cached: []uint32{ref(1).Hash()}})
	if got := first(r, 100, magno.Query{Ref: ref(1)}); got[memHolder] != 100 {
		t.Errorf("got %v, the adapter is in memory on %s", got, memHolder)
	}
	r.Report(memHolder, magno.Backlog{LoadWait: 2250, CachedWait: 2025, Cached: []uint32{ref(1).Hash()}})
	if got := first(r, 100, magno.Query{Ref: ref(1)}); got[home] != 100 {
		t.Errorf("got %v while the target with the adapter in memory has no slot for two seconds", got)
	}
	r.Report(memHolder, magno.Backlog{})
	if len(r.memHolders) != 0 {
		t.Errorf("%d adapters still indexed as in memory", len(r.memHolders))
	}
}

// Two holders of an adapter have different waits. The choice must report the wait up to
// which the first is better, so that the first can tell when its wait has grown beyond
// that since its report.
func TestChoiceReportsLongestUsefulWait(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	r := &Router{Clock: clock, Seed: 1, Tuning: PermitTuning()}
	r.Update(fleet(2))
	warm := []uint32{ref(1).Hash()}
	r.Report("u0", magno.Backlog{Warm: warm, Wait: 100})
	r.Report("u1", magno.Backlog{Warm: warm, Wait: 400})
	c := r.Choose(magno.Query{Ref: ref(1)})
	if c.Names[0] != "u0" || c.MaxWait < 395 || c.MaxWait > 425 {
		t.Errorf("got %+v, want u0 up to a wait of about 400 ms", c)
	}
	r.Update(fleet(1))
	if c := r.Choose(magno.Query{Ref: ref(1)}); c.MaxWait != 0 {
		t.Errorf("got a limit of %d ms with a single target, want none", c.MaxWait)
	}
}

// An engine crashes and its agent reports it. If it were named among the few targets
// that a request may try, it would displace one that works, and requests were refused
// because all targets that they tried were down.
func TestTargetThatIsDownIsNotNamed(t *testing.T) {
	r := &Router{Clock: magno.NewClock(magno.Hour)}
	var targets []magno.Target
	for i := range 20 {
		targets = append(targets, magno.Target{Name: fmt.Sprint("t", i)})
	}
	r.Update(targets)
	q := magno.Query{Ref: magno.Ref{Adapter: "m/a"}}
	home := r.Route(q)[0]
	r.Report(home, magno.Backlog{Warm: []uint32{q.Ref.Hash()}, Down: true})
	names := r.Route(q)
	if slices.Contains(names, home) || len(names) == 0 {
		t.Errorf("named %v while %s is down", names, home)
	}
	r.Report(home, magno.Backlog{Warm: []uint32{q.Ref.Hash()}})
	if names := r.Route(q); names[0] != home {
		t.Errorf("named %v although %s is up again and holds the adapter", names, home)
	}
}

// Engines join a fleet without their base model, which takes seconds to load, and they
// are an adapter's next hash candidates. If they counted, its requests would keep
// waiting at a full holder beside idle engines.
func TestTargetsWithoutBaseModelDoNotCount(t *testing.T) {
	r := &Router{Clock: magno.NewClock(magno.Hour)}
	targets := fleet(20)
	r.Update(targets)
	q := magno.Query{Ref: magno.Ref{Adapter: "m/a"}}
	loading := r.Route(q)[:hashCandidates]
	for _, name := range loading {
		r.Report(name, magno.Backlog{BaseWait: 3000, LoadWait: 3250})
	}
	names := r.Route(q)
	if len(names) < 2*hashCandidates || slices.Contains(loading, names[0]) || slices.Contains(loading, names[1]) {
		t.Errorf("named %v while %v load their base model", names, loading)
	}
}

// An adapter becomes hot, its holders are full, and all entries look for the next one
// at the same moment. With several holders they must not all choose the same, or
// replicas are made one after the other, each full as soon as it is loaded. With one or
// none they must, or a rare adapter is loaded twice.
func TestReplicasOfAHotAdapterDouble(t *testing.T) {
	q := magno.Query{Ref: magno.Ref{Adapter: "m/a"}}
	for _, c := range []struct{ holders, least, most int }{{0, 1, 1}, {1, 1, 1}, {4, 3, 4}, {12, 8, 12}} {
		next := map[string]bool{}
		for seed := range uint64(60) {
			r := &Router{Clock: magno.NewClock(magno.Hour), Seed: seed}
			r.Update(fleet(60))
			for i := range c.holders {
				r.Report(fmt.Sprint("u", i), magno.Backlog{Warm: []uint32{q.Ref.Hash()}, Wait: magno.Minute})
			}
			next[r.Route(q)[0]] = true
		}
		if len(next) < c.least || len(next) > c.most {
			t.Errorf("%d holders: %d different next targets, want %d to %d", c.holders, len(next), c.least, c.most)
		}
	}
}
