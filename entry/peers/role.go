package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/grant"
)

// Able notes whether the list answers this process.
func (p *Peers) SetListReachable(able bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.able && !able {
		p.tried = p.Clock.Now()
	}
	p.able = able
}

// Mine tells whether this process is to read the list: it is among the first
// in an order that all compute alike, of those that the list answers, or nobody
// has told it anything for too long.
//
// Load pattern: the readers are lost, or the list turns them away, and all others
// notice within the same tenth of a second. Were all of them to read and to tell all
// others, a fleet of n entries would send n times n times the configuration, and fill
// the links of small machines while callers' requests wait behind it. So they step in
// one after the other, and the first tells the rest. While the list is away for all,
// the later ones ask it less often, so that few find out at once that it is back. And when
// a fleet starts, each entry knows nobody who is to read rather than it: but for the seeds,
// none follows the list until it had time to meet the others.
func (p *Peers) ShouldRead() bool {
	if p.Book.Current().Plan == nil {
		return true
	}
	age, now := p.Book.Age(), p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.before(func(h *Hello) bool { return h.ListReachable })
	stale := age > staleAge+min(stepIn*magno.Millis(max(before-Readers, 0)), stepMost)
	if p.able {
		young := now-p.since < meetTime && len(p.Seeds) > 0 && !slices.Contains(p.Seeds, p.Addr)
		return stale || (before < Readers && !young)
	}
	pause := tryEvery // somebody else reads
	if stale {
		pause = min(tryStep*magno.Millis(p.before(anyone)), tryEvery)
	}
	if now-p.tried < pause {
		return false
	}
	p.tried = now
	return true
}

// holdBack is how long this process waits before it tells others what it read: one
// that reads only because it heard nothing leaves that to those before it.
func (p *Peers) holdBack() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(stepIn*magno.Millis(max(p.before(anyone)-Readers+1, 0)), stepMost)
}

// toldBy tells whether another process told the changes up to a revision.
func (p *Peers) toldBy(revision int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told >= revision
}

func anyone(*Hello) bool { return true }

// before counts the entries that are to read the list rather than this one, of those
// that count. The caller holds mu.
func (p *Peers) before(counts func(*Hello) bool) int {
	n, mine := 0, p.standing()
	for _, k := range p.known {
		if k.alive && counts(&k.hello) && compare(k.standing, mine) < 0 {
			n++
		}
	}
	return n
}

func (p *Peers) leaving() bool { return p.Leaving != nil && p.Leaving() }

// standing is what an entry's place among the others hangs on.
type standing struct {
	addr, name string
	// hash is the name's.
	hash    uint64
	link    float64
	leaving bool
}

func (h *Hello) standing() standing {
	return standing{addr: h.Addr, name: h.Name, hash: xxhash.Sum64String(h.Name), link: h.LinkMbps, leaving: h.Leaving}
}

// standing is this entry's own.
func (p *Peers) standing() standing {
	h := Hello{Name: p.Self, Addr: p.Addr, LinkMbps: p.LinkMbps, Leaving: p.leaving()}
	return h.standing()
}

// compare orders entries as readers: those that stop are the last, then by the bandwidth
// of their machines, then by hash. A reader tells each change to all others: with a narrow
// link, its callers' requests wait behind that, and are sent on after their callers have
// left.
func compare(a, b standing) int {
	switch {
	case a.leaving != b.leaving && b.leaving:
		return -1
	case a.leaving != b.leaving:
		return 1
	}
	return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(b.hash, a.hash), cmp.Compare(b.name, a.name))
}

// Processes counts the entries that share the retry allowance, this one
// included: those that may be, and at least as many as there are seeds.
func (p *Peers) Processes() int {
	_, known := p.Count()
	return max(known, len(p.Seeds))
}

// Mates lists the addresses of the entries of this data centre that are alive, this one's
// among them, in the order of readers.
func (p *Peers) DataCentreEntries() []string {
	return p.ordered(func(h *Hello) bool { return h.DataCentre == p.DataCentre })
}

// ordered lists the addresses of the entries that are alive and count, this one's among
// them, in the order of readers.
func (p *Peers) ordered(counts func(*Hello) bool) []string {
	p.mu.Lock()
	list := []standing{p.standing()}
	for _, k := range p.known {
		if k.alive && counts(&k.hello) {
			list = append(list, k.standing)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(list, compare)
	addrs := make([]string, 0, len(list))
	for _, s := range list {
		addrs = append(addrs, s.addr)
	}
	return addrs
}

// Homes lists the entries that count a customer's allowance, this one perhaps among
// them: the first does, the next where that one can't be reached. They are among those
// with the widest links, which change least.
func (p *Peers) Homes(customer string) []string {
	addrs := p.ordered(anyone)
	return grant.SortHomes(customer, addrs[:min(len(addrs), mostHomes)])
}

// Count tells how many entries are alive, this one included, and how many may be: those
// that it heard of of late, and that don't refuse connections. One that has just started
// and met nobody takes it that there are many: all may have started, and none knows yet
// what the others grant.
func (p *Peers) Count() (alive, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive, known = 1, 1
	now := p.Clock.Now()
	for _, k := range p.known {
		if k.alive {
			alive++
		}
		if now-max(k.seen, k.learned) < seenFor && !k.ended {
			known++
		}
	}
	if !p.met() && now-p.since < meetTime {
		known = max(known, unmet)
	}
	return alive, known
}
