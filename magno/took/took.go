// Package took learns how long requests take, from when they are sent to the end of their answers.
//
//	answered request --Add--> last samples of its key --> Most
//
// Load pattern: a process stops while requests still come, and has seconds left. Those that are sent
// and can't end by then run, but their callers learn nothing of it. Without this package every request
// would have to be refused that may take as long as its timeout allows, though most take
// milliseconds.
package took

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// maxKeys bounds the keys. One takes about 200 bytes.
	maxKeys = 4096
	// samples is the number of the newest requests of a key that count, exceeding that of those which
	// may take longer than Most.
	samples   = 24
	exceeding = 2
)

// Times holds the newest samples of each key. The zero value is empty and ready to use. It is safe for
// concurrent use.
type Times struct {
	mu   sync.Mutex
	keys *simplelru.LRU[string, *ring]
}

// ring holds the newest samples, in milliseconds.
type ring struct {
	times [samples]uint32
	n     int
}

// Add records that a request took a time.
func (t *Times) Add(key string, took magno.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keys == nil {
		t.keys, _ = simplelru.NewLRU[string, *ring](maxKeys, nil) // fails only for a size of zero
	}
	r, ok := t.keys.Get(key)
	if !ok {
		r = &ring{}
		t.keys.Add(key, r)
	}
	r.times[r.n%samples] = uint32(min(max(took, 0), magno.Hour)) //nolint:gosec // an hour fits
	r.n++
}

// Most returns the time in which nine of ten requests with the key end. It returns false if there was
// none.
func (t *Times) Most(key string) (magno.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keys == nil {
		return 0, false
	}
	r, ok := t.keys.Peek(key)
	if !ok {
		return 0, false
	}
	n := min(r.n, samples)
	sorted := r.times
	slices.Sort(sorted[:n])
	return magno.Millis(sorted[n-1-exceeding*n/samples]), true
}
