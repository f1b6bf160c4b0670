package daemon

import (
	"sync"

	"magnoliastall.example/magno"
)

const (
	// maxVersions covers staleVersionGrace many times over at 54,000 changes a day.
	maxVersions = 64
	// staleVersionGrace is how long an entry may still use a version that this agent has already
	// replaced. It is the time within which a change has to be in force everywhere.
	staleVersionGrace = 4 * magno.Second
)

// history records when the latest versions came into force here. If there were no grace, each
// change that retires a version would fail the requests of all entries that learn of it some
// milliseconds later than the agent. If the grace were unlimited, an entry that is cut off would
// run retired versions for as long as it is.
type history struct {
	mu sync.Mutex
	// versions is in ascending order and has at most maxVersions elements.
	versions []activation
}

type activation struct {
	version int64
	at      magno.Millis
}

func (h *history) add(version int64, at magno.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, activation{version, at})
	if len(h.versions) > maxVersions {
		h.versions = h.versions[1:]
	}
}

// outdated reports whether the successor of version came into force longer than
// staleVersionGrace ago.
func (h *history) outdated(version int64, now magno.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.versions {
		if a.version > version {
			return now > a.at+staleVersionGrace
		}
	}
	return false
}
