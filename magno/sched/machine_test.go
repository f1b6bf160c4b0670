package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// machine drives a scheduler with events in any order and keeps a simple model of the
// upstream's state to compare with.
type machine struct {
	clock *magno.Clock
	s     *Sched
	// slots holds the adapters that occupy a slot; the value is true for loaded ones.
	slots     map[magno.Ref]bool
	loading   []magno.Ref
	unloading []magno.Ref
	queued    map[string]magno.Job
	running   map[string]magno.Job
	ended     map[string]string
	// crashed holds the fingerprints of jobs that ran at a restart, exclusive the IDs
	// of jobs that were offered with one of them.
	crashed   map[uint64]bool
	exclusive map[string]bool
	lastID    int
	resets    int
}

func newMachine(turns bool) *machine {
	m := &machine{clock: magno.NewClock(1_000_000), slots: map[magno.Ref]bool{},
		queued: map[string]magno.Job{}, running: map[string]magno.Job{}, ended: map[string]string{},
		crashed: map[uint64]bool{}, exclusive: map[string]bool{}}
	m.s = &Sched{Clock: m.clock, Turns: turns, Weights: map[string]float64{"a": 3},
		Limits: magno.Limits{Slots: 2, Batch: 3, Tokens: 64, Step: 10, Load: 200}}
	return m
}

func (m *machine) offer(t *rapid.T) {
	m.lastID++
	job := magno.Job{
		ID:          fmt.Sprintf("j%d", m.lastID),
		Customer:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Caller:      rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller"),
		Urgency:     rapid.IntRange(0, 9).Draw(t, "urgency"),
		Stall:       rapid.Float64Range(0, 1).Draw(t, "stall"),
		Prompt:      rapid.IntRange(0, 100).Draw(t, "prompt"),
		Output:      rapid.IntRange(1, 200).Draw(t, "output"),
		Fingerprint: rapid.Uint64Range(0, 9).Draw(t, "print"),
		Arrived:     m.clock.Now(),
	}
	job.Deadline = job.Arrived + magno.Millis(rapid.SampledFrom([]int{60000, 600000, 5000, 500, -1}).Draw(t, "deadline"))
	if n := rapid.IntRange(0, 5).Draw(t, "adapter"); n > 0 {
		version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
		job.Ref = magno.Ref{Adapter: fmt.Sprintf("ad%d", n), Version: version}
	}
	if r := m.s.Offer(job); r != nil {
		m.checkRefusal(t, job, r)
		return
	}
	m.queued[job.ID] = job
	m.exclusive[job.ID] = m.crashed[job.Fingerprint]
}

func (m *machine) checkRefusal(t *rapid.T, job magno.Job, r *magno.Refusal) {
	if r.Run != magno.RunNo {
		t.Fatalf("%s was refused with run %q, want that it did not run", job.ID, r.Run)
	}
	if r.Kind.Answer().Retryable != (r.After > 0) {
		t.Fatalf("%s was refused as %s with a retry after %d ms", job.ID, r.Kind, r.After)
	}
	m.recordEnd(t, job.ID, "refused")
}

func (m *machine) recordEnd(t *rapid.T, id, state string) {
	if was := m.ended[id]; was != "" {
		t.Fatalf("%s was %s after it was %s", id, state, was)
	}
	m.ended[id] = state
}

func (m *machine) next(t *rapid.T) {
	for _, o := range m.s.Next() {
		switch o.Kind {
		case magno.OrderStart:
			m.start(t, o)
		case magno.OrderRefuse:
			if _, ok := m.queued[o.Job.ID]; !ok {
				t.Fatalf("order to refuse %s, which is not queued", o.Job.ID)
			}
			delete(m.queued, o.Job.ID)
			m.checkRefusal(t, o.Job, o.Refusal)
		case magno.OrderLoad:
			if _, ok := m.slots[o.Ref]; ok || o.Ref == (magno.Ref{}) {
				t.Fatalf("load of %v, which occupies a slot", o.Ref)
			}
			if len(m.loading)+len(m.unloading) > 0 {
				t.Fatalf("load of %v while %v load and %v unload", o.Ref, m.loading, m.unloading)
			}
			m.slots[o.Ref] = false
			m.loading = append(m.loading, o.Ref)
			if len(m.slots) > m.s.Limits.Slots { // Slots may have been lowered, but then nothing may be loaded
				t.Fatalf("%d adapters in %d slots", len(m.slots), m.s.Limits.Slots)
			}
		case magno.OrderUnload:
			if !m.slots[o.Ref] || m.pinCount(o.Ref) > 0 {
				t.Fatalf("eviction of %v (loaded: %v, running jobs: %d)", o.Ref, m.slots[o.Ref], m.pinCount(o.Ref))
			}
			m.slots[o.Ref] = false
			m.unloading = append(m.unloading, o.Ref)
		}
	}
}

func (m *machine) pinCount(ref magno.Ref) int {
	n := 0
	for _, job := range m.running {
		if job.Ref == ref {
			n++
		}
	}
	return n
}

func (m *machine) start(t *rapid.T, o magno.Order) {
	job, ok := m.queued[o.Job.ID]
	if !ok || job != o.Job {
		t.Fatalf("start of %v, queued is %v", o.Job, job)
	}
	if job.Ref != (magno.Ref{}) && !m.slots[job.Ref] {
		t.Fatalf("%s started while %v was not loaded", job.ID, job.Ref)
	}
	for id := range m.running {
		if m.exclusive[id] || m.exclusive[job.ID] {
			t.Fatalf("%s started while %s was running; one of them is a suspect", job.ID, id)
		}
	}
	delete(m.queued, job.ID)
	m.running[job.ID] = job
	if len(m.running) > m.s.Limits.Batch {
		t.Fatalf("%d jobs run with a batch size of %d", len(m.running), m.s.Limits.Batch)
	}
}

func (m *machine) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := pick(t, m.running)
	m.s.Tokens(id, rapid.IntRange(0, 50).Draw(t, "made"))
	ok := rapid.Bool().Draw(t, "ok")
	m.s.Done(id, ok)
	if ok {
		delete(m.crashed, m.running[id].Fingerprint)
	}
	delete(m.running, id)
	m.recordEnd(t, id, "started")
}

func (m *machine) cancel(t *rapid.T) {
	all := map[string]magno.Job{}
	for id, job := range m.queued {
		all[id] = job
	}
	for id, job := range m.running {
		all[id] = job
	}
	if len(all) == 0 {
		return
	}
	id := pick(t, all)
	_, queued := m.queued[id]
	if got := m.s.Cancel(id); got != queued {
		t.Fatalf("Cancel(%s) returned %v, queued is %v", id, got, queued)
	}
	if queued {
		delete(m.queued, id)
		m.recordEnd(t, id, "cancelled")
	}
}

func pick(t *rapid.T, jobs map[string]magno.Job) string {
	return rapid.SampledFrom(sortedKeys(jobs)).Draw(t, "id")
}

func (m *machine) finishTransfers(t *rapid.T) {
	if len(m.loading) > 0 {
		ref := m.loading[0]
		m.loading = m.loading[1:]
		ok := rapid.IntRange(0, 4).Draw(t, "load") > 0
		if ok {
			m.slots[ref] = true
		} else {
			delete(m.slots, ref)
		}
		m.s.Loaded(ref, ok)
	}
	for _, ref := range m.unloading {
		delete(m.slots, ref)
		m.s.Unloaded(ref)
	}
	m.unloading = nil
}

func (m *machine) reset(t *rapid.T) {
	m.resets++
	ids := m.s.Reset(magno.UpstreamEnd{Upstream: uint64(m.resets)}) //nolint:gosec // a counter
	if len(ids) != len(m.running) {
		t.Fatalf("Reset returned %v, %d jobs were running", ids, len(m.running))
	}
	for _, id := range ids {
		if _, ok := m.running[id]; !ok {
			t.Fatalf("Reset returned %s, which was not running", id)
		}
		if print := m.running[id].Fingerprint; print != 0 {
			m.crashed[print] = true
		}
		m.recordEnd(t, id, "gone")
	}
	clear(m.running)
	clear(m.slots)
	m.loading, m.unloading = nil, nil
}

func (m *machine) check(t *rapid.T) {
	b := m.s.Backlog()
	if b.Queued != len(m.queued) || b.Running != len(m.running) || b.Wait < 0 || b.Work < 0 {
		t.Fatalf("backlog is %+v with %d jobs queued and %d running", b, len(m.queued), len(m.running))
	}
	pinned := 0
	for ref, pin := range m.s.Holds() {
		if !m.slots[ref] || pin != (m.pinCount(ref) > 0) {
			t.Fatalf("Holds has %v with pinned %v (loaded: %v, running jobs: %d)", ref, pin, m.slots[ref], m.pinCount(ref))
		}
		if pin {
			pinned++
		}
	}
	if b.Pinned != pinned {
		t.Fatalf("%d adapters are pinned, the backlog reports %d", pinned, b.Pinned)
	}
}

// Jobs, loads, evictions, cancellations and restarts of the upstream happen in any
// order. If a pin were lost, an answer would be generated without its adapter. If a
// job ended twice or never, its caller would get two answers or wait forever.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(rapid.Bool().Draw(t, "turns"))
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"offer3": m.offer,
			"next":   m.next,
			"next2":  m.next,
			"done":   m.done,
			"cancel": m.cancel,
			"ends":   m.finishTransfers,
			"turn":   func(*rapid.T) { m.s.Turn(m.clock.Now() + 500) },
			"time":   func(t *rapid.T) { m.clock.Advance(magno.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))) },
			"limits": func(t *rapid.T) {
				limits := m.s.Limits
				limits.Slots = rapid.SampledFrom([]int{2, 2, 3, 1}).Draw(t, "slots")
				m.s.SetLimits(limits)
			},
			"reset": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "reset") == 9 {
					m.reset(t)
				}
			},
			"": m.check,
		})
		m.drainAll(t)
	})
}

// drainAll ends all jobs and loads, and fails if a job stays queued.
func (m *machine) drainAll(t *rapid.T) {
	for range 800 {
		m.s.Turn(m.clock.Now() + 500)
		m.next(t)
		for _, id := range sortedKeys(m.running) {
			m.s.Done(id, true)
			delete(m.crashed, m.running[id].Fingerprint)
			delete(m.running, id)
			m.recordEnd(t, id, "started")
		}
		m.finishTransfers(t)
		m.clock.Advance(100)
		if len(m.queued) == 0 {
			return
		}
	}
	t.Fatalf("%d jobs are still queued at the end", len(m.queued))
}
