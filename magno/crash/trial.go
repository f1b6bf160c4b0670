package crash

import "magnoliastall.example/magno"

const (
	// TrialWait is how long after its last end a refused request may be tried, and how long a
	// process that starts or has tried it waits before that.
	TrialWait = 10 * magno.Second
	// partTrialWait is TrialWait for the first trial of a part: upstreams are back after it. All requests that share a
	// sound part are refused until then.
	partTrialWait = holdTime
	// maxTrials bounds the trials of a request or part.
	maxTrials = 2
	// maxTrialDoublings bounds how often further ends double the wait of a part.
	maxTrialDoublings = 5
	// maxUnprovenTrials bounds the requests that may be the cause. The last one runs later than the others.
	maxUnprovenTrials = 3
	// unprovenTrialGap is the least time between two of them: the end of an upstream under the first is known by then.
	unprovenTrialGap = magno.Second
)

// TrialDue reports whether a request or part that is refused may be sound and can be tried: no upstream
// ended under it lately, and under a request no more than it takes to be refused.
//
// Load pattern: upstreams are killed for a while, and some of the many requests that run there are hit
// three times in a row. Their callers send them for as long as records are kept, and nobody else can
// clear them. Several requests with a part may have run before that was refused, so it is tried after
// more ends, too: soon for the first time, then the later the more there are.
func (s *Suspects) TrialDue(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	return rec != nil && s.trialDue(fingerprint, rec)
}

// trialDue is TrialDue for a record. The caller holds mu.
func (s *Suspects) trialDue(print uint64, rec *record) bool {
	now, more, wait := s.Clock.Now(), rec.count()-enoughEnds(print), TrialWait
	switch {
	case isPart(print) && rec.trials == 0:
		wait, more = partTrialWait, 0
	case isPart(print) && more > 0:
		wait <<= min(more, maxTrialDoublings)
		more = 0
	}
	return more == 0 && now-rec.lastEnd() >= wait && now-s.startedAt >= wait
}

// GrantTrial reports whether a request may run once though it is refused. Only one process of a fleet
// may grant trials of a request, so that it runs alone.
func (s *Suspects) GrantTrial(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil || !s.trialDue(fingerprint, rec) {
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

// GrantUnproven reports whether a request that may be the cause, or has a part that may be, may run (Judge). Only one
// process of a fleet may grant that.
func (s *Suspects) GrantUnproven(print uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(print)
	now := s.Clock.Now()
	if until := s.clearedUntil(print); until != 0 && now-until < TrialWait {
		return true // the process that asks hasn't heard of it
	}
	if rec == nil || rec.count() < enoughEnds(print) || now-s.startedAt < unprovenTrialGap {
		return false
	}
	gap := unprovenTrialGap
	if rec.trials >= maxTrials || now-s.startedAt < TrialWait { // it may have granted others before it started
		gap = TrialWait
	}
	if rec.trials >= maxUnprovenTrials || (rec.trials > 0 && now-rec.triedAt < gap) {
		return false
	}
	rec.trials++
	rec.triedAt = now
	return true
}
