package site

import "magnoliastall.example/magno"

// lostTTL is how long the last entry of an upstream that the list no longer names is remembered. A
// list that was restored from an older copy names it again within a few seconds.
const lostTTL = 10 * magno.Second

// lives tells whether an upstream is in the same life as when it made a statement.
type lives struct {
	clock *magno.Clock
	// last holds the last entry of each upstream, lostAt when the list no longer named it.
	last   map[string]*magno.Replica
	lostAt map[string]magno.Millis
}

// update takes the present entries of the list by their keys, and returns a function that reports
// whether what an upstream stated before still holds.
//
// Load pattern: a list that was restored lacks an upstream for longer than entries keep using what it
// lacks, and then names it again. What the upstream stated, such as a time without requests, holds on.
func (l *lives) update(listed map[string]*magno.Replica) (holds func(key string) bool) {
	now := l.clock.Now()
	same := map[string]bool{}
	if l.last == nil {
		l.last, l.lostAt = map[string]*magno.Replica{}, map[string]magno.Millis{}
	}
	for key, before := range l.last {
		if r := listed[key]; r != nil {
			same[key] = sameLife(before, r)
			continue
		}
		if l.lostAt[key] == 0 {
			l.lostAt[key] = now
		}
		same[key] = now-l.lostAt[key] < lostTTL
		if !same[key] {
			delete(l.last, key)
			delete(l.lostAt, key)
		}
	}
	for key, r := range listed {
		l.last[key] = r
		delete(l.lostAt, key)
	}
	return func(key string) bool { return same[key] }
}

// sameLife reports whether an upstream's earlier entry in the list and its present one, nil for
// none, are of the same life. One that is listed anew, or no longer as leaving, has restarted
// under its name, and what it stated before no longer holds. After a restore of the list every
// entry that was lost is listed anew, which says nothing.
func sameLife(before, now *magno.Replica) bool {
	if before == nil || now == nil || (before.Leaving && !now.Leaving) {
		return false
	}
	return before.Since == now.Since || before.Since.Era() != now.Since.Era()
}
