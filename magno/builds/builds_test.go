package builds

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

const (
	service  = "s"
	window   = 20 * magno.Second
	patience = 6 * magno.Second
)

// listOf returns a list in which the service has these builds.
func listOf(versions ...string) map[string][]string { return map[string][]string{service: versions} }

// Guards against taking a service for one of a single build while another one may have begun streams
// that still last: it left a moment ago, was there while the list was out of date, or isn't known to a
// process that has just started.
func TestOneBuildCountsOnlyOnceNoOtherCanHaveBegunAStream(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(h *History, pass func(magno.Millis))
		// want is the build that was the only one for long.
		want    string
		several bool
	}{
		{"nothing known", func(*History, func(magno.Millis)) {}, "", false},
		{"just started", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(patience - 1)
		}, "", false},
		{"started before all callers gave up", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(window - 1)
		}, "", false},
		{"one for long", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(window / 2)
			h.Update(listOf("v1"))
			pass(window / 2)
		}, "v1", false},
		{"one, all of whose upstreams crashed", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(window / 2)
			h.Update(map[string][]string{"other": {"v2"}})
			pass(window)
		}, "v1", false},
		{"two side by side", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(window)
			h.Update(listOf("v1", "v2"))
			pass(window)
		}, "", true},
		{"another one left a moment ago", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1", "v2"))
			pass(window)
			h.Update(listOf("v1"))
			pass(window - 1)
		}, "", true},
		{"another one left long ago", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1", "v2"))
			h.Update(listOf("v1"))
			pass(window)
		}, "v1", false},
		{"replaced at once", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(window)
			h.Update(listOf("v2"))
			pass(window - 1)
		}, "", true},
		{"the list was out of date for a while", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			pass(window)
			h.Forget()
			pass(window - 1)
		}, "", false},
		{"the list was out of date long ago", func(h *History, pass func(magno.Millis)) {
			h.Update(listOf("v1"))
			h.Forget()
			pass(window)
		}, "v1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			h := &History{Clock: clock}
			c.play(h, func(d magno.Millis) { clock.Advance(d) })
			if got, _ := h.Sole(service, window); got != c.want {
				t.Errorf("the only build for long is %q, want %q", got, c.want)
			}
			if got := h.Several(service, window); got != c.several {
				t.Errorf("several within the time: %v, want %v", got, c.several)
			}
		})
	}
}

// Guards against a process that takes what it hasn't seen for what wasn't, and against one that refuses
// what others have seen: all entries are killed, and agents go on.
func TestBuildsOutliveTheProcessesThatSawThem(t *testing.T) {
	for _, c := range []struct {
		name string
		// before are the lists before the kill, with window between them; after is the list after it.
		before [][]string
		// outage is the time without any entry.
		outage magno.Millis
		after  []string
		want   string
		known  bool
	}{
		{"one build", [][]string{{"v1"}, {"v1"}}, magno.Second, []string{"v1"}, "v1", true},
		{"two builds, both serve", [][]string{{"v1"}, {"v1", "v2"}}, magno.Second, []string{"v1", "v2"}, "", false},
		{"one left before the kill", [][]string{{"v1", "v2"}, {"v2"}}, magno.Second, []string{"v2"}, "v2", true},
		{"one leaves in the outage", [][]string{{"v1"}, {"v1", "v2"}}, magno.Second, []string{"v2"}, "", false},
		{"one is replaced in the outage", [][]string{{"v1"}, {"v1"}}, magno.Second, []string{"v2"}, "", false},
		{"nobody was there for long", [][]string{{"v1"}, {"v1"}}, maxGap + 1, []string{"v1"}, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			entry, agent := &History{Clock: clock}, &History{Clock: clock}
			for _, versions := range c.before {
				entry.Update(listOf(versions...))
				agent.Merge(entry.Report())
				clock.Advance(window)
				agent.Merge(entry.Report())
			}
			clock.Advance(c.outage)
			started := &History{Clock: clock}
			started.Update(listOf(c.after...))
			if _, known := started.Sole(service, window); known {
				t.Error("a process that has just started and met nobody takes one build for the only one")
			}
			started.Merge(agent.Report())
			got, known := started.Sole(service, window)
			if got != c.want || known != c.known {
				t.Errorf("the only build is %q, %v, want %q, %v", got, known, c.want, c.known)
			}
		})
	}
}

// Guards against a process that calls a fleet new which has served before: those that know of it answer
// first, or their knowledge ended too long ago.
func TestFleetIsNotTakenForNew(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	old := &History{Clock: clock}
	old.Update(listOf("v1"))
	clock.Advance(window)
	stale := *old.Report()
	started := &History{Clock: clock}
	started.Update(listOf("v1"))
	started.Merge(&stale)
	if _, known := started.Sole(service, window); !known {
		t.Error("what an older process knows isn't taken")
	}
	stale.Since, stale.Until = stale.Since+maxGap+1, maxGap+1
	late := &History{Clock: clock}
	late.Update(listOf("v1"))
	late.Merge(&stale)
	clock.Advance(patience)
	if _, known := late.SoleAsSeen(service, window); known {
		t.Error("a process served before, and nobody knows what happened since")
	}
}

// Guards against memory without bound, and against calling complete what lacks a build that was dropped.
func TestHistoryIsBounded(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	h := &History{Clock: clock}
	h.Update(listOf("v0"))
	clock.Advance(window)
	for n := range maxSeen {
		h.Update(listOf(fmt.Sprint("v", n+1)))
	}
	if n := len(h.seen); n != maxSeen {
		t.Errorf("%d builds, want %d", n, maxSeen)
	}
	if _, known := h.Sole("other", window); known {
		t.Error("complete, though a build was dropped")
	}
}

// Guards against a history that is never complete, as more services are listed than builds are kept: neither
// where the list is followed nor at an agent that is told of it.
func TestAllListedBuildsAreKept(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	entry, agent := &History{Clock: clock}, &History{Clock: clock}
	listed := map[string][]string{}
	for n := range 2 * maxSeen {
		listed[fmt.Sprint("s", n)] = []string{"v1"}
	}
	entry.Update(listed)
	agent.Merge(entry.Report())
	clock.Advance(window)
	agent.Merge(entry.Report())
	for name, h := range map[string]*History{"entry": entry, "agent": agent} {
		if got, known := h.Sole("s0", window); !known || got != "v1" {
			t.Errorf("%s: the only build is %q, %v, want v1", name, got, known)
		}
	}
}
