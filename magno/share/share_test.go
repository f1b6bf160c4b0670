package share

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

func item(id, customer, caller string, urgency, tokens int) *Item {
	return &Item{Run: magno.Millis(tokens), Job: magno.Job{ID: id, Customer: customer,
		Caller: caller, Urgency: urgency, Output: tokens}}
}

// fill queues n jobs of one caller, all with a loaded adapter.
func fill(q *Queue, customer, caller string, urgency, n, tokens int) {
	for i := range n {
		id := fmt.Sprintf("%s/%s/%d/%d", customer, caller, urgency, i)
		q.Add(item(id, customer, caller, urgency, tokens), true, 1<<40)
	}
}

// Two customers always have jobs of random sizes queued. The service that each
// received, divided by its weight, must not differ by more than one job of each;
// otherwise one customer's callers would wait for the other's work.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 5).Draw(t, "wa"), "b": 1}
		q := New(weights, DefaultBoost)
		const largest = 500
		n := 0
		add := func(customer string) {
			n++
			tokens := rapid.IntRange(1, largest).Draw(t, "tokens")
			caller := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller")
			q.Add(item(fmt.Sprint(n), customer, caller, rapid.IntRange(0, 9).Draw(t, "u"), tokens), true, 1<<40)
		}
		for range 5 {
			add("a")
			add("b")
		}
		got := map[string]float64{}
		for range 200 {
			it := q.Take(true)
			name := it.Job.Customer
			got[name] += float64(it.Job.Output) / weights[name]
			add(name)
			bound := largest/weights["a"] + largest/weights["b"]
			if d := got["a"] - got["b"]; d > bound || d < -bound {
				t.Fatalf("service divided by weight %v differs by more than %v", got, bound)
			}
		}
	})
}

// One caller has a long backlog of jobs. A job of another caller of the same
// customer must start after at most two of them, not after the whole backlog.
func TestHotCallerWaitsForItself(t *testing.T) {
	q := New(nil, DefaultBoost)
	fill(q, "a", "hot", 5, 100, 100)
	for range 10 {
		q.Take(true)
	}
	q.Add(item("calm", "a", "calm", 5, 100), true, 1<<40)
	for i := range 3 {
		if q.Take(true).Job.Caller == "calm" {
			return
		}
		if i == 2 {
			t.Fatal("the second caller's job did not start within three jobs")
		}
	}
}

// Urgent jobs keep arriving. A job of the lowest urgency must still start, after a
// bounded number of them.
func TestUrgencyStarvesNobody(t *testing.T) {
	q := New(nil, DefaultBoost)
	q.Add(item("low", "a", "x", 0, 100), true, 1<<40)
	bound := (Urgencies - 1) * DefaultBoost / 100
	for i := range bound + 2 {
		q.Add(item(fmt.Sprint(i), "a", "y", 9, 100), true, 1<<40)
		if q.Take(true).Job.ID == "low" {
			if i < bound/2 {
				t.Fatalf("only %d urgent jobs started before the least urgent one", i)
			}
			return
		}
	}
	t.Fatalf("not started after %d urgent jobs", bound+2)
}

// Arrivals, loads, evictions, cancellations and starts happen in any order, and the
// queue's counts must match a plain map of the jobs. A count that drifts would
// make every later refusal and reported wait wrong.
func TestCountsFollowAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(nil, DefaultBoost)
		refs := []magno.Ref{{}, {Adapter: "1"}, {Adapter: "2"}}
		loaded := map[magno.Ref]bool{{}: true}
		jobs := map[string]*Item{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				n++
				it := item(fmt.Sprint(n), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "b"), "x",
					rapid.IntRange(0, 9).Draw(t, "u"), rapid.IntRange(1, 9).Draw(t, "t"))
				it.Job.Ref = rapid.SampledFrom(refs).Draw(t, "ref")
				it.Long = rapid.Bool().Draw(t, "long")
				it.Job.Arrived = magno.Millis(n)
				q.Add(it, loaded[it.Job.Ref], magno.Millis(n%7))
				jobs[it.Job.ID] = it
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				if (q.Remove(id) != nil) != (jobs[id] != nil) {
					t.Fatalf("Remove(%s) disagrees with the reference map", id)
				}
				delete(jobs, id)
			},
			"take": func(t *rapid.T) {
				long := rapid.Bool().Draw(t, "long")
				it := q.Take(long)
				if it != nil && (!loaded[it.Job.Ref] || (it.Long && !long) || jobs[it.Job.ID] != it) {
					t.Fatalf("Take returned %+v, which must not start", it)
				}
				for _, other := range jobs {
					if it == nil && loaded[other.Job.Ref] && (long || !other.Long) {
						t.Fatalf("Take returned nothing although %+v is ready", other)
					}
				}
				if it != nil {
					delete(jobs, it.Job.ID)
				}
			},
			"load": func(t *rapid.T) {
				ref := rapid.SampledFrom(refs[1:]).Draw(t, "ref")
				loaded[ref] = !loaded[ref]
				if loaded[ref] {
					q.MarkReady(ref)
				} else {
					q.MarkUnready(ref)
				}
			},
			"": func(t *rapid.T) { compare(t, q, jobs, loaded) },
		})
	})
}

func compare(t *rapid.T, q *Queue, jobs map[string]*Item, loaded map[magno.Ref]bool) {
	tokens, ready := 0, magno.Millis(0)
	unready := map[magno.Ref]bool{}
	for _, it := range jobs {
		tokens += it.Job.Output
		if loaded[it.Job.Ref] {
			ready += it.Run
		} else {
			unready[it.Job.Ref] = true
		}
	}
	if q.Len() != len(jobs) || q.Tokens() != tokens || q.ReadyRun() != ready || q.Unready() != len(unready) {
		t.Fatalf("Len, Tokens, ReadyRun and Unready are %d %d %d %d, want %d %d %d %d", q.Len(), q.Tokens(), q.ReadyRun(), q.Unready(),
			len(jobs), tokens, ready, len(unready))
	}
	_, found := q.MostHarmful(1000, func(magno.Ref) bool { return true })
	if found != (len(unready) > 0) {
		t.Fatalf("MostHarmful found a pending load: %v; %d adapters are not loaded", found, len(unready))
	}
}
