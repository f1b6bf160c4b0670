// Package roster says which witnesses a key has and how many must grant it.
//
// The load is membership that changes all day: instances are replaced, lists
// lag, parts are cut off with an old configuration. Two homes that took the
// witnesses of a key from lists of their own could each find a quorum and run
// the key twice. So the members are slots, published with the configuration,
// and a replaced process keeps its slot's name. A roster covers keys issued
// from its Since until its Until, and no two cover the same time: whoever
// lacks the newer one refuses its keys instead of asking the older one's
// members, however long the configuration service is down or stale.
//
// Of seven witnesses five must grant. Two quorums share three slots, so up to
// two slots may have two processes at once, an old one paused or cut off and
// its successor. With four data centres none holds more than two of a key's
// seven, so that one lost leaves five, and one cut off and started anew
// elsewhere doubles no more than two.
package roster

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// SetSize is the number of witnesses of a key where the roster has so many.
const SetSize = 7

// Set is the witnesses of one key.
type Set struct {
	// Members are slots, no two the same.
	Members []string
	// Quorum is how many must grant the key, more than half of Members.
	Quorum int
}

// Quorum returns how many of n witnesses must grant a key: of seven five, of
// five four, of four three. Two quorums share at least two slots where n is
// over one, so one doubled slot is survived at any size.
func Quorum(n int) int { return min(n, (n+3)/2) }

// WitnessesFor returns the witnesses of a key that was issued at the time at; false
// means that no roster known here covers it.
func WitnessesFor(rosters []magno.Roster, key string, at magno.Millis) (Set, bool) {
	for _, r := range rosters {
		if r.Since <= at && at < r.Until && len(r.Members) > 0 {
			members := pick(r, key)
			return Set{Members: members, Quorum: Quorum(len(members))}, true
		}
	}
	return Set{}, false
}

// ranked is a member with its rendezvous weight for one key.
type ranked struct {
	name, place string
	weight      uint64
}

// before puts the heaviest first.
func (r ranked) before(o ranked) bool {
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.name < o.name
}

// pick returns the first members in rendezvous order, with a limit on those in
// one data centre where others can take their place.
func pick(r magno.Roster, key string) []string {
	tops := tops(r, key)
	all := make([]ranked, 0, len(tops)*SetSize)
	for _, top := range tops {
		all = append(all, top...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].before(all[j]) })
	n := min(SetSize, len(all))
	limit := max(n-Quorum(n), (n+len(tops)-1)/len(tops))
	members := make([]string, 0, n)
	taken := make(map[string]int, len(tops))
	var spare []string
	for _, m := range all {
		switch {
		case len(members) == n:
			return members
		case taken[m.place] == limit:
			spare = append(spare, m.name)
			continue
		}
		taken[m.place]++
		members = append(members, m.name)
	}
	return append(members, spare[:min(len(spare), n-len(members))]...)
}

// tops returns the first members of each data centre in rendezvous order. More
// than Width of one are never needed, so a large roster needs no sorting.
func tops(r magno.Roster, key string) map[string][]ranked {
	tops := make(map[string][]ranked, 8)
	seed := xxhash.Sum64String(key)
	for _, name := range r.Members {
		m := ranked{name, r.Places[name], mix(xxhash.Sum64String(name) ^ seed)}
		top := tops[m.place]
		if len(top) == SetSize && !m.before(top[SetSize-1]) {
			continue
		}
		if len(top) < SetSize {
			top = append(top, m)
		}
		i := len(top) - 1
		for ; i > 0 && m.before(top[i-1]); i-- {
			top[i] = top[i-1]
		}
		top[i] = m
		tops[m.place] = top
	}
	return tops
}

// mix spreads the bits of x, as the finaliser of splitmix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Validate returns what is wrong with a configuration's rosters, nil when they
// are sound.
func Validate(rosters []magno.Roster) error {
	for i, r := range rosters {
		if len(r.Members) == 0 {
			return errors.Newf("rosters[%d].members is empty", i)
		}
		if r.Until <= r.Since {
			return errors.Newf("rosters[%d].until is not after since", i)
		}
		if i > 0 && r.Since < rosters[i-1].Until {
			return errors.Newf("rosters[%d].since lies before the until of the one before", i)
		}
		seen := map[string]bool{}
		for _, m := range r.Members {
			if m == "" || seen[m] {
				return errors.Newf("rosters[%d].members names %q twice or empty", i, m)
			}
			seen[m] = true
		}
	}
	return nil
}

// ValidateSuccessor returns why next may not be put in force after old, nil when it may.
// A process may hold old for days, so a time that it covers must keep its
// members; only an Until may move ahead. Rosters that ended before the time
// past are free to go.
func ValidateSuccessor(old, next []magno.Roster, past magno.Millis) error {
	if err := Validate(next); err != nil {
		return err
	}
	for _, o := range old {
		if o.Until <= past {
			continue
		}
		if err := kept(o, next); err != nil {
			return err
		}
	}
	return nil
}

// kept returns an error unless next covers the whole of o with o's members.
func kept(o magno.Roster, next []magno.Roster) error {
	for _, n := range next {
		if n.Since == o.Since {
			if n.Until < o.Until {
				return errors.Newf("the roster since %d ends earlier than published", o.Since)
			}
			if !same(o, n) {
				return errors.Newf("the roster since %d changes its members before its until", o.Since)
			}
			return nil
		}
	}
	return errors.Newf("the roster since %d is missing and hasn't ended", o.Since)
}

// same tells whether two rosters give each key the same witnesses.
func same(a, b magno.Roster) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for _, m := range a.Members {
		found := false
		for _, n := range b.Members {
			found = found || m == n
		}
		if !found || a.Places[m] != b.Places[m] {
			return false
		}
	}
	return true
}
