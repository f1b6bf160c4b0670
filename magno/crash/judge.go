package crash

import (
	"slices"

	"magnoliastall.example/magno"
)

// intervalMargin is how much earlier or later than the ends under a request others count as of the
// same period. Processes learn of one failure of many upstreams over about this time.
const intervalMargin = 2 * magno.Second

// MustRefuse reports whether upstreams end because of the request, so that it must not run.
func (s *Suspects) MustRefuse(fingerprint uint64) bool { return s.Refused(fingerprint) != 0 }

// Refused returns the one of a request's fingerprints, its own and those of its parts, because of which
// upstreams end, so that the request must not run. It returns zero if there is none.
//
// Load pattern: upstreams are killed over and over, or all at once, and callers send again what ran
// there. What was there by chance is told from the cause in three ways: it completes at times (Clear),
// something else that ran there has as many ends, or upstreams of the pool end that didn't run it. What
// the request itself carries is no excuse: a part that always came with the one that ends upstreams is
// explained by that for the requests without it.
func (s *Suspects) Refused(prints ...uint64) uint64 {
	causes, _ := s.Judge(prints...)
	if len(causes) == 0 {
		return 0
	}
	return causes[0]
}

// Judge returns the fingerprints of a request because of which upstreams end, and those that may be the cause. Requests
// with one of the latter must run one at a time, each with the grant of one process for all (GrantUnproven).
//
// Load pattern: many requests with a part that ends upstreams come at once. All upstreams of a pool end within a
// moment, as they do when the pool fails. Until they are back no end can tell the two apart, and then all that wait
// would end them again. Or a request ends upstreams of a pool that fails all the while, and is never told from what
// runs there.
func (s *Suspects) Judge(prints ...uint64) (causes, unproven []uint64) {
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, print := range prints {
		if print == 0 {
			continue
		}
		switch v := s.verdictOn(print, prints); {
		case v.cause:
			causes = append(causes, print)
		case v.unprovenFrom != 0 && now >= v.unprovenFrom:
			unproven = append(unproven, print)
		}
	}
	return causes, unproven
}

// verdictOn returns whether upstreams end because of one of the fingerprints of a request. The caller
// holds mu.
func (s *Suspects) verdictOn(print uint64, carried []uint64) verdict {
	rec := s.get(print)
	if rec == nil {
		return verdict{}
	}
	n := rec.count()
	if n == 0 || (n < enoughEnds(print) && (s.HoldEnds == 0 || n < s.HoldEnds)) {
		return verdict{}
	}
	if s.HoldEnds > 0 {
		return s.judge(print, rec, carried) // holdTime passes
	}
	now, key := s.Clock.Now(), s.verdictKey(carried)
	if v := &rec.verdict; v.changes != s.changes || v.carried != key || now-v.at > verdictTTL {
		*v = s.judge(print, rec, carried)
		v.carried, v.changes, v.at = key, s.changes, now
	}
	return rec.verdict
}

// enoughEnds returns the number of ends from which a request or part is refused.
func enoughEnds(print uint64) int {
	if isPart(print) {
		return partRefuseEnds
	}
	return refuseEnds
}

// verdictTTL is how long a verdict is used while no record changes: records expire, and pools change.
const verdictTTL = magno.Second

// verdict is whether upstreams end because of a request or part.
//
// Load pattern: requests that are refused come again and again, and judging one takes a look at all
// records.
type verdict struct {
	cause bool
	// unprovenFrom is the time from which on it may be the cause, though that is unproven, zero if it isn't.
	unprovenFrom magno.Millis
	// carried and changes identify what it was judged by.
	carried uint64
	changes int64
	at      magno.Millis
}

// verdictKey identifies those of a request's fingerprints that have records. The caller holds mu.
func (s *Suspects) verdictKey(carried []uint64) (key uint64) {
	for _, print := range carried {
		if s.records.Contains(print) {
			key = key*31 + print
		}
	}
	return key
}

// judge is verdictOn for a record with enough ends. The caller holds mu.
func (s *Suspects) judge(print uint64, rec *record, carried []uint64) verdict {
	ownEnds, pool := s.ownEnds(print, rec, carried)
	if isPart(print) {
		return judgePart(s.notCoincident(rec, ownEnds, pool))
	}
	own := len(ownEnds)
	if s.HoldEnds > 0 && own >= s.HoldEnds && s.Clock.Now()-rec.lastEnd() < holdTime {
		return verdict{cause: true}
	}
	if own < refuseEnds {
		return verdict{}
	}
	size := 1
	if s.PoolSize != nil {
		size = max(s.PoolSize(pool), 1)
	}
	if s.otherEnds(rec, pool) < size*(own-refuseEnds+1) {
		return verdict{cause: true}
	}
	return inDoubt(ownEnds, refuseEnds)
}

// inDoubt returns the verdict on a request or part under which enough upstreams ended, which may have another cause.
func inDoubt(own []magno.Millis, enough int) verdict {
	slices.Sort(own)
	return verdict{unprovenFrom: own[enough-1] + doubtDelay}
}

// judgePart returns the verdict on a part with these ends that nothing else explains.
func judgePart(own []magno.Millis) verdict {
	if len(own) < partRefuseEnds {
		return verdict{}
	}
	if moments(own) >= partMoments {
		return verdict{cause: true}
	}
	return inDoubt(own, partRefuseEnds)
}

// Evidence returns how many of the ends under a request or part nothing else explains, and at how many
// moments they came. What is carried by the same request is no explanation.
func (s *Suspects) Evidence(print uint64, carried []uint64) (own, at int) {
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(print)
	if rec == nil {
		return 0, 0
	}
	ends, pool := s.ownEnds(print, rec, carried)
	if isPart(print) {
		ends = s.notCoincident(rec, ends, pool)
	}
	return len(ends), moments(ends)
}

// Unsettled returns how long to wait before a request is held back, zero for no wait.
//
// Load pattern: a sound request ends with one upstream, completes on a second and ends with a third,
// all within moments. Ends come with the calls of entries, and are known before the completion is.
func (s *Suspects) Unsettled(fingerprint uint64) magno.Millis {
	n := s.Count(fingerprint)
	if n == 0 || s.HoldEnds == 0 || n < s.HoldEnds || n >= refuseEnds {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil {
		return 0
	}
	return max(rec.lastEnd()+settleTime-s.Clock.Now(), 0)
}

// ownEnds returns the times of the ends under a request or part that nothing explains as well which
// isn't carried along, and the pool of the last. If two requests always ran together, both are the cause
// once there are more than refuseEnds. The caller holds mu.
func (s *Suspects) ownEnds(print uint64, rec *record, carried []uint64) (own []magno.Millis, pool uint64) {
	explained := s.explainedEnds(print, rec, carried)
	for _, e := range rec.ends {
		if e.cleared {
			continue
		}
		pool = e.pool
		if !explained[e.upstream] {
			own = append(own, e.at)
		}
	}
	return own, pool
}

// explainedEnds returns the upstreams that ended under a request or part and whose end something else
// explains as well. The caller holds mu.
func (s *Suspects) explainedEnds(print uint64, rec *record, carried []uint64) map[uint64]bool {
	explained := make(map[uint64]bool, len(rec.ends))
	count := rec.count()
	for _, rival := range s.records.Keys() {
		if rival == print || slices.Contains(carried, rival) {
			continue
		}
		other, _ := s.records.Peek(rival)
		n := other.count()
		tie := n == count && (count <= refuseEnds || isPart(print) || isPart(rival))
		if n < count || (n == count && !tie) {
			continue
		}
		for _, e := range other.ends {
			if !e.cleared && rec.find(e.upstream) != nil {
				explained[e.upstream] = true
			}
		}
	}
	return explained
}

// coincidence is within how long of each other ends count as of one failure of many upstreams.
const coincidence = 500 * magno.Millis(1)

// notCoincident returns those of the own ends of a part that are not of a failure of many upstreams, most
// of which didn't run it. The caller holds mu.
//
// Load pattern: all upstreams of a pool are killed at once, again and again. A part that few requests
// have runs on some of them each time, and may not complete between.
func (s *Suspects) notCoincident(rec *record, own []magno.Millis, pool uint64) []magno.Millis {
	if len(own) < partRefuseEnds {
		return nil // the common case
	}
	from, to := rec.period()
	others := s.unexplainedEnds(rec, pool, from-coincidence, to+coincidence)
	var left []magno.Millis
	for _, at := range own {
		isNear := func(t magno.Millis) bool { return max(t-at, at-t) <= coincidence }
		near := 0
		for _, t := range others {
			if isNear(t) {
				near--
			}
		}
		for _, t := range own {
			if isNear(t) {
				near++
			}
		}
		if near >= 0 {
			left = append(left, at)
		}
	}
	return left
}

// moments returns at how many moments that are momentGap apart ends came.
func moments(ends []magno.Millis) int {
	slices.Sort(ends)
	n, last := 0, magno.Millis(0)
	for _, at := range ends {
		if n == 0 || at-last >= momentGap {
			n, last = n+1, at
		}
	}
	return n
}

// otherEnds returns the number of upstreams of a pool that ended in the period of a request's ends,
// that didn't run it, and that ran no request with refuseEnds ends either. The caller holds mu.
//
// Load pattern: two requests end the upstreams of one pool at the same time. Until the second has
// refuseEnds ends too, its upstreams would look as if the pool were failing anyway, and the first would
// be sent on. So the ends under one further request that has several don't count.
func (s *Suspects) otherEnds(rec *record, pool uint64) int {
	from, to := rec.period()
	others := s.unexplainedEnds(rec, pool, from-intervalMargin, to+intervalMargin)
	n := len(others)
	if second := s.mostEnds(others); second >= seriousEnds {
		n -= second
	}
	return n
}

// unexplainedEnds returns the upstreams of a pool that ended in a period, that didn't run a request or
// part, and that ran nothing else with refuseEnds ends either, with the times of their ends. The caller
// holds mu.
func (s *Suspects) unexplainedEnds(rec *record, pool uint64, from, to magno.Millis) map[uint64]magno.Millis {
	ends, explained := map[uint64]magno.Millis{}, map[uint64]bool{}
	for _, other := range s.records.Values() {
		suspicious := other.count() >= refuseEnds
		for _, e := range other.ends {
			if e.pool != pool || e.at < from || e.at > to || rec.find(e.upstream) != nil {
				continue
			}
			ends[e.upstream] = e.at
			if suspicious && !e.cleared {
				explained[e.upstream] = true
			}
		}
	}
	for upstream := range explained {
		delete(ends, upstream)
	}
	return ends
}

// mostEnds returns the largest number of the given upstreams that ended under one request or part. The
// caller holds mu.
func (s *Suspects) mostEnds(upstreams map[uint64]magno.Millis) int {
	most := 0
	for _, rec := range s.records.Values() {
		n := 0
		for _, e := range rec.ends {
			if _, ok := upstreams[e.upstream]; ok && !e.cleared {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// lastEnd returns the time of the last end that the request isn't cleared of.
func (r *record) lastEnd() magno.Millis {
	_, to := r.period()
	return to
}

// period returns the times of the first and the last end that the request isn't cleared of.
func (r *record) period() (from, to magno.Millis) {
	for _, e := range r.ends {
		if e.cleared {
			continue
		}
		if from == 0 || e.at < from {
			from = e.at
		}
		to = max(to, e.at)
	}
	return from, to
}
