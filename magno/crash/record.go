package crash

import (
	"slices"

	"magnoliastall.example/magno"
)

// record is a Record as this process keeps it.
type record struct {
	// generation and clearedAt are as in Record.
	generation uint32
	clearedAt  magno.Millis
	// ends holds at most maxEnds that count and maxEnds that it was cleared of. The latter tell whether a
	// pool is failing, and aren't sent to others.
	ends []end
	// changedAt is the time of the last change known here, announcedAt that of the last one to be sent to
	// peers.
	changedAt, announcedAt magno.Millis
	// witnessed is true if this process itself saw one of the ends or a completion.
	witnessed bool
	// trials counts the trials that this process granted in this generation, the last one at triedAt.
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
	last, n := r.evictionIndex(e.cleared)
	switch {
	case n < maxEnds:
		r.ends = append(r.ends, e)
		return !e.cleared
	case !e.cleared && r.opensMoment(e.at):
		r.ends[r.crowdedIndex()] = e
		return true
	case e.cleared || e.upstream < r.ends[last].upstream:
		r.ends[last] = e
	}
	return false
}

// opensMoment reports whether an end at a time is at a further moment, of which there are too few for a verdict.
func (r *record) opensMoment(at magno.Millis) bool {
	if slices.ContainsFunc(r.ends, func(e end) bool { return !e.cleared && max(e.at-at, at-e.at) < momentGap }) {
		return false
	}
	return moments(r.times()) < partMoments
}

// crowdedIndex returns which of the ends that count gives way to one at a further moment: one that came within
// momentGap of another.
func (r *record) crowdedIndex() (at int) {
	for i := range r.ends {
		for k := range i {
			if d := r.ends[i].at - r.ends[k].at; !r.ends[i].cleared && !r.ends[k].cleared && max(d, -d) < momentGap {
				return i
			}
		}
	}
	last, _ := r.evictionIndex(false)
	return last
}

// times returns the times of the ends that count.
func (r *record) times() []magno.Millis {
	var list []magno.Millis
	for i := range r.ends {
		if !r.ends[i].cleared {
			list = append(list, r.ends[i].at)
		}
	}
	return list
}

// evictionIndex returns which of the ends that count, or of the cleared ones, gives way to another, and their
// number. Of the cleared ones it is the first that became known. Of the others it is the one with the highest
// hash, so that all processes keep the same.
func (r *record) evictionIndex(cleared bool) (at, n int) {
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
	for last, n := r.evictionIndex(true); n > maxEnds; last, n = r.evictionIndex(true) {
		r.ends = slices.Delete(r.ends, last, last+1)
	}
	return cleared
}

// beginGeneration begins a generation, with the ends that came after the completion. It reports whether that cleared
// any.
func (r *record) beginGeneration(generation uint32, clearedAt magno.Millis) (changed bool) {
	r.generation, r.clearedAt, r.trials = generation, clearedAt, 0
	return len(r.clear(func(e *end) bool { return e.at <= clearedAt })) > 0
}

// export returns the record as it is sent to others.
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
