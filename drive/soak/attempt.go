package soak

import (
	"fmt"
	"slices"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for one request. More than attemptSlack may run on more upstreams than their route allows;
// upstreams that ended or were cut off meanwhile don't count. More than timeSlack, and more than timeShare of
// these and of all that are sent once more so late, may be handed on with more time than is left: with none stated,
// with timeMargin more than the caller gave, or, sent once more later than timeMargin after the first time, with an end
// that is later by timeMargin than that of the first send and that of the caller.
const (
	attemptSlack = 3
	timeSlack    = 20
	timeShare    = 0.2
	timeMargin   = 500 * time.Millisecond
	// callerDeadline is the time that callers give a request.
	callerDeadline = 4 * time.Second
)

// routeAttempts is the number of upstreams on which a request of the route with a path may run.
var routeAttempts = map[string]int{fake.PathOnce: 1, fake.PathRepeat: 2, fake.PathStream: 1, fake.PathResume: 2, fake.PathFlow: 2}

// arrivalAt is an arrival with the worker that it reached.
type arrivalAt struct {
	fake.Arrival
	worker *fake.Worker
}

// arrivalsByRequest returns the arrivals of each request, in order.
func arrivalsByRequest(workers []*fake.Worker) map[string][]arrivalAt {
	byID := map[string][]arrivalAt{}
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			byID[a.ID] = append(byID[a.ID], arrivalAt{a, w})
		}
	}
	for _, list := range byID {
		slices.SortFunc(list, func(a, b arrivalAt) int { return a.At.Compare(b.At) })
	}
	return byID
}

// checkAttempts returns a description of the requests that ran on more upstreams than their route allows, if they are
// too many.
func (o *observer) checkAttempts(workers []*fake.Worker) []string {
	var broken []string
	for id, list := range arrivalsByRequest(workers) {
		ran := map[*fake.Worker]bool{}
		for _, a := range list {
			if a.Ran && !o.lost(a.worker, a.At.Add(-timeMargin), a.At.Add(callerDeadline)) {
				ran[a.worker] = true
			}
		}
		if most := routeAttempts[pathOf(list[0].Target)]; len(ran) > most {
			broken = append(broken, fmt.Sprintf("%s ran on %d upstreams, allowed %d", id, len(ran), most))
		}
	}
	if len(broken) <= attemptSlack {
		return nil
	}
	return []string{fmt.Sprintf("%d requests ran on more upstreams than their route allows, the first: %s", len(broken), broken[0])}
}

// checkTimes returns a description of the requests that were handed on with more time than is left, if they are too
// many.
func (o *observer) checkTimes(workers []*fake.Worker) []string {
	long, late, first := 0, 0, ""
	for id, list := range arrivalsByRequest(workers) {
		if path := pathOf(list[0].Target); path != fake.PathOnce && path != fake.PathRepeat {
			continue
		}
		end := list[0].At.Add(list[0].Left)
		if given := o.sentAt(id).Add(callerDeadline); given.After(end) {
			end = given
		}
		for i, a := range list {
			if o.disturbed(o.entry(id), a.worker, a.At.Add(-fatalDelay), a.At) {
				continue
			}
			again := i > 0 && a.At.Sub(list[0].At) > timeMargin
			late += count(again)
			if a.Left < 0 || a.Left > callerDeadline+timeMargin || (again && a.At.Add(a.Left).After(end.Add(timeMargin))) {
				long++
				first = fmt.Sprintf("%s with %s, send %d", id, a.Left, i+1)
			}
		}
	}
	if long <= timeSlack || float64(long) <= timeShare*float64(long+late) {
		return nil
	}
	return []string{fmt.Sprintf("%d requests were handed on with more time than is left, such as %s; %d were sent once more so late", long, first, late)}
}
