package crash

import (
	"slices"

	"magnoliastall.example/magno"
)

// seriousEnds is the number of ends from which a record is compared between processes. A crash
// leaves one end in the record of each request that ran there; those are sent once.
const seriousEnds = 2

// Merge joins records from a peer with those of this process. The higher generation of a record holds, with the
// ends of either that came after its completion.
func (s *Suspects) Merge(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setup()
	now := s.Clock.Now()
	for i := range records {
		if records[i].Fingerprint != 0 {
			s.mergeRecord(&records[i], now)
		}
	}
}

// mergeRecord joins one record. The caller holds mu.
func (s *Suspects) mergeRecord(theirs *Record, now magno.Millis) {
	ends := importEnds(theirs.Ends, now)
	rec := s.get(theirs.Fingerprint)
	if rec == nil {
		if !s.admits(theirs, now) {
			return
		}
		if s.isCompletedPart(theirs.Fingerprint, ends) {
			if len(ends) >= partRefuseEnds {
				s.announceCompletion(theirs, now)
			}
			return
		}
		rec = &record{generation: theirs.Generation, clearedAt: now - max(theirs.ClearedAge, 0), changedAt: now}
		s.put(theirs.Fingerprint, rec)
	}
	if theirs.Generation > rec.generation && rec.beginGeneration(theirs.Generation, now-max(theirs.ClearedAge, 0)) {
		s.changed(rec, now)
	}
	stale := theirs.Generation < rec.generation
	for _, e := range ends {
		switch {
		case stale && e.at <= rec.clearedAt:
			rec.announcedAt, rec.witnessed = now, true // the peer doesn't know of the completion
		case s.isCleared(theirs.Fingerprint, e.at):
			e.cleared = true
			rec.add(e)
			rec.beginGeneration(max(rec.generation, theirs.Generation)+1, s.clearedUntil(theirs.Fingerprint))
			s.changed(rec, now)
			rec.witnessed, stale = true, true
		case rec.add(e):
			s.changed(rec, now)
		}
	}
}

// announceCompletion records that a part completed here, of whose ends a peer has so many that it may hold requests
// with it back. The caller holds mu.
func (s *Suspects) announceCompletion(theirs *Record, now magno.Millis) {
	rec := &record{generation: theirs.Generation + 1, clearedAt: s.clearedUntil(theirs.Fingerprint), witnessed: true}
	s.put(theirs.Fingerprint, rec)
	s.changed(rec, now)
}

// importEnds converts the ends of a peer's record. Expired ones are left out.
func importEnds(list []magno.UpstreamEnd, now magno.Millis) []end {
	ends := make([]end, 0, len(list))
	for _, e := range list {
		if e.Age <= Retention {
			ends = append(ends, end{upstream: e.Upstream, pool: e.Pool, cleared: e.Cleared, at: now - max(e.Age, 0)})
		}
	}
	return ends
}

// isCompletedPart reports whether a part is cleared of all ends by what completed here. The caller holds mu.
func (s *Suspects) isCompletedPart(fingerprint uint64, ends []end) bool {
	return isPart(fingerprint) && !slices.ContainsFunc(ends, func(e end) bool { return !s.isCleared(fingerprint, e.at) })
}

// MergeEnds joins ends that became known otherwise than by Merge with those of a request. Each bears
// itself whether the request was cleared of it.
func (s *Suspects) MergeEnds(fingerprint uint64, ends []magno.UpstreamEnd) {
	if fingerprint == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, e := range importEnds(ends, now) {
		s.join(fingerprint, e, now)
	}
}

// List returns the records that have not expired, the most recently changed or read last.
func (s *Suspects) List() []Record {
	return s.list(func(*record) bool { return true }, MaxRecords)
}

// maxPassedOn bounds the records with one end, or none, that UpdatedSince takes of those received from peers. After a
// failure of many upstreams they change no decision, and would be most of what processes send.
const maxPassedOn = 16

// UpdatedSince returns up to limit of the records that changed after the given time: those with several ends, then those
// those that this process saw a part of itself, and then maxPassedOn of the others.
func (s *Suspects) UpdatedSince(since magno.Millis, limit int) []Record {
	own := s.WitnessedSince(since, limit)
	others := s.list(func(rec *record) bool {
		return rec.announcedAt > since && rec.count() < seriousEnds && !rec.witnessed
	}, min(limit-len(own), maxPassedOn))
	return append(others, own...)
}

// WitnessedSince is UpdatedSince without the others.
func (s *Suspects) WitnessedSince(since magno.Millis, limit int) []Record {
	serious := s.list(func(rec *record) bool { return rec.announcedAt > since && rec.count() >= seriousEnds }, limit)
	own := s.list(func(rec *record) bool {
		return rec.announcedAt > since && rec.count() < seriousEnds && rec.witnessed
	}, limit-len(serious))
	return append(own, serious...)
}

// Serious returns the last limit records of requests under which several upstreams ended.
func (s *Suspects) Serious(limit int) []Record {
	return s.list(func(rec *record) bool { return rec.count() >= seriousEnds }, limit)
}

func (s *Suspects) list(include func(*record) bool, limit int) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		return nil
	}
	now := s.Clock.Now()
	var list []Record
	for _, print := range slices.Backward(s.records.Keys()) {
		rec, _ := s.records.Peek(print)
		if len(list) == limit {
			break
		}
		if now-rec.changedAt > Retention || !include(rec) {
			continue
		}
		list = append(list, rec.export(print, now))
	}
	slices.Reverse(list)
	return list
}

// Changes counts the changes of records that are to be sent to others, those by Merge too.
func (s *Suspects) Changes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// digestTTL is how long a digest is used while no record changes: records expire.
const digestTTL = magno.Second

// Digest returns a checksum of the records that Serious returns, zero if there are none. Processes
// with different ones lack records of each other.
func (s *Suspects) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.records == nil || (s.digested.changes == s.changes && now-s.digested.at < digestTTL) {
		return s.digested.sum
	}
	s.digested = digested{changes: s.changes, at: now}
	for _, print := range s.records.Keys() {
		rec, _ := s.records.Peek(print)
		if n := rec.count(); n >= seriousEnds && now-rec.changedAt <= Retention {
			s.digested.sum ^= print * uint64(2*min(n, refuseEnds)+1) //nolint:gosec // n is positive
		}
	}
	return s.digested.sum
}

// digested is a digest and what it was made from.
type digested struct {
	sum     uint64
	changes int64
	at      magno.Millis
}
