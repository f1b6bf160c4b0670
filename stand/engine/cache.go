package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"magnoliastall.example/magno"
)

// maxEvents bounds the buffer of cache events. Older ones are dropped, which
// readers see as a gap in Seq.
const maxEvents = 4096

// The kinds of cache event.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// Event reports that a prefix was added to the cache or removed from it.
type Event struct {
	// Seq counts from 1 at each boot; a gap means that events were lost.
	Seq  int64  `json:"seq"`
	Kind string `json:"kind"`
	// Prefix is the hash of the model and the start of the prompt, in hexadecimal.
	Prefix string `json:"prefix"`
	at     magno.Millis
}

// cache is an LRU cache of the hashes of prompt prefixes.
type cache struct {
	block        int
	eventDelay   magno.Millis
	lossInterval int
	seq          int64
	now          magno.Millis
	// events is ordered by Seq and has at most maxEvents entries.
	events  []Event
	entries *lru.Cache[uint64, struct{}]
}

func newCache(size, block int, eventDelay magno.Millis, lossInterval int) *cache {
	c := &cache{block: block, eventDelay: eventDelay, lossInterval: lossInterval}
	// The only error is a size below 1, which the settings and the default rule out.
	c.entries, _ = lru.NewWithEvict(size, func(prefix uint64, _ struct{}) {
		c.addEvent(EventRemoved, prefix)
	})
	return c
}

// prefixes returns the hash of the prompt up to the end of each whole block, and
// the number of tokens in the prompt. The hashes include the model, because the
// keys and values of another adapter differ.
func prefixes(model, prompt string, block int) ([]uint64, int) {
	fields := strings.Fields(prompt)
	var hashes []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for i, word := range fields {
		_, _ = digest.WriteString(" ")
		_, _ = digest.WriteString(word)
		if (i+1)%block == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes, len(fields)
}

// cachedTokens returns how many tokens at the start of a prompt are cached.
func (c *cache) cachedTokens(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if _, ok := c.entries.Get(h); !ok {
			break
		}
		n += c.block
	}
	return n
}

// insert adds the prefixes of a prompt whose prefill has finished.
func (c *cache) insert(now magno.Millis, hashes []uint64) {
	c.now = now
	for _, h := range hashes {
		if c.entries.Contains(h) {
			continue
		}
		c.entries.Add(h, struct{}{})
		c.addEvent(EventStored, h)
	}
}

// addEvent records an event. A lost event still uses up its sequence number.
func (c *cache) addEvent(kind string, prefix uint64) {
	c.seq++
	if c.lossInterval > 0 && c.seq%int64(c.lossInterval) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, Event{Seq: c.seq, Kind: kind, Prefix: strconv.FormatUint(prefix, 16), at: c.now})
}

// visibleEvents returns the events after seq that are visible at time now.
func (c *cache) visibleEvents(seq int64, now magno.Millis) []Event {
	visible := []Event{}
	for _, ev := range c.events {
		if ev.Seq > seq && ev.at+c.eventDelay <= now {
			visible = append(visible, ev)
		}
	}
	return visible
}
