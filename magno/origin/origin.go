// Package origin remembers which build of an upstream's software began each stream, so that the stream
// goes on at that build only.
//
//	first event --> Record --> Table --> Find <-- the caller takes the stream up
//	list of upstreams --> Update --> Sole --^
//
// Load pattern: builds serve side by side while a service is updated. Upstreams and entries end all the
// while, and callers take up at another entry what breaks off. What two builds write doesn't fit into one
// stream, and no upstream checks that.
//
// A service that has had only one build for longer than a stream lasts needs no record. Records are soft
// state: without one, a stream isn't taken up.
package origin

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// MaxRecords bounds the records: those of two minutes at a hundred new streams per second.
	MaxRecords = 12 << 10
	// maxOrigins bounds the different origins that records share.
	maxOrigins = 256
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	// Build is the version of the upstream's software, empty if it states none.
	Build string `json:"build,omitempty"`
}

// Query asks where a stream began that a caller takes up.
type Query struct {
	// Request is the ID of the caller's attempt. Attempt is that of the one which brought the stream's first
	// event, empty if the caller doesn't state it.
	Request, Attempt string
	Service          string
	// Lasts is how long a stream of the service lasts at most, with all tries of its caller, in ms.
	Lasts magno.Millis
}

// StreamIDBytes is the size of a StreamID in messages: small, and enough to tell MaxRecords streams apart.
const StreamIDBytes = 5

// StreamID identifies a stream by the ID of the caller's attempt that brought its first event. It fits into
// StreamIDBytes.
func StreamID(attempt string) uint64 {
	return xxhash.Sum64String(attempt) >> (64 - 8*StreamIDBytes)
}

// Table is the set of records. It is safe for concurrent use; Clock is set before use.
type Table struct {
	Clock *magno.Clock

	mu      sync.Mutex
	records *simplelru.LRU[uint64, *Origin]
	// origins holds one copy of each origin.
	origins map[Origin]*Origin
	builds  map[string]*builds
}

// builds are those of a service, as this process has seen them.
type builds struct {
	// sole is the only build, meaningless while there are several.
	sole    string
	several bool
	// since is when the present build was first known to be the only one, otherSeenAt when another one
	// was last seen, zero if none was.
	since, otherSeenAt magno.Millis
}

// setup creates the tables on first use. The caller holds mu.
func (t *Table) setup() {
	if t.records == nil {
		t.records, _ = simplelru.NewLRU[uint64, *Origin](MaxRecords, nil)
		t.origins, t.builds = map[Origin]*Origin{}, map[string]*builds{}
	}
}

// Record records where a stream began.
func (t *Table) Record(stream uint64, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setup()
	shared := t.origins[o]
	if shared == nil {
		if len(t.origins) >= maxOrigins {
			clear(t.origins) // records keep theirs
		}
		shared = &o
		t.origins[o] = shared
	}
	t.records.Add(stream, shared)
}

// Find returns where a stream began, nil if that isn't recorded.
func (t *Table) Find(stream uint64) *Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setup()
	o, _ := t.records.Get(stream)
	return o
}

// Update takes the builds of each service in the present list of upstreams. A service that isn't in it
// keeps its only build: all its upstreams may have crashed.
func (t *Table) Update(listed map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setup()
	now := t.Clock.Now()
	for service, list := range listed {
		b := t.builds[service]
		if b == nil {
			b = &builds{sole: list[0], since: now}
			t.builds[service] = b
		}
		if b.several || b.sole != list[0] {
			b.since, b.otherSeenAt = now, now
		}
		b.sole, b.several = list[0], len(list) > 1
	}
}

// Forget is called while the list may be out of date: builds may come and go unnoticed.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, b := range t.builds {
		b.since = now
	}
}

// Sole returns the build of a service that was the only one for the given time, nil if there is none or
// this process hasn't watched for as long.
func (t *Table) Sole(service string, lasts magno.Millis) *Origin {
	return t.soleIf(service, func(b *builds, now magno.Millis) bool { return now-b.since >= lasts })
}

// Present returns the only build of a service at present, nil if there is none or this process has seen
// another one within the given time.
func (t *Table) Present(service string, lasts magno.Millis) *Origin {
	return t.soleIf(service, func(b *builds, now magno.Millis) bool { return b.otherSeenAt == 0 || now-b.otherSeenAt >= lasts })
}

// Several reports whether this process has seen several builds of a service within the given time.
func (t *Table) Several(service string, lasts magno.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.builds[service]
	return b != nil && (b.several || (b.otherSeenAt > 0 && t.Clock.Now()-b.otherSeenAt < lasts))
}

func (t *Table) soleIf(service string, ok func(b *builds, now magno.Millis) bool) *Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.builds[service]
	if b == nil || b.several || !ok(b, t.Clock.Now()) {
		return nil
	}
	return &Origin{Service: service, Build: b.sole}
}
