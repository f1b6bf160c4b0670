// Package roster selects the witnesses of an idempotency key and the quorum of them
// that must grant it.
//
// Membership changes constantly: instances are replaced, instance lists lag, and
// partitioned processes keep an old configuration. If two agents selected witnesses
// from their own instance lists, each could reach a quorum, and the key would run
// twice. The members are therefore slots, which are published with the configuration,
// and a replacement process takes over the name of its slot. A roster covers keys
// issued from Since until Until, and no two rosters overlap. A process that lacks the
// newer roster refuses its keys rather than asking the members of the older one,
// however long the configuration service is down or stale.
//
// Five of seven witnesses must grant a key. Two quorums share at least three slots,
// so up to two slots may have two processes at once: an old one, paused or
// partitioned, and its successor. With four data centres, none holds more than two
// of a key's seven witnesses. If one data centre is lost, five remain; if it is
// partitioned and restarted elsewhere, only two slots have two processes.
package roster

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// SetSize is the number of witnesses of a key, if the roster has that many members.
const SetSize = 7

// Set is the witnesses of one key.
type Set struct {
	// Members are distinct slots.
	Members []string
	// Quorum is the number of members that must grant the key, more than half.
	Quorum int
}

// Quorum returns how many of n witnesses must grant a key: five of seven, four of
// five, three of four. For n > 1 two quorums share at least two slots, so one slot
// with two processes is tolerated at any size.
func Quorum(n int) int { return min(n, (n+3)/2) }

// WitnessesFor returns the witnesses of a key issued at the given time, or false if
// no known roster covers that time.
func WitnessesFor(rosters []magno.Roster, key string, at magno.Millis) (Set, bool) {
	for _, r := range rosters {
		if r.Since <= at && at < r.Until && len(r.Members) > 0 {
			members := selectMembers(r, key)
			return Set{Members: members, Quorum: Quorum(len(members))}, true
		}
	}
	return Set{}, false
}

// candidate is a member with its rendezvous hash weight for one key.
type candidate struct {
	name, dataCentre string
	weight           uint64
}

// ranksBefore orders candidates by descending weight, then by name.
func (c candidate) ranksBefore(other candidate) bool {
	if c.weight != other.weight {
		return c.weight > other.weight
	}
	return c.name < other.name
}

// selectMembers returns the members with the highest rendezvous weights. It limits
// the number in each data centre as long as other data centres have members left.
func selectMembers(r magno.Roster, key string) []string {
	byDataCentre := topByDataCentre(r, key)
	all := make([]candidate, 0, len(byDataCentre)*SetSize)
	for _, top := range byDataCentre {
		all = append(all, top...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ranksBefore(all[j]) })
	n := min(SetSize, len(all))
	limit := max(n-Quorum(n), (n+len(byDataCentre)-1)/len(byDataCentre))
	members := make([]string, 0, n)
	taken := make(map[string]int, len(byDataCentre))
	var spare []string
	for _, m := range all {
		switch {
		case len(members) == n:
			return members
		case taken[m.dataCentre] == limit:
			spare = append(spare, m.name)
			continue
		}
		taken[m.dataCentre]++
		members = append(members, m.name)
	}
	return append(members, spare[:min(len(spare), n-len(members))]...)
}

// topByDataCentre returns the members of each data centre with the highest weights,
// at most SetSize of each. No more are ever selected, so large rosters aren't
// sorted as a whole.
func topByDataCentre(r magno.Roster, key string) map[string][]candidate {
	byDataCentre := make(map[string][]candidate, 8)
	seed := xxhash.Sum64String(key)
	for _, name := range r.Members {
		m := candidate{name, r.DataCentres[name], mix(xxhash.Sum64String(name) ^ seed)}
		top := byDataCentre[m.dataCentre]
		if len(top) == SetSize && !m.ranksBefore(top[SetSize-1]) {
			continue
		}
		if len(top) < SetSize {
			top = append(top, m)
		}
		i := len(top) - 1
		for ; i > 0 && m.ranksBefore(top[i-1]); i-- {
			top[i] = top[i-1]
		}
		top[i] = m
		byDataCentre[m.dataCentre] = top
	}
	return byDataCentre
}

// mix spreads the bits of x like the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Validate checks the rosters of a configuration.
func Validate(rosters []magno.Roster) error {
	for i, r := range rosters {
		if len(r.Members) == 0 {
			return errors.Newf("rosters[%d].members is empty", i)
		}
		if r.Until <= r.Since {
			return errors.Newf("rosters[%d].until is not after since", i)
		}
		if i > 0 && r.Since < rosters[i-1].Until {
			return errors.Newf("rosters[%d].since is before the until of the previous roster", i)
		}
		seen := map[string]bool{}
		for _, m := range r.Members {
			if m == "" || seen[m] {
				return errors.Newf("rosters[%d].members has %q more than once or empty", i, m)
			}
			seen[m] = true
		}
	}
	return nil
}

// ValidateSuccessor checks that next may replace old. Processes may keep old for
// days, so a period that it covers must keep its members; only Until may be moved
// later. Rosters that ended by endedBy may be removed.
func ValidateSuccessor(old, next []magno.Roster, endedBy magno.Millis) error {
	if err := Validate(next); err != nil {
		return err
	}
	for _, o := range old {
		if o.Until <= endedBy {
			continue
		}
		if err := validateKept(o, next); err != nil {
			return err
		}
	}
	return nil
}

// validateKept checks that next covers the whole published roster with the same
// members.
func validateKept(published magno.Roster, next []magno.Roster) error {
	for _, n := range next {
		if n.Since == published.Since {
			if n.Until < published.Until {
				return errors.Newf("the roster since %d ends earlier than in the published configuration", published.Since)
			}
			if !sameMembers(published, n) {
				return errors.Newf("the roster since %d changes its members before it ends", published.Since)
			}
			return nil
		}
	}
	return errors.Newf("the roster since %d was removed before it ended", published.Since)
}

// sameMembers reports whether two rosters select the same witnesses for every key.
func sameMembers(a, b magno.Roster) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for _, m := range a.Members {
		found := false
		for _, n := range b.Members {
			found = found || m == n
		}
		if !found || a.DataCentres[m] != b.DataCentres[m] {
			return false
		}
	}
	return true
}
