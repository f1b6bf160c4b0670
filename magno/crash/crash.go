// Package crash tracks the requests under which upstreams ended, and decides which of them caused
// it and must not run again.
//
// Load pattern: some requests end every upstream that runs them, and their callers send them
// again. Or a part of prompts does, in requests of which no two are alike, beside sound ones that have
// all other parts in common with them. Without this package one such request or part takes down a whole
// pool, one upstream after the other, along with all other requests that run there. Upstreams also end
// by themselves, one or all at once, and the requests that ran there must be served by others.
//
//	upstream ends --> RecordEnd for each request that ran there, and its parts --.
//	request completes --> Clear, also its parts ---------------------------------+--> Merge at peers
//	before each send --> Refused <-- records of all processes -------------------'
//
// A record is the set of upstreams that ended under a request, or under requests with a part. Sets are
// joined, so it doesn't matter which process saw an end, how many did, or in which order they learn of
// it. What completes is cleared of the ends so far, which begins the next generation of its record; a part
// is also cleared of those soon afterwards, since it runs in many requests at a time. Generations only
// rise, and within one the set only grows until it is full, so what processes tell each other settles.
// A request is refused if refuseEnds upstreams ended under it, or partRefuseEnds
// under one of its parts, that nothing else explains better, unless the pool was failing anyway. Later it may run once
// more, alone, which clears it if it was sound.
//
// Records expire and their number is bounded. They are soft state: losing them costs further ends.
package crash

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// Retention is how long a record is kept after its last change. It exceeds the time for
	// which callers keep resending a request.
	Retention = 30 * magno.Minute
	// MaxRecords bounds the number of records: 64 full batches of 64 requests.
	MaxRecords = 4096
	// maxEnds bounds the ends in a record, and as many that it was cleared of.
	maxEnds = 16
	// freshTime and keepTime are for a table that is full: a single end of a peer is taken while it is
	// younger than freshTime, in place of a record that did not change for keepTime. What gave way is
	// older than freshTime by then and isn't taken again.
	freshTime = 3 * magno.Second
	keepTime  = 10 * magno.Second
	// maxEvictionScan bounds the records that are looked at for one to give way.
	maxEvictionScan = 8
	// maxCompleted bounds the completions that are remembered. An end is known a few seconds
	// after it happened, and the request may have completed elsewhere by then.
	maxCompleted = 8192
	// refuseEnds is the number of ends from which a request is refused. Two can coincide with
	// a sound request while upstreams are killed.
	refuseEnds = 3
	// partRefuseEnds is the same for a part of prompts: one more, so that a request that ends upstreams
	// is refused before a sound part that ran beside it each time.
	partRefuseEnds = 4
	// partMoments is at how many moments, momentGap apart, these ends must have come. Many upstreams that
	// fail at once end all that ran there, and news of what completes elsewhere needs time to arrive.
	partMoments = 3
	momentGap   = 500 * magno.Millis(1)
	// holdTime is how long a request is held back after the end that HoldEnds names. Upstreams
	// are back after it.
	holdTime = 3 * magno.Second
	// partClearTime is how long after a request with it completed a part isn't a suspect. A part that
	// many sound requests share completes all the while, one that ends its upstreams never does.
	partClearTime = 3 * magno.Second
	// settleTime is how long news of a completion may take to reach all processes: a few of gossip's
	// urgent exchanges.
	settleTime = 200 * magno.Millis(1)
)

// Record is what is known about one request or part of prompts.
type Record struct {
	// Fingerprint is a RequestPrint or a PartPrint.
	Fingerprint uint64 `json:"print"`
	// Generation counts the completions that cleared it of ends, and ClearedAge is the time since the
	// last of them.
	Generation uint32       `json:"gen,omitempty"`
	ClearedAge magno.Millis `json:"clearedage,omitempty"`
	// Ends are the upstreams that ended while they ran the request, those of this generation only.
	Ends []magno.UpstreamEnd `json:"ends"`
}

// Suspects is the set of records. It is safe for concurrent use; exported fields are set before
// use.
type Suspects struct {
	Clock *magno.Clock
	// OnChange, if set, is called with each end that this process records or clears itself,
	// but not with merged ones.
	OnChange func(fingerprint uint64, e magno.UpstreamEnd)
	// HoldEnds is the number of ends from which a request is refused for holdTime after the last
	// of them, zero for none. In a small pool a third end at once would leave no upstream for
	// other requests.
	HoldEnds int
	// PoolSize returns the number of upstreams in a pool. If nil, pools have one upstream.
	PoolSize func(pool uint64) int

	mu      sync.Mutex
	records *simplelru.LRU[uint64, *record]
	// completed holds the time of the last completion of requests, also of those without a
	// record.
	completed *simplelru.LRU[uint64, magno.Millis]
	// changes counts the changes of records that are news to others: those of the ends of the current
	// generation. What makes room in a table is none.
	changes  int64
	digested digested
	// startedAt is the time of the first use.
	startedAt magno.Millis
}

// record is a Record as this process keeps it.
type record struct {
	// generation and clearedAt are as in Record.
	generation uint32
	clearedAt  magno.Millis
	// ends holds at most maxEnds that count and maxEnds that it was cleared of. The latter tell whether a
	// pool is failing, and aren't told to others.
	ends []end
	// changedAt is the time of the last change known here, tellAt that from which on peers are told.
	changedAt, tellAt magno.Millis
	// witnessed is true if this process itself saw one of the ends or a completion.
	witnessed bool
	// trials counts the trials that this process granted, the last one at triedAt.
	trials  int
	triedAt magno.Millis
	verdict verdict
}

// end is a magno.UpstreamEnd whose age is counted from at.
type end struct {
	upstream, pool uint64
	cleared        bool
	at             magno.Millis
}

// count returns the number of ends that the request isn't cleared of.
func (r *record) count() int {
	n := 0
	for i := range r.ends {
		if !r.ends[i].cleared {
			n++
		}
	}
	return n
}

// find returns the end of an upstream, or nil.
func (r *record) find(upstream uint64) *end {
	for i := range r.ends {
		if r.ends[i].upstream == upstream {
			return &r.ends[i]
		}
	}
	return nil
}

// add adds an end or joins it with the one that is known. It reports whether that changed the ends that
// count.
func (r *record) add(e end) bool {
	if old := r.find(e.upstream); old != nil {
		changed := e.cleared && !old.cleared
		old.cleared = old.cleared || e.cleared
		return changed
	}
	last, n := r.last(e.cleared)
	switch {
	case n < maxEnds:
		r.ends = append(r.ends, e)
		return !e.cleared
	case e.cleared || e.upstream < r.ends[last].upstream:
		r.ends[last] = e
	}
	return false
}

// last returns which of the ends that count, or of the cleared ones, gives way to another, and their
// number. Of the cleared ones it is the first that became known. Of the others it is the one with the highest
// hash, so that all processes keep the same.
func (r *record) last(cleared bool) (at, n int) {
	at = -1
	for i := range r.ends {
		if r.ends[i].cleared != cleared {
			continue
		}
		n++
		if at < 0 || (!cleared && r.ends[i].upstream > r.ends[at].upstream) {
			at = i
		}
	}
	return at, n
}

// clear clears the record of the matching ends and returns those that counted.
func (r *record) clear(match func(*end) bool) []end {
	var cleared []end
	for i := range r.ends {
		if e := &r.ends[i]; !e.cleared && match(e) {
			e.cleared = true
			cleared = append(cleared, *e)
		}
	}
	for last, n := r.last(true); n > maxEnds; last, n = r.last(true) {
		r.ends = slices.Delete(r.ends, last, last+1)
	}
	return cleared
}

// begin begins a generation, with the ends that came after the completion.
func (r *record) begin(generation uint32, clearedAt magno.Millis) (changed bool) {
	r.generation, r.clearedAt = generation, clearedAt
	return len(r.clear(func(e *end) bool { return e.at <= clearedAt })) > 0
}

// setup creates the tables on first use. The caller holds mu.
func (s *Suspects) setup() {
	if s.records == nil {
		s.startedAt = s.Clock.Now()
		s.records, _ = simplelru.NewLRU[uint64, *record](MaxRecords, nil)
		s.completed, _ = simplelru.NewLRU[uint64, magno.Millis](maxCompleted, nil)
	}
}

// get returns the record of a request, nil if there is none. The caller holds mu.
func (s *Suspects) get(fingerprint uint64) *record {
	s.setup()
	rec, ok := s.records.Get(fingerprint)
	if !ok {
		return nil
	}
	if s.Clock.Now()-rec.changedAt > Retention {
		s.records.Remove(fingerprint)
		return nil
	}
	return rec
}

// put stores a new record, in place of the least recently used one if the table is full. If that is a
// record with several ends, it looks for another one first. The caller holds mu.
func (s *Suspects) put(fingerprint uint64, rec *record) {
	if s.records.Len() >= MaxRecords {
		if oldest, ok := s.evictable(); ok {
			s.records.Remove(oldest)
		}
	}
	s.records.Add(fingerprint, rec)
}

// evictable returns the least recently used of the records without several ends, false if there is none
// among the first few. The caller holds mu.
func (s *Suspects) evictable() (uint64, bool) {
	for range maxEvictionScan {
		oldest, rec, ok := s.records.GetOldest()
		if !ok {
			return 0, false
		}
		if rec.count() < seriousEnds {
			return oldest, true
		}
		s.records.Get(oldest) // it is now the most recently used
	}
	return 0, false
}

// admits reports whether there is room for a record of a peer that has none here. The caller holds mu.
func (s *Suspects) admits(rec *Record, now magno.Millis) bool {
	if s.records.Len() < MaxRecords {
		return true
	}
	oldest, ok := s.evictable()
	if !ok || len(rec.Ends) == 0 {
		return false
	}
	if len(rec.Ends) >= seriousEnds {
		return true
	}
	victim, _ := s.records.Peek(oldest)
	return rec.Ends[0].Age < freshTime && now-victim.changedAt > keepTime
}

// join adds an end to the record of a request, and reports whether that changed the ends that count. The
// caller holds mu.
func (s *Suspects) join(fingerprint uint64, e end, now magno.Millis) bool {
	rec := s.get(fingerprint)
	if s.isCleared(fingerprint, e.at) {
		if rec == nil && isPart(fingerprint) && !e.cleared {
			return false // most ends are recorded for a part that all requests share
		}
		e.cleared = true
	}
	if rec == nil {
		rec = &record{changedAt: now, tellAt: now}
		s.put(fingerprint, rec)
	}
	return rec.add(e) && s.changed(rec, now)
}

// changed notes a change that is news to others, and returns true. The caller holds mu.
func (s *Suspects) changed(rec *record, now magno.Millis) bool {
	rec.changedAt, rec.tellAt = now, now
	s.changes++
	return true
}

// isCleared reports whether a completion that is known here clears a request or part of an end. The
// caller holds mu.
func (s *Suspects) isCleared(fingerprint uint64, endedAt magno.Millis) bool {
	return s.clearedUntil(fingerprint) > endedAt
}

// clearedUntil returns the time up to which the last completion that is known here clears a request or part
// of ends, zero if none is. The caller holds mu.
func (s *Suspects) clearedUntil(fingerprint uint64) magno.Millis {
	at, ok := s.completed.Peek(fingerprint)
	if ok && isPart(fingerprint) {
		at += partClearTime
	}
	return at
}

// RecordEnd records that an upstream ended while it ran a request. It may be called for the same
// end any number of times. A zero fingerprint is ignored.
func (s *Suspects) RecordEnd(fingerprint uint64, e magno.UpstreamEnd) {
	if fingerprint == 0 {
		return
	}
	s.mu.Lock()
	now := s.Clock.Now()
	changed := s.join(fingerprint, end{upstream: e.Upstream, pool: e.Pool, at: now - e.Age}, now)
	if rec := s.get(fingerprint); rec != nil {
		rec.witnessed = true
	}
	s.mu.Unlock()
	if changed && s.OnChange != nil {
		s.OnChange(fingerprint, e)
	}
}

// Retract takes back an end that didn't happen.
func (s *Suspects) Retract(fingerprint, upstream uint64) {
	s.clear(fingerprint, func(e *end) bool { return e.upstream == upstream })
}

// Clear clears a request that ran to completion, and its parts, of the ends so far, also of those that
// become known later.
func (s *Suspects) Clear(prints ...uint64) {
	if s == nil {
		return
	}
	for _, print := range prints {
		if print == 0 {
			continue
		}
		s.mu.Lock()
		s.setup()
		s.completed.Add(print, s.Clock.Now())
		s.mu.Unlock()
		s.clear(print, func(*end) bool { return true })
	}
}

// clear clears a request of the matching ends.
func (s *Suspects) clear(fingerprint uint64, match func(*end) bool) {
	if s.Count(fingerprint) == 0 {
		return
	}
	cleared := s.clearRecord(fingerprint, match)
	if s.OnChange == nil {
		return
	}
	for _, e := range cleared {
		s.OnChange(fingerprint, e)
	}
}

func (s *Suspects) clearRecord(fingerprint uint64, match func(*end) bool) []magno.UpstreamEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil {
		return nil
	}
	now := s.Clock.Now()
	cleared := rec.clear(match)
	if len(cleared) == 0 {
		return nil
	}
	if rec.count() == 0 {
		rec.generation, rec.clearedAt = rec.generation+1, now
	}
	rec.witnessed = true
	s.changed(rec, now)
	ends := make([]magno.UpstreamEnd, 0, len(cleared))
	for i := range cleared {
		ends = append(ends, cleared[i].export(now))
	}
	return ends
}

// export returns the record as it is told to others.
func (r *record) export(fingerprint uint64, now magno.Millis) Record {
	rec := Record{Fingerprint: fingerprint, Generation: r.generation, Ends: make([]magno.UpstreamEnd, 0, len(r.ends))}
	if r.generation > 0 {
		rec.ClearedAge = now - r.clearedAt
	}
	for i := range r.ends {
		if !r.ends[i].cleared {
			rec.Ends = append(rec.Ends, r.ends[i].export(now))
		}
	}
	return rec
}

func (e *end) export(now magno.Millis) magno.UpstreamEnd {
	return magno.UpstreamEnd{Upstream: e.upstream, Pool: e.pool, Cleared: e.cleared, Age: now - e.at}
}

// Count returns the number of upstreams that ended under a request since it last completed.
func (s *Suspects) Count(fingerprint uint64) int {
	if s == nil || fingerprint == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil {
		return 0
	}
	return rec.count()
}

// Ends returns the upstreams that ended under a request, those that it is cleared of too.
func (s *Suspects) Ends(fingerprint uint64) []magno.UpstreamEnd {
	if s == nil || fingerprint == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil {
		return nil
	}
	now := s.Clock.Now()
	ends := make([]magno.UpstreamEnd, 0, len(rec.ends))
	for i := range rec.ends {
		ends = append(ends, rec.ends[i].export(now))
	}
	return ends
}

// MustRunAlone reports whether an upstream ended under the request since it last completed. Where
// it can, a scheduler runs it alone, so that it affects no other.
func (s *Suspects) MustRunAlone(fingerprint uint64) bool { return s.Count(fingerprint) > 0 }
