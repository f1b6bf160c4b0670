package soak

import (
	"fmt"
	"slices"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for a worker that names a limit.
const (
	// limitWindow is the span in which requests are counted. In any such span a worker may get
	// limitFactor times what its limit allows and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitDelay is the time from the first response with the limit until the limit binds,
	// entryDelay that from the first such response to an entry until its requests count.
	limitDelay = 3 * time.Second
	entryDelay = 500 * time.Millisecond
)

// observer knows where requests came from and which entries are excused.
type observer struct {
	// entry returns the entry that a request was sent to, -1 if it isn't known.
	entry func(id string) int
	// sentAt returns when the caller sent a request.
	sentAt func(id string) time.Time
	// disturbed reports whether an entry was stopped, killed or paused in a period, or its path to
	// the worker was faulty.
	disturbed func(entry int, w *fake.Worker, from, to time.Time) bool
	// lost reports whether a worker ended in a period, or the path to it was faulty.
	lost func(w *fake.Worker, from, to time.Time) bool
	// calm reports whether the list and all entries were undisturbed in a period.
	calm func(from, to time.Time) bool
	// drainedAt returns when the list last got an entry that says that a worker leaves, zero if
	// it has none.
	drainedAt func(w *fake.Worker) time.Time
}

// checkLimit returns the times at which a worker got more requests than its limit allows, from
// entries that had received its limit.
func (o *observer) checkLimit(w *fake.Worker) []string {
	var broken []string
	arrivals := w.Arrivals()
	changes := w.Notices()
	for i, c := range changes {
		end := time.Now()
		if i+1 < len(changes) {
			end = changes[i+1].At
		}
		if c.Notice.Limited {
			broken = append(broken, o.checkPeriod(w, c, end, arrivals)...)
		}
	}
	return broken
}

// checkPeriod checks the period in which a worker named one limit.
func (o *observer) checkPeriod(w *fake.Worker, c fake.NoticeChange, end time.Time, arrivals []fake.Arrival) []string {
	told := map[int]time.Time{}
	var counted []time.Time
	allowed := limitFactor*limitWindow.Seconds()*c.Notice.Limit + limitSlack
	for _, a := range arrivals {
		if a.At.Before(c.At) || a.At.After(end) {
			continue
		}
		entry := o.entry(a.ID)
		first, known := told[entry]
		if known && o.disturbed(entry, w, first, a.At) {
			known = false
		}
		if !known && a.Unanswered {
			continue // the entry got no response that states the limit
		}
		if !known {
			told[entry] = a.At
			continue
		}
		if entry < 0 || a.At.Sub(first) < entryDelay {
			continue
		}
		counted = append(counted, a.At)
		for len(counted) > 0 && a.At.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		if a.At.Sub(c.At) > limitDelay && float64(len(counted)) > allowed {
			return []string{fmt.Sprintf("upstream %s named a limit of %.1f per second and got %d requests in %s, allowed %.0f",
				w.ID, c.Notice.Limit, len(counted), limitWindow, allowed)}
		}
	}
	return nil
}

// observer returns what the soak knows of the requests that it sent and of its faults.
func (s *Soak) observer() *observer {
	return &observer{
		entry: func(id string) int {
			s.mu.Lock()
			defer s.mu.Unlock()
			if r := s.sent[id]; r != nil {
				return slices.Index(s.fleet.entries, r.entry)
			}
			return -1
		},
		sentAt: func(id string) time.Time {
			s.mu.Lock()
			defer s.mu.Unlock()
			if r := s.sent[id]; r != nil {
				return r.at
			}
			return time.Time{}
		},
		disturbed: func(entry int, w *fake.Worker, from, to time.Time) bool {
			return s.fleet.disturbed(entry, from, to) || s.fleet.pathFault(w, from, to)
		},
		lost: func(w *fake.Worker, from, to time.Time) bool {
			return s.fleet.endedIn(w, from, to) || s.fleet.pathFault(w, from, to)
		},
		calm: s.fleet.calm,
		drainedAt: func(w *fake.Worker) time.Time {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			return s.fleet.drainedAt[w]
		},
	}
}
