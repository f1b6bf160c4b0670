package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an engine that counts as full once all entries were killed: nobody reports the ends of the
// requests that they had, and those keep their places until their deadlines.
func TestRequestsOfKilledEntriesKeepNoPlaces(t *testing.T) {
	for _, c := range []struct {
		name string
		// running, queued and streams are what the engine reports after the kill, streams as the first ones.
		running, queued, streams int
		// age is the age of the requests at the kill.
		age  magno.Millis
		want int
	}{
		{"the engine has dropped all", 0, 0, 0, 2 * magno.Second, 0},
		{"it runs some of them", 3, 0, 3, 2 * magno.Second, 3},
		{"it runs some that haven't answered", 3, 0, 0, 2 * magno.Second, 3},
		{"it has preempted some", 2, 2, 2, 2 * magno.Second, 4},
		{"it runs all", 8, 0, 8, 2 * magno.Second, 8},
		{"they may not have reached it", 0, 0, 0, 0, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 16)
			g, advance := h.gate, h.clock.Advance
			for i := range 8 {
				id := fmt.Sprintf("e/%d/a%d", i, i)
				g.active[id] = &activeRequest{request: Request{ID: id}, grantedAt: g.Clock.Now(), expiresAt: g.Clock.Now() + magno.Minute}
			}
			g.ApplyReport(&magno.Report{StartedAt: 1, Running: 8, Loaded: map[string]map[string]int64{model: {}}}, h.clock.Now())
			advance(c.age)
			r := &magno.Report{StartedAt: 1, Running: c.running, Queued: c.queued, Loaded: map[string]map[string]int64{model: {}}}
			for i := range c.streams {
				r.Streams = append(r.Streams, magno.Stream{ID: fmt.Sprintf("a%d", i), Events: 5})
			}
			for range 6 {
				advance(100)
				g.ApplyReport(r, g.Clock.Now())
			}
			if n := len(g.active); n != c.want {
				t.Errorf("%d requests count, want %d", n, c.want)
			}
			for i := range c.streams {
				if !g.Started(fmt.Sprintf("e/%d/a%d", i, i)) {
					t.Errorf("request %d doesn't count, though the engine runs it", i)
				}
			}
		})
	}
}

// Guards against ending requests whose ends are on their way: what their lengths show would be lost.
func TestEndsOnTheirWayAreAwaited(t *testing.T) {
	h := newHarness(t, 16)
	g := h.gate
	for i := range 40 {
		id := fmt.Sprintf("e/%d/a%d", i, i)
		g.active[id] = &activeRequest{request: Request{ID: id}, grantedAt: h.clock.Now() - 2*magno.Second, expiresAt: h.clock.Now() + magno.Minute}
	}
	// Each report lacks the two requests that ended last; their ends arrive before the third one.
	for ended := 2; ended < 40; ended += 2 {
		r := &magno.Report{StartedAt: 1, Running: 40 - ended, Loaded: map[string]map[string]int64{model: {}}}
		for i := ended; i < 40; i++ {
			r.Streams = append(r.Streams, magno.Stream{ID: fmt.Sprintf("a%d", i), Events: ended})
		}
		h.clock.Advance(100)
		g.ApplyReport(r, h.clock.Now())
		for i := max(ended-4, 0); i < max(ended-2, 0); i++ {
			id := fmt.Sprintf("e/%d/a%d", i, i)
			if !g.Started(id) {
				t.Fatalf("request %d was ended by a report", i)
			}
			g.Done(id, true)
		}
	}
}
