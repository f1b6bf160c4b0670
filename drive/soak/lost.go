package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for requests on kept connections. A connection that ends without a complete answer to a whole
// request counts if an upstream had the request, or if it ends later than lossSlack after the request was sent. At most
// lostSlack may do so at any time, and none around planned work: until stopWindow after a SIGTERM of the entry,
// reloadWindow after its SIGHUP and planWindow after a configuration. A request that was sent up to
// lateStop after a SIGTERM doesn't count in the last sixth of the grace period if an upstream was still at work on it then.
const (
	lossSlack    = 200 * time.Millisecond
	lostSlack    = 3
	gracePeriod  = 4 * time.Second
	stopWindow   = gracePeriod + time.Second
	reloadWindow = 2 * time.Second
	planWindow   = 3 * time.Second
	lateStop     = 3 * time.Second
	lateGrace    = gracePeriod * 5 / 6
	// limitMargin is how long before the end of its time an answer counts as late.
	limitMargin = 50 * time.Millisecond
)

// planned is a planned change.
type planned struct {
	at   time.Time
	what string
	// entry is the one that it concerns, -1 if all.
	entry int
	// window is how long it may affect requests.
	window time.Duration
}

// loss is a request without a complete answer.
type loss struct {
	what string
	// beside are the planned changes that it falls into, failed is true if it got 502.
	beside []string
	failed bool
}

// losses returns the requests of kept connections without a complete answer, in the order of their IDs. Those
// that got 502 are among them. The others may end without one, and are counted by reason.
func (s *Soak) losses() (list []loss, excused map[string]int) {
	byID := arrivalsByRequest(s.fleet.workers())
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, r := range s.sent {
		if !r.wholeAt.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	excused = map[string]int{}
	for _, id := range ids {
		r := s.sent[id]
		failed := r.outcome.Status == http.StatusBadGateway
		if r.outcome.Complete && !failed {
			continue
		}
		if why := s.excuse(r, byID[id]); why != "" {
			excused[why]++
			continue
		}
		l := loss{failed: failed, beside: s.plannedBeside(r)}
		l.what = fmt.Sprintf("%s %s%s sent to %s at %s, ended %d ms later with status %d and %d bytes; upstreams: %s; beside: %s",
			id, r.path, strings.TrimPrefix(r.target, r.path), r.entry, r.at.Format(time.StampMilli), r.doneAt.Sub(r.at).Milliseconds(),
			r.outcome.Status, len(r.outcome.Body), s.describeArrivals(r, byID[id]), strings.Join(l.beside, ", "))
		list = append(list, l)
	}
	return list, excused
}

// excuse returns why a request may end without an answer, empty if it may not. The caller holds mu.
func (s *Soak) excuse(r *request, arrivals []arrivalAt) string {
	if r.doneAt.Sub(r.at) >= s.fleet.leastTimeout(r.at, r.doneAt)-limitMargin {
		return "its time was over"
	}
	if len(arrivals) == 0 && r.outcome.Status == 0 && r.doneAt.Sub(r.wholeAt) <= lossSlack {
		return "it crossed the end of its connection"
	}
	late := slices.ContainsFunc(s.fleet.plannedChanges(), func(p planned) bool {
		return p.what == changeStop && s.fleet.entries[p.entry] == r.entry && r.at.Sub(p.at) <= lateStop &&
			r.doneAt.Sub(p.at) >= lateGrace && r.doneAt.Sub(p.at) <= stopWindow &&
			slices.ContainsFunc(arrivals, func(a arrivalAt) bool {
				// The rule doesn't ask about answers such as 502. A connection that is closed must have been so under the work.
				return a.Ran && (r.outcome.Complete || a.At.Before(r.doneAt)) && s.fleet.workedAt(a, p.at.Add(lateGrace))
			})
	})
	if late {
		return "the grace period was over"
	}
	return ""
}

// workedAt reports whether the worker that ran a request was still at work on it at a time. A silent one is at work until
// it is no longer silent: what it made before then hasn't left it.
func (f *fleet) workedAt(a arrivalAt, at time.Time) bool {
	return a.EndedAt.IsZero() || f.leftAt(a).After(at)
}

// leftAt returns when the end of a worker's answer left it.
func (f *fleet) leftAt(a arrivalAt) time.Time {
	end := a.EndedAt
	for _, p := range f.gateOf(a.worker).silentIn(period{end, end.Add(1)}) {
		end = p.to
	}
	return end
}

// plannedBeside returns the planned changes that a request falls into. The caller holds mu.
func (s *Soak) plannedBeside(r *request) []string {
	var list []string
	for _, p := range s.fleet.plannedChanges() {
		if (p.entry < 0 || s.fleet.entries[p.entry] == r.entry) && p.at.Before(r.doneAt) && r.at.Before(p.at.Add(p.window)) {
			list = append(list, fmt.Sprintf("%s at %d ms", p.what, p.at.Sub(r.at).Milliseconds()))
		}
	}
	return list
}

// describeArrivals names the upstreams that had a request, and when they were silent.
func (s *Soak) describeArrivals(r *request, arrivals []arrivalAt) string {
	var list []string
	for _, a := range arrivals {
		text := fmt.Sprintf("%s at %d ms", a.worker.ID, a.At.Sub(r.at).Milliseconds())
		for _, p := range s.fleet.gateOf(a.worker).silentIn(period{r.at, r.doneAt}) {
			text += fmt.Sprintf(" (silent from %d to %d ms)", p.from.Sub(r.at).Milliseconds(), p.to.Sub(r.at).Milliseconds())
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}

// gateOf returns the gate of a worker's upstream.
func (f *fleet) gateOf(w *fake.Worker) *gate {
	listed, _, _ := strings.Cut(w.ID, "-")
	ups := f.upstreams()
	return &ups[slices.IndexFunc(ups, func(u *upstream) bool { return u.listed == listed })].gate
}

// plan records a planned change.
func (f *fleet) plan(what string, entry int, window time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planned = append(f.planned, planned{at: time.Now(), what: what, entry: entry, window: window})
}

// plannedChanges returns the planned changes so far.
func (f *fleet) plannedChanges() []planned {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.planned)
}

// checkLost returns the terms on kept connections that are broken. Where nothing but silences and planned work
// disturbs the fleet, a request that gets 502 is lost as well.
func (s *Soak) checkLost(calm bool) []string {
	var broken []string
	lost, failed := 0, 0
	list, excused := s.losses()
	for _, l := range list {
		if l.failed && !calm {
			continue
		}
		failed += count(l.failed)
		lost++
		fmt.Fprintf(s.Out, "seed %d: lost: %s\n", s.Seed, l.what)
		if calm && len(l.beside) > 0 {
			broken = append(broken, "lost beside planned work: "+l.what)
		}
	}
	fmt.Fprintf(s.Out, "seed %d: kept connections: %d requests, %d lost, %d of them by 502, %d beside planned work\n",
		s.Seed, s.keptSent(), lost, failed, len(broken))
	printCounts(s.Out, "  without an answer, not counted:", excused)
	if lost > lostSlack {
		broken = append(broken, fmt.Sprintf("%d requests on kept connections were lost, allowed %d", lost, lostSlack))
	}
	return broken
}

// keptSent returns the number of whole requests that were sent on kept connections.
func (s *Soak) keptSent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.sent {
		n += count(!r.wholeAt.IsZero())
	}
	return n
}
