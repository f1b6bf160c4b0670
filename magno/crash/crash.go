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
// rise, and within one the set only grows until it is full, so the records of all processes converge.
// A request is refused if refuseEnds upstreams ended under it, or partRefuseEnds under one of its parts, that
// nothing else explains better, unless the pool was failing anyway. Later it may run once more, alone, which
// clears it if it was sound. Where a failure of the pool may explain the ends, as of a part whose ends all came at once,
// such requests run one at a time until one completes or ends a further upstream.
//
// Records expire and their number is bounded. They are soft state: losing them costs further ends.
package crash

import (
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
	// fail at once end all that ran there, and completions elsewhere become known here only later.
	partMoments = 3
	momentGap   = 500 * magno.Millis(1)
	// doubtDelay is how long after enough ends a request or part that may be the cause runs one at a time: by then
	// a completion that clears it is known to all processes.
	doubtDelay = momentGap
	// holdTime is how long a request is held back after the end that HoldEnds names. Upstreams
	// are back after it.
	holdTime = 3 * magno.Second
	// partClearTime is how long after a request with it completed a part isn't a suspect. A part that
	// many sound requests share completes all the while, one that ends its upstreams never does.
	partClearTime = 3 * magno.Second
	// settleTime is how long it may take until a completion is known to all processes: a few of gossip's
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
	// changes counts the changes of records that are sent to others: those of the ends of the current
	// generation. Evictions don't count.
	changes  int64
	digested digested
	// startedAt is the time of the first use.
	startedAt magno.Millis
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
		rec = &record{changedAt: now, announcedAt: now}
		s.put(fingerprint, rec)
	}
	return rec.add(e) && s.changed(rec, now)
}

// changed records a change that is to be sent to others, and returns true. The caller holds mu.
func (s *Suspects) changed(rec *record, now magno.Millis) bool {
	rec.changedAt, rec.announcedAt = now, now
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
		rec.generation, rec.clearedAt, rec.trials = rec.generation+1, now, 0
	}
	rec.witnessed = true
	s.changed(rec, now)
	ends := make([]magno.UpstreamEnd, 0, len(cleared))
	for i := range cleared {
		ends = append(ends, cleared[i].export(now))
	}
	return ends
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
