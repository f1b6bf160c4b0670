package crash

import "magnoliastall.example/magno"

const (
	// TrialWait is how long after its last end a refused request may be tried, and how long a
	// process that starts or has tried it waits before that.
	TrialWait = 10 * magno.Second
	// maxTrials bounds the trials of a request that neither completed nor ended an upstream in
	// them.
	maxTrials = 2
)

// TrialDue reports whether a request that is refused may be sound and can be tried: no more upstreams
// ended under it than it takes to be refused, none of them lately.
//
// Load pattern: upstreams are killed for a while, and some of the many requests that run there are hit
// three times in a row. Their callers send them for as long as records are kept, and nobody else can
// clear them.
func (s *Suspects) TrialDue(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	return rec != nil && s.trialDue(rec)
}

// trialDue is TrialDue for a record. The caller holds mu.
func (s *Suspects) trialDue(rec *record) bool {
	now := s.Clock.Now()
	return rec.count() == refuseEnds && now-rec.lastEnd() >= TrialWait && now-s.startedAt >= TrialWait
}

// GrantTrial reports whether a request may run once though it is refused. Only one process of a fleet
// may grant trials of a request, so that it runs alone.
func (s *Suspects) GrantTrial(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil || !s.trialDue(rec) {
		return false
	}
	now := s.Clock.Now()
	if rec.trials >= maxTrials || (rec.trials > 0 && now-rec.triedAt < TrialWait) {
		return false
	}
	rec.trials++
	rec.triedAt = now
	return true
}
