package crash

import "magnoliastall.example/magno"

// intervalMargin is how much earlier or later than the ends under a request others count as of the
// same period. Processes learn of one failure of many upstreams over about this time.
const intervalMargin = 2 * magno.Second

// MustRefuse reports whether upstreams end because of the request, so that it must not run.
//
// Load pattern: upstreams are killed over and over, or all at once, and callers send again what ran
// there. A request that was there by chance is told from the cause in three ways: it completes at
// times (Clear), other requests that ran there have more ends, or upstreams of the pool end that
// didn't run it.
func (s *Suspects) MustRefuse(fingerprint uint64) bool {
	n := s.Count(fingerprint)
	if n == 0 || (n < refuseEnds && (s.HoldEnds == 0 || n < s.HoldEnds)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.get(fingerprint)
	if rec == nil {
		return false
	}
	own, pool := s.ownEnds(fingerprint, rec)
	if s.HoldEnds > 0 && own >= s.HoldEnds && s.Clock.Now()-rec.lastEnd() < holdTime {
		return true
	}
	if own < refuseEnds {
		return false
	}
	size := 1
	if s.PoolSize != nil {
		size = max(s.PoolSize(pool), 1)
	}
	return s.otherEnds(rec, pool) < size*(own-refuseEnds+1)
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

// ownEnds returns the number of ends under a request that no other request explains as well, and
// the pool of the last. If two requests always ran together, both are the cause once there are
// more than refuseEnds. The caller holds mu.
func (s *Suspects) ownEnds(fingerprint uint64, rec *record) (own int, pool uint64) {
	count := rec.count()
	rivals := s.rivalCounts(fingerprint, rec)
	for _, e := range rec.ends {
		if e.cleared {
			continue
		}
		pool = e.pool
		rival := rivals[e.upstream]
		if rival < count || (rival == count && count > refuseEnds) {
			own++
		}
	}
	return own, pool
}

// rivalCounts maps the upstreams that ended under a request to the largest count among the other
// requests that ran there. The caller holds mu.
func (s *Suspects) rivalCounts(fingerprint uint64, rec *record) map[uint64]int {
	counts := make(map[uint64]int, len(rec.ends))
	for _, print := range s.records.Keys() {
		if print == fingerprint {
			continue
		}
		other, _ := s.records.Peek(print)
		for _, e := range other.ends {
			if !e.cleared && rec.find(e.upstream) != nil {
				counts[e.upstream] = max(counts[e.upstream], other.count())
			}
		}
	}
	return counts
}

// otherEnds returns the number of upstreams of a pool that ended in the period of a request's ends,
// that didn't run it, and that ran no request with refuseEnds ends either. The caller holds mu.
//
// Load pattern: two requests end the upstreams of one pool at the same time. Until the second has
// refuseEnds ends too, its upstreams would look as if the pool were failing anyway, and the first would
// be sent on. So the ends under one further request that has several don't count.
func (s *Suspects) otherEnds(rec *record, pool uint64) int {
	from, to := rec.period()
	// unexplained maps the upstreams to whether none of their requests explains their end.
	unexplained := map[uint64]bool{}
	for _, other := range s.records.Values() {
		suspicious := other.count() >= refuseEnds
		for _, e := range other.ends {
			if e.pool != pool || e.at < from-intervalMargin || e.at > to+intervalMargin || rec.find(e.upstream) != nil {
				continue
			}
			before, known := unexplained[e.upstream]
			explained := suspicious && !e.cleared
			unexplained[e.upstream] = (before || !known) && !explained
		}
	}
	n := 0
	for _, counts := range unexplained {
		if counts {
			n++
		}
	}
	if second := s.mostEnds(unexplained); second >= seriousEnds {
		n -= second
	}
	return n
}

// mostEnds returns the largest number of the given upstreams that ended under one request. The caller
// holds mu.
func (s *Suspects) mostEnds(upstreams map[uint64]bool) int {
	most := 0
	for _, rec := range s.records.Values() {
		n := 0
		for _, e := range rec.ends {
			if !e.cleared && upstreams[e.upstream] {
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
