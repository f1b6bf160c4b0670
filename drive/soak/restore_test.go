package soak

import (
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// Guards against a check of draining upstreams that never fails, or fails while the list or an
// entry is disturbed.
func TestRequestsAfterDraining(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		calm  bool
		want  int
	}{
		{"in time", drainDelay, true, 0}, {"late", drainDelay + time.Second, true, 1}, {"late after a disturbance", drainDelay + time.Second, false, 0},
	} {
		w := &fake.Worker{ID: "w"}
		w.Start()
		w.Arrive("1", "")
		drainedAt := time.Now()
		o := &observer{
			entry: func(string) int { return 0 }, sentAt: func(string) time.Time { return drainedAt.Add(c.after) },
			calm: func(time.Time, time.Time) bool { return c.calm }, drainedAt: func(*fake.Worker) time.Time { return drainedAt },
		}
		if got := len(o.checkDraining(w)); got != c.want {
			t.Errorf("%s: %d requests reported, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a check of withdrawn keys that misses an entry which goes back to an older
// configuration.
func TestKeyAcceptedAgain(t *testing.T) {
	start := time.Now()
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	const ok, refused = http.StatusOK, http.StatusUnauthorized
	for _, c := range []struct {
		name     string
		statuses []int
		want     int
	}{
		{"refused from some time on", []int{ok, ok, refused, refused}, 0},
		{"not known, then accepted", []int{refused, ok, ok, refused}, 0},
		{"accepted again", []int{ok, refused, ok, refused}, 1},
	} {
		f := newFleet("", "", Size{})
		f.entries = []string{"e"}
		f.procs = []*process{{name: entryName(0)}}
		f.firstWithdrawn["k"] = start
		s := &Soak{fleet: f, sent: map[string]*request{}}
		for i, status := range c.statuses {
			r := &request{entry: "e", key: "k", at: at(2*i + 1), doneAt: at(2*i + 2)}
			r.outcome.Status = status
			s.sent[c.name+string(rune('0'+i))] = r
		}
		if got := len(s.checkKeys()); got != c.want {
			t.Errorf("%s: %d reported, want %d", c.name, got, c.want)
		}
	}
}
