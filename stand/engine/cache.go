package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"magnoliastall.example/magno"
)

// maxEvents bounds the ring of cache events; older ones are lost, as a gap.
const maxEvents = 4096

// The kinds of cache event.
const (
	EventStored  = "stored"
	EventRemoved = "removed"
)

// Event tells that a prefix came into the cache or left it.
type Event struct {
	// Seq counts from 1 since boot; a gap means that events were lost.
	Seq  int64  `json:"seq"`
	Kind string `json:"kind"`
	// Prefix is a hash of model and prompt start in hexadecimal.
	Prefix string `json:"prefix"`
	at     magno.Millis
}

// cache holds hashes of prompt prefixes, the least recently used going first.
type cache struct {
	block        int
	eventDelay   magno.Millis
	lossInterval int
	seq          int64
	now          magno.Millis
	// events are in order of seq and at most maxEvents.
	events  []Event
	entries *lru.Cache[uint64, struct{}]
}

func newCache(size, block int, eventDelay magno.Millis, lossInterval int) *cache {
	c := &cache{block: block, eventDelay: eventDelay, lossInterval: lossInterval}
	// The only error is a size under 1, which prepare rules out.
	c.entries, _ = lru.NewWithEvict(size, func(prefix uint64, _ struct{}) {
		c.addEvent(EventRemoved, prefix)
	})
	return c
}

// prefixes returns the hash of each whole block's prefix and the number of
// tokens in the prompt. The hashes are of one model: another adapter's keys
// and values differ.
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

// spared returns how many tokens of a prompt are cached.
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

// store keeps the prefixes of a prompt that was read.
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

// tell records an event, or loses it while its number is used up.
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

// after returns the events over seq that show by now.
func (c *cache) visibleEvents(seq int64, now magno.Millis) []Event {
	visible := []Event{}
	for _, ev := range c.events {
		if ev.Seq > seq && ev.at+c.eventDelay <= now {
			visible = append(visible, ev)
		}
	}
	return visible
}
