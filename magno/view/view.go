// Package view keeps what the platform's list says, whoever brought it: this
// process's own reading or a peer's.
//
// Load pattern: a change every few minutes on a calm day, several a second
// while upstreams are replaced, and after an outage everything at once, with
// entries missing that are only late. Without one place that orders changes by
// revision, a slow answer would bring back a configuration that was replaced,
// or hide an upstream that came back.
//
// What is known is always what the list held at one revision: news that begin
// after it are left, and asked for. So changes may come twice and in any order,
// and two processes at one revision believe the same. The configuration's
// version never falls within a process.
package view

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"magnoliastall.example/magno"
)

const (
	// lapseGrace is how long an upstream whose entry vanished in an outage of
	// the list is still used after the list came back: live ones are listed
	// again within about two seconds.
	lapseGrace = 2200 * magno.Millis(1)
	// lapseLeast is how long an outage must last for entries to run out in it:
	// they are renewed about each second and last for three of these times.
	lapseLeast = 1500 * magno.Millis(1)
	// graveLife is how long a deletion is remembered against older news of the
	// key: longer than any answer or peer can be late.
	graveLife = 5 * magno.Minute
)

// Snapshot is what is known at one time. It isn't changed once made.
type Snapshot struct {
	// Plan is nil until the first configuration came.
	Plan *magno.Plan
	// Replicas maps IDs to the upstreams that may be used or are leaving.
	Replicas map[string]*magno.Replica
	// Pins maps MODEL/ADAPTER to the newest version that was declared.
	Pins map[string]int64
	// Revision is the list's; changes up to it are known.
	Revision int64
}

// Find returns the replica with that key, nil when there is none.
func (s *Snapshot) Find(key string) *magno.Replica {
	id, _, _ := strings.Cut(key, "@")
	if r := s.Replicas[id]; r != nil && r.Key() == key {
		return r
	}
	return nil
}

// Store takes changes. It is safe for concurrent use; exported fields are set
// before.
type Store struct {
	Clock *magno.Clock
	// OnChange is told of each change that took effect, in order. It may be nil
	// and must not call the book.
	OnChange func(magno.Change)
	// Log is told of configurations that can't be encoded. It may be nil.
	Log *slog.Logger

	mu    sync.Mutex
	items map[string]*record
	// newest maps an address to when the last entry there was made, also one
	// that is gone again. There are as many as the platform has addresses.
	newest map[string]int64
	now    *Snapshot
	// plan is the newest configuration; its version never falls.
	plan *magno.Plan
	// confirmed is when Revision was known to be the list's newest.
	confirmed magno.Millis
	// vouched is the latest time at which the list is known to have held nothing newer
	// than revision sure.
	vouched magno.Millis
	sure    int64
	// blind is where deletions may be unknown here: those of items that were made
	// after its start.
	blind RevisionRange
	// failing is true from a failed read to the next good one; back is when
	// that came.
	failing bool
	back    magno.Millis
	watch   chan struct{}
}

type record struct {
	change magno.Change
	// until is when a deletion takes effect that may only be a lapse; zero
	// when it has.
	until magno.Millis
	// last is the upstream as it was before such a deletion.
	last *magno.Replica
	at   magno.Millis
	// packed is a whole configuration as other processes are told of it, nil until
	// one asked.
	packed []byte
}

// Current returns what is known.
func (b *Store) Current() *Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	return b.now
}

// Changed returns a channel that is closed at the next change.
func (b *Store) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	return b.watch
}

// Age is how long ago what is known was the newest.
func (b *Store) Age() magno.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock.Now() - b.confirmed
}

// RecordFreshness notes that at a time the list's newest revision was no higher than the given
// one. It says nothing to a process that doesn't know all changes up to that.
func (b *Store) RecordFreshness(revision int64, at magno.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	if revision <= b.now.Revision && at <= b.Clock.Now() && at > b.vouched {
		b.vouched, b.sure = at, revision
	}
}

// FreshAt is the latest time at which the list is known to have held nothing newer
// than a revision, which this process knows; zero when there is none. Unlike Age it
// rests on no message whose way may have taken long.
func (b *Store) FreshAt() (at magno.Millis, revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.vouched, b.sure
}

// Staleness is how long ago that was.
func (b *Store) Staleness() magno.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock.Now() - b.vouched
}

func (b *Store) setup() {
	if b.items == nil {
		b.items, b.newest = map[string]*record{}, map[string]int64{}
		b.watch = make(chan struct{})
		b.now = &Snapshot{Replicas: map[string]*magno.Replica{}, Pins: map[string]int64{}}
	}
}

// RecordFailure notes that the list could not be read.
func (b *Store) RecordFailure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = true
}

// ApplyRead notes a good answer of the list: changes up to revision. With all set
// they are the whole list, and what it lacks was deleted; such an answer may be
// seconds old, so it confirms nothing but the first time. ApplyRead returns what
// others are to be told; of a whole list that is only the revision, as each
// process reads one when it starts.
func (b *Store) ApplyRead(changes []magno.Change, revision int64, all bool) Update {
	news, bases := b.read(changes, revision, all)
	b.pack(news.Changes, bases)
	return news
}

// read is Read but for the encoding of configurations, whose bases it returns.
func (b *Store) read(changes []magno.Change, revision int64, all bool) (Update, []magno.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	now := b.Clock.Now()
	if b.failing {
		b.failing = false
		if now-b.confirmed > lapseLeast {
			b.back = now
		}
	}
	if all {
		confirmed := b.confirmed
		if confirmed == 0 {
			confirmed = now
		}
		b.takeNews(Update{Changes: changes, Revision: revision, Full: true}, confirmed)
		return Update{Since: revision, Revision: revision, Age: now - b.confirmed}, nil
	}
	told := b.telling(changes)
	bases := b.bases(told)
	news := Update{Changes: told, Since: b.now.Revision, Revision: revision}
	b.takeNews(news, now)
	return news, bases
}

// takeNews applies news. A whole list tells nothing of what came and went before
// it, so this process can't tell others of that either. The caller holds mu.
func (b *Store) takeNews(n Update, confirmed magno.Millis) {
	changes := n.Changes
	if n.Full {
		changes = append(slices.Clip(changes), b.missing(changes, n.Revision)...)
		n.UnknownDeletions.add(b.now.Revision, n.Revision)
	}
	if n.UnknownDeletions.Before > b.now.Revision {
		b.blind.add(n.UnknownDeletions.After, n.UnknownDeletions.Before)
	}
	b.take(changes, n.Revision, confirmed)
}

// missing makes deletions of what a whole list lacks. What is known to be
// newer than the list, which may be old, stays.
func (b *Store) missing(changes []magno.Change, revision int64) []magno.Change {
	there := make(map[string]bool, len(changes))
	for i := range changes {
		there[changes[i].Key] = true
	}
	var gone []magno.Change
	for key, rec := range b.items {
		if !there[key] && !rec.change.Deleted && rec.change.Revision <= revision {
			gone = append(gone, magno.Change{Key: key, Revision: revision, Deleted: true})
		}
	}
	return gone
}

// take applies changes. The caller holds mu.
func (b *Store) take(changes []magno.Change, revision int64, confirmed magno.Millis) {
	changed := false
	for i := range changes {
		changed = b.apply(&changes[i]) || changed
	}
	b.confirmed = max(b.confirmed, confirmed)
	if revision > b.now.Revision || changed {
		b.publish(max(revision, b.now.Revision), changed)
	}
}

func (b *Store) apply(c *magno.Change) bool {
	if c.Revision <= b.now.Revision {
		// All that the list had at Revision is here. What an older answer tells
		// beyond that is gone since, and would come back for good.
		return false
	}
	old, now := b.items[c.Key], b.Clock.Now()
	rec := &record{change: *c, at: now}
	rec.change.Packed = nil
	if c.Deleted && old != nil {
		b.lapse(rec, old, now)
	}
	b.items[c.Key] = rec
	if r := c.Replica; r != nil {
		b.newest[r.Address] = max(b.newest[r.Address], r.Since)
	}
	if c.Plan != nil && (b.plan == nil || c.Plan.Version > b.plan.Version) {
		b.plan = c.Plan
	}
	if b.OnChange != nil {
		b.OnChange(*c)
	}
	return true
}

// lapse keeps an upstream that vanished with an outage for a while: its entry
// may have run out only because nobody could renew it, and taking all such
// upstreams as gone would refuse every request.
func (b *Store) lapse(rec, old *record, now magno.Millis) {
	last := old.change.Replica
	if last == nil || last.Leaving {
		return
	}
	if end := b.back + lapseGrace; b.back > 0 && now < end {
		rec.until, rec.last = end, last
	}
}

// Tick lets deletions take effect that turned out to be no lapse, and forgets
// old ones. It is called every few hundred milliseconds.
func (b *Store) Tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	now, changed := b.Clock.Now(), false
	for key, rec := range b.items {
		if rec.until > 0 && now >= rec.until {
			rec.until, rec.last = 0, nil
			changed = true
		}
		if rec.change.Deleted && rec.until == 0 && now-rec.at > graveLife {
			delete(b.items, key)
			b.blind.add(0, rec.change.Revision)
		}
	}
	if changed {
		b.publish(b.now.Revision, true)
	}
}

// publish makes the next snapshot. The caller holds mu.
func (b *Store) publish(revision int64, changed bool) {
	next := &Snapshot{Plan: b.plan, Revision: revision, Replicas: b.now.Replicas, Pins: b.now.Pins}
	if changed {
		next.Replicas, next.Pins = b.collect()
	}
	b.now = next
	if changed {
		close(b.watch)
		b.watch = make(chan struct{})
	}
}

func (b *Store) collect() (map[string]*magno.Replica, map[string]int64) {
	replicas, pins := map[string]*magno.Replica{}, maps.Clone(b.now.Pins)
	for _, rec := range b.items {
		r := rec.change.Replica
		if r == nil {
			r = rec.last
		}
		// The entry of an upstream that crashed stands for some seconds beside
		// that of its successor at the same address.
		if r != nil && r.Since >= b.newest[r.Address] {
			replicas[r.ID] = r
		}
		if p := rec.change.Pin; p != nil {
			name := p.Model + "/" + p.Adapter
			pins[name] = max(pins[name], p.Number)
		}
	}
	if maps.Equal(pins, b.now.Pins) {
		pins = b.now.Pins // whoever compares what all agents are told sees at once that it is the same
	}
	return replicas, pins
}
