// Package builds remembers which builds of each service's software were seen and since when that is
// complete, and joins what other processes have seen.
//
//	list of upstreams --> Update --> History --> Report --> other processes
//	other processes --> Report --> Merge --^ '--> Sole, Several
//
// Load pattern: all entries are killed at once while a service is updated, and are back within a second.
// What they see then says nothing about the streams that began before. Processes that were there have seen
// it: as long as one of them is asked, what isn't in the history wasn't there.
package builds

import (
	"slices"
	"sync"

	"magnoliastall.example/magno"
)

const (
	// maxGap is how long a history may end before another one begins for both to be one: the time in which
	// all entries are replaced. A build doesn't join, begin streams and leave within it.
	maxGap = 5 * magno.Second
	// reportSpan bounds what a report covers: longer than streams last.
	reportSpan = 5 * magno.Minute
	// maxSeen bounds the builds of all services, unless so many are listed that listedFactor times these are more.
	maxSeen      = 256
	listedFactor = 2
)

// Build is one version of a service's software.
type Build struct {
	Service string `json:"service"`
	// Version is empty if upstreams state none.
	Version string `json:"version,omitempty"`
}

// Seen is a build that was in the list of upstreams.
type Seen struct {
	Build
	// Age is the time since it was last there.
	Age magno.Millis `json:"age,omitempty"`
}

// Report is what a process knows of the builds. Its times are ages, in ms.
type Report struct {
	Seen []Seen `json:"seen,omitempty"`
	// Since and Until bound the time in which no build was there that Seen lacks.
	Since magno.Millis `json:"since"`
	Until magno.Millis `json:"until,omitempty"`
	// First is true if no process is known to have served before Since.
	First bool `json:"first,omitempty"`
	// Ran and RanFirst are as Since and First, but count time in which the list was out of date.
	Ran      magno.Millis `json:"ran,omitempty"`
	RanFirst bool         `json:"ranfirst,omitempty"`
}

// span is the time in which a history is complete.
type span struct {
	since, until magno.Millis
	first        bool
}

// History is what this process knows of the builds. It is safe for concurrent use; Clock is set before use.
type History struct {
	Clock *magno.Clock

	mu sync.Mutex
	// seen holds when each build was last seen, present those in the list now.
	seen    map[Build]magno.Millis
	present map[string][]string
	// known is what is complete, nil before anything is. Until is meaningless if listed is true: this
	// process follows the list itself.
	known *span
	// ran is as known, but goes on while the list is out of date.
	ran    *span
	listed bool
	// watchedSince is when this process began to follow the list, without a lapse since.
	watchedSince magno.Millis
	// room is how many builds are kept.
	room int
	// change counts the builds that joined.
	change int
}

// Update takes the builds of each service in the present list of upstreams.
func (h *History) Update(listed map[string][]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.touch(now)
	before := len(h.seen)
	h.present = listed
	h.touch(now)
	h.change += len(h.seen) - before
	count := 0
	for _, versions := range listed {
		count += len(versions)
	}
	h.room = listedFactor * count
	if !h.listed {
		h.listed, h.watchedSince = true, now
		join(&h.known, span{now, now, true})
		join(&h.ran, span{now, now, true})
	}
	h.trim()
}

// touch records that the builds in the list are there. The caller holds mu.
func (h *History) touch(now magno.Millis) {
	if h.seen == nil {
		h.seen = map[Build]magno.Millis{}
	}
	for service, versions := range h.present {
		for _, version := range versions {
			h.seen[Build{service, version}] = now
		}
	}
	if h.listed && h.known != nil {
		h.known.until, h.ran.until = now, now
	}
}

// Forget is called while the list may be out of date: builds may come and go unnoticed.
func (h *History) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed {
		now := h.Clock.Now()
		h.known, h.watchedSince = &span{since: now, until: now}, now
	}
}

// Follows reports whether this process itself has followed the list for the given time, without a lapse.
func (h *History) Follows(lasts magno.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listed && h.Clock.Now()-h.watchedSince >= lasts
}

// Change is a number that changes when a build joins.
func (h *History) Change() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.change
}

// Merge joins what another process knows.
func (h *History) Merge(r *Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.touch(now)
	count := 0
	for _, s := range r.Seen {
		if s.Age == 0 {
			count++ // it is listed
		}
		h.seen[s.Build] = max(h.seen[s.Build], now-s.Age)
	}
	if !h.listed {
		h.room = max(h.room, listedFactor*count)
	}
	join(&h.known, span{now - r.Since, now - r.Until, r.First})
	join(&h.ran, span{now - max(r.Ran, r.Since), now - r.Until, r.RanFirst})
	h.trim()
}

// join extends the time in which a history is complete by that of another one, whose builds it has. If there
// is a gap between the two, the later one holds.
func join(known **span, s span) {
	if *known == nil {
		*known = &s
		return
	}
	early, late := **known, s
	if late.since < early.since {
		early, late = late, early
	}
	if late.since > early.until+maxGap {
		late.first = false
		*known = &late
		return
	}
	early.until = max(early.until, late.until)
	*known = &early
}

// trim drops the builds beyond the bound, those that were seen last longest ago. The caller holds mu.
func (h *History) trim() {
	for len(h.seen) > max(maxSeen, h.room) {
		var oldest Build
		at := magno.Millis(-1)
		for b, seen := range h.seen {
			if at < 0 || seen < at {
				oldest, at = b, seen
			}
		}
		delete(h.seen, oldest)
		for _, known := range []*span{h.known, h.ran} {
			if known != nil && known.since <= at {
				known.since, known.first = at+1, false
			}
		}
	}
}

// Report returns what this process knows, nil if that is nothing.
func (h *History) Report() *Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		return nil
	}
	now := h.Clock.Now()
	h.touch(now)
	r := &Report{
		Since: now - h.known.since, Until: now - h.known.until, First: h.known.first, Ran: now - h.ran.since, RanFirst: h.ran.first,
	}
	if r.Since > reportSpan {
		r.Since, r.First = reportSpan, false
	}
	if r.Ran > reportSpan {
		r.Ran, r.RanFirst = reportSpan, false
	}
	for b, at := range h.seen {
		if now-at <= reportSpan {
			r.Seen = append(r.Seen, Seen{b, now - at})
		}
	}
	return r
}

// Sole returns the version of a service that was the only one for the given time, and false if there were
// several or that isn't known.
func (h *History) Sole(service string, lasts magno.Millis) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil || h.Clock.Now()-h.known.since < lasts {
		return "", false
	}
	return h.only(service, lasts)
}

// SoleAsSeen is Sole for a process that has just asked all others: time in which its list
// was out of date counts. No stream begins at a build that no process has in its list.
func (h *History) SoleAsSeen(service string, lasts magno.Millis) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ran == nil {
		return "", false
	}
	if h.Clock.Now()-h.ran.since < lasts {
		return "", false
	}
	return h.only(service, lasts)
}

// only returns the version that is the only one that was seen within the given time, and false if there are
// several, or none. One whose upstreams are all gone counts as present. The caller holds mu.
func (h *History) only(service string, lasts magno.Millis) (string, bool) {
	versions := h.within(service, lasts)
	switch {
	case len(versions) == 1:
		return versions[0], true
	case len(versions) > 1:
		return "", false
	}
	versions = h.within(service, h.Clock.Now())
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Several reports whether several builds of a service were seen within the given time.
func (h *History) Several(service string, lasts magno.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.within(service, lasts)) > 1
}

// within returns the versions of a service that were seen less than the given time ago. The caller holds mu.
func (h *History) within(service string, lasts magno.Millis) (versions []string) {
	now := h.Clock.Now()
	h.touch(now)
	for b, at := range h.seen {
		if b.Service == service && now-at < lasts {
			versions = append(versions, b.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Watched returns for how long the history is complete, and the versions of a service within the given time.
func (h *History) Watched(service string, lasts magno.Millis) (magno.Millis, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		return 0, nil
	}
	return h.Clock.Now() - h.known.since, h.within(service, lasts)
}
