// Package origin remembers which build of an upstream's software began each stream, so that the stream
// goes on at that build only.
//
//	first event --> Record --> Table --> Find <-- the caller takes the stream up
//
// Load pattern: builds serve side by side while a service is updated. Upstreams and entries end all the
// while, and callers take up at another entry what breaks off. What two builds write doesn't fit into one
// stream, and no upstream checks that.
//
// A service that has had only one build for longer than a stream lasts needs no record (package builds).
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
	// Lasts is how long a stream of the service lasts at most, with all tries of its caller, and Patience how
	// long after it broke off the caller may still take it up. Both are in ms.
	Lasts, Patience magno.Millis
}

// StreamIDBytes is the size of a StreamID in messages: small, and enough to tell MaxRecords streams apart.
const StreamIDBytes = 5

// StreamID identifies a stream by the ID of the caller's attempt that brought its first event. It fits into
// StreamIDBytes.
func StreamID(attempt string) uint64 {
	return xxhash.Sum64String(attempt) >> (64 - 8*StreamIDBytes)
}

// Table is the set of records. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records *simplelru.LRU[uint64, *Origin]
	// origins holds one copy of each origin.
	origins map[Origin]*Origin
}

// setup creates the tables on first use. The caller holds mu.
func (t *Table) setup() {
	if t.records == nil {
		t.records, _ = simplelru.NewLRU[uint64, *Origin](MaxRecords, nil)
		t.origins = map[Origin]*Origin{}
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
