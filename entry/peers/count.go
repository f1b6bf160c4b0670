package peers

import (
	"slices"

	"magnoliastall.example/magno"
)

// An entry takes a part of what all entries share: customers' limits, retry budgets, the limits of
// upstreams. How many others there are it can only infer:
//
//	seeds ----> contact: how sure this entry is to be in touch with the fleet
//	hellos ---> known: the entries that are alive, and those that are out of reach
//	                 |
//	                 '--> Count, Part: what this entry may grant and retry
//
// Load pattern: entries start with seeds that are out of date, before a partition heals, or wake up
// after all others were replaced. Each of them finds nobody. If it took itself for the whole fleet,
// the entries would grant a limit as many times as there are of them.

const (
	// memberTTL is how long a peer that was alive still counts among those that share a
	// limit: it may be unreachable from here only.
	memberTTL = 30 * magno.Second
	// partitionTTL is how long peers count that are out of reach if they aren't fewer than those
	// within reach. Partitions of regions last for minutes.
	partitionTTL = magno.Hour
	// discoveryTime is how long an entry that has met no other assumes that assumedEntries
	// exist. Until it meets one it looks for peers every discoveryInterval.
	discoveryTime     = 2 * magno.Second
	discoveryInterval = 100 * magno.Millis(1)
	assumedEntries    = 16
	// unknownEntries is the number of entries if it can't be known: more than any fleet has.
	unknownEntries = 1 << 20
	// soleTime is how long an entry that lost all others at the same time still takes itself
	// for the fleet. Processes restart within this time.
	soleTime = 10 * magno.Second
)

// contact says how sure an entry is to be in touch with the fleet.
type contact int

const (
	// contactNone: no other entry is known, and no seed is known to be right.
	contactNone contact = iota
	// contactCut: all others are out of reach, but it is known how many there were.
	contactCut
	// contactMinor: less than half of the seeds are on this side of a partition.
	contactMinor
	// contactHalf: half of the seeds are on this side of a partition.
	contactHalf
	// contactFleet: this entry is part of the fleet, or alone by right.
	contactFleet
)

// String returns the name that logs use.
func (c contact) String() string {
	return [...]string{"none", "cut", "minor", "half", "fleet"}[c]
}

// contact returns how sure this entry is to be in touch with the fleet. The caller holds mu.
//
// More than half of the seeds are on one side of a partition at most. A seed whose machine refuses
// connections is on no side: no entry runs there, whether it ended or the seed is out of date. So an
// entry is alone by right if it is a seed itself and the others refuse connections, or are silent for
// longer than partitions last.
func (p *Peers) contact(t tally) contact {
	now := p.Clock.Now()
	if !p.expectsOthers() || (p.joined && (t.alive > 1 || now-p.contactAt < soleTime)) {
		return contactFleet
	}
	met, silent := 0, 0
	for _, addr := range p.Seeds {
		switch k := p.known[addr]; {
		case addr == p.Addr || (k != nil && k.alive):
			met++
		case k != nil && !k.refused && now-max(k.lostAt, k.learnedAt) < partitionTTL:
			silent++
		}
	}
	switch {
	case met > silent:
		return contactFleet
	case met > 0 && met == silent:
		return contactHalf
	case met > 0:
		return contactMinor
	case p.joined && t.sharing+t.silent > 1:
		return contactCut
	}
	return contactNone
}

// updateContact records the contact to the fleet, and logs it if it has changed.
func (p *Peers) updateContact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	if p.discoveringOthers() {
		return
	}
	t := p.tally(0)
	c := p.contact(t)
	p.joined = c == contactFleet || (p.joined && c != contactNone)
	if c == p.loggedContact {
		return
	}
	p.loggedContact = c
	p.Log.Info("fleet", "contact", c.String(), "alive", t.alive, "sharing", t.sharing, "silent", t.silent, "seeds", len(p.Seeds))
}

// SetSeeds replaces the seeds, which the platform may put right at any time. New ones are contacted at
// once. An empty list is ignored: without seeds this entry would be alone by right.
func (p *Peers) SetSeeds(seeds []string) {
	if len(seeds) == 0 {
		return
	}
	p.mu.Lock()
	for _, addr := range p.Seeds {
		if k := p.known[addr]; k != nil && k.seenAt == 0 && !slices.Contains(seeds, addr) {
			delete(p.known, addr) // no entry is known to run there
		}
	}
	p.Seeds = slices.Clone(seeds)
	p.mu.Unlock()
	p.addAddrs(seeds)
}

// expectsOthers reports whether the seeds name another entry. The caller holds mu.
func (p *Peers) expectsOthers() bool {
	return slices.ContainsFunc(p.Seeds, func(addr string) bool { return addr != p.Addr })
}

// discoveringOthers reports whether this entry has just started and met no other. The caller holds mu.
func (p *Peers) discoveringOthers() bool {
	return !p.hasMet() && p.Clock.Now()-p.startedAt < discoveryTime
}

// tally is a count of entries.
type tally struct {
	// alive is the number of those that are alive, sharing includes those that share a budget, and
	// silent is the number of further ones that may be beyond a partition. This entry counts in the
	// first two.
	alive, sharing, silent int
	// reported is the total of the entry that has run longest, zero if that is this one. An entry that
	// started within a partition never met those beyond it.
	reported int
}

// total returns the number of entries as of the last time that all were within reach.
func (t *tally) total() int { return max(t.sharing+t.silent, t.reported) }

// tally counts the entries that share a budget which counts over the window. The caller holds mu.
func (p *Peers) tally(window magno.Millis) tally {
	t := tally{alive: 1, sharing: 1}
	now := p.Clock.Now()
	oldest := now - p.startedAt
	for _, k := range p.known {
		switch {
		case k.alive:
			t.alive++
			t.sharing++
			if k.hello.Uptime > oldest {
				oldest, t.reported = k.hello.Uptime, k.hello.Total
			}
		case k.counts(now, window):
			t.sharing++
		case k.isSilent(now):
			t.silent++
		}
	}
	return t
}

// Count returns how many entries are alive, this one included, and how many may be.
//
// What all sides of a partition grant together stays within a limit and the quarter by which a side
// may exceed its share: the side with more than half of the entries forgets the others after
// memberTTL and grants all, any other side then grants half of its share.
func (p *Peers) Count() (alive, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tally(0)
	known = t.sharing
	switch total := t.total(); {
	case 2*t.alive > total || total == known:
	case 2*t.alive == total:
		known = total
	default:
		known = 2 * total
	}
	if p.discoveringOthers() {
		return t.alive, max(known, assumedEntries)
	}
	switch p.contact(t) {
	case contactNone:
		known = unknownEntries
	case contactCut: // those that refuse connections may have been replaced
		known = max(known, 2*(len(p.known)+1))
	case contactMinor: // half of the share of a seed
		known = max(known, 2*len(p.Seeds)*t.alive)
	case contactHalf:
		known = max(known, 2*t.alive)
	case contactFleet:
	}
	return t.alive, known
}

// counts reports whether a peer shares a budget that counts over the window: it is alive, may be
// alive beyond a partition, or was until recently and what it spent still counts.
func (k *peer) counts(now, window magno.Millis) bool {
	gone := now - max(k.lostAt, k.learnedAt)
	switch {
	case k.alive:
		return true
	case k.refused:
		return gone < window
	}
	return gone < max(window, memberTTL)
}

// isSilent reports whether a peer that was alive may be beyond a partition.
func (k *peer) isSilent(now magno.Millis) bool {
	return !k.alive && !k.refused && !k.forgotten && k.seenAt > 0 && now-k.lostAt < partitionTTL
}

// forget ends the counting of peers that are out of reach for memberTTL, if they are fewer than those
// within reach: later losses are compared with what is left. The caller holds mu.
func (p *Peers) forget() {
	if t := p.tally(0); t.silent == 0 || 2*t.alive <= t.total() {
		return
	}
	now := p.Clock.Now()
	for _, k := range p.known {
		if !k.counts(now, 0) && k.isSilent(now) {
			k.forgotten = true
		}
	}
}

// Processes returns the number of entries that share a budget, this one included: those that
// may be alive or have spent within the window, and at least as many as there are seeds.
func (p *Peers) Processes(window magno.Millis) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processes(window)
}

// processes does the work of Processes. An entry that has just started and met no other assumes that
// there are many: all of them may have started, and none knows yet what the others grant. The caller
// holds mu.
func (p *Peers) processes(window magno.Millis) int {
	n := p.tally(window).sharing
	if p.discoveringOthers() {
		n = max(n, assumedEntries)
	}
	return max(n, len(p.Seeds))
}

// Part returns this entry's part of a budget that all entries share, from 0 to 1.
//
// Load pattern: partitions last for minutes, and entries that start within one know only those on
// their side. If each side divided the whole budget among its entries, all sides together would
// spend it several times. So each seed carries an equal part, which the entries on its side share;
// a seed whose machine refuses connections counts on every side. An entry without any contact has
// no part.
func (p *Peers) Part(window magno.Millis) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.discoveringOthers() && p.contact(p.tally(window)) == contactNone {
		return 0
	}
	return p.seedShare() / float64(p.processes(window))
}

// seedShare returns the share of the seeds that are on this side of a partition, 1 if there are
// none. The caller holds mu.
func (p *Peers) seedShare() float64 {
	if len(p.Seeds) == 0 {
		return 1
	}
	n := 0
	for _, addr := range p.Seeds {
		if k := p.known[addr]; addr == p.Addr || (k != nil && (k.alive || k.refused)) {
			n++
		}
	}
	return float64(n) / float64(len(p.Seeds))
}
