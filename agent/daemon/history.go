package daemon

import (
	"sync"

	"magnoliastall.example/magno"
)

// Figures of the grace for entries that are behind.
const (
	// maxVersions covers the grace many times over at 54,000 changes a day.
	maxVersions = 64
	// staleVersionGrace is how long an entry may decide by a version that this
	// agent has already replaced, in milliseconds: the time within which a
	// change is to be in force everywhere.
	staleVersionGrace = 4 * magno.Second
)

// history remembers when the latest versions came into force here. Without it
// each change that retires something would refuse the requests of all entries
// that hear of it some milliseconds later than the agent; with no limit, an
// entry that is cut off would run retired versions for as long.
type history struct {
	mu sync.Mutex
	// versions is in ascending order, at most versionsKept long.
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

// outdated tells whether whoever has version missed its successor for longer than
// the limit.
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
