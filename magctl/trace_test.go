package main

import (
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/event"
)

// The clock of a process was set back. Its events must stay in the order in which
// they happened, or the timeline would show answers before their requests.
func TestMergeKeepsEachProcessInOrder(t *testing.T) {
	ring := func(process string, times ...magno.Millis) []event.Event {
		var events []event.Event
		for i, at := range times {
			events = append(events, event.Event{Seq: int64(i), Time: at, Process: process, Request: "r"})
		}
		return events
	}
	got := mergeEvents([][]event.Event{ring("a", 10, 30, 50), ring("b", 20, 5, 40)}, "")
	if len(got) != 6 {
		t.Fatalf("%d events", len(got))
	}
	last := map[string]int64{"a": -1, "b": -1}
	for _, e := range got {
		if e.Seq != last[e.Process]+1 {
			t.Errorf("%s: event %d follows event %d", e.Process, e.Seq, last[e.Process])
		}
		last[e.Process] = e.Seq
	}
	if got[0].Process != "a" || got[1].Process != "b" {
		t.Errorf("the earliest event is not first: %+v", got)
	}
	if n := len(mergeEvents([][]event.Event{ring("a", 1)}, "other")); n != 0 {
		t.Errorf("%d events of another request", n)
	}
}
