package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/grant"
)

// SetListReachable records whether the list answers this process.
func (p *Peers) SetListReachable(reachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listReachable && !reachable {
		p.listTriedAt = p.Clock.Now()
	}
	p.listReachable = reachable
}

// ShouldRead reports whether this process is to read the list: it is among the first
// Readers of those that can reach it, in an order that all entries compute alike, or it
// has received nothing for too long.
//
// Load pattern: when the readers fail, or the list refuses them, all other entries notice
// within 100 ms. If all of them then read and updated all others, a fleet of n entries
// would send the configuration n² times and saturate the links of small machines while
// callers' requests are queued behind it. So they take over one after the other, and the
// first updates the rest. During an outage of the list, entries of lower rank poll it less
// often, so that few detect at once that it is back. And when a fleet starts, no entry
// knows yet which others rank ahead of it: except for the seeds, none follows the list
// before discoveryTime has passed.
func (p *Peers) ShouldRead() bool {
	if p.Book.Current().Plan == nil {
		return true
	}
	age, now := p.Book.Age(), p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := p.countAhead(func(h *Hello) bool { return h.ListReachable })
	stale := age > staleAge+min(takeoverStep*magno.Millis(max(ahead-Readers, 0)), maxTakeoverDelay)
	if p.listReachable {
		return stale || (ahead < Readers && !p.discovering())
	}
	retryAfter := listRetryInterval // another entry reads
	if stale {
		retryAfter = min(listRetryStep*magno.Millis(p.countAhead(anyEntry)), listRetryInterval)
	}
	if now-p.listTriedAt < retryAfter {
		return false
	}
	p.listTriedAt = now
	return true
}

// IsReader reports whether this process is among the first Readers of those that can reach the
// list.
func (p *Peers) IsReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listReachable && !p.discovering() && p.countAhead(func(h *Hello) bool { return h.ListReachable }) < Readers
}

// discovering reports whether this process has just started and may not know yet which others
// rank ahead of it. The caller holds mu.
func (p *Peers) discovering() bool {
	return p.Clock.Now()-p.startedAt < discoveryTime && len(p.Seeds) > 0 && !slices.Contains(p.Seeds, p.Addr)
}

// broadcastDelay returns how long this process waits before it sends what it read to the
// others: one that reads only because it received nothing leaves that to those ahead of it.
func (p *Peers) broadcastDelay() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(takeoverStep*magno.Millis(max(p.countAhead(anyEntry)-Readers+1, 0)), maxTakeoverDelay)
}

// received reports whether another entry sent the changes up to a revision.
func (p *Peers) received(revision magno.Revision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.receivedRevision >= revision
}

func anyEntry(*Hello) bool { return true }

// countAhead counts the live eligible entries that rank ahead of this one as readers. The
// caller holds mu.
func (p *Peers) countAhead(eligible func(*Hello) bool) int {
	n, mine := 0, p.rank()
	for _, k := range p.known {
		if k.alive && eligible(&k.hello) && compareRanks(k.rank, mine) < 0 {
			n++
		}
	}
	return n
}

func (p *Peers) leaving() bool { return p.Leaving != nil && p.Leaving() }

// rank holds what determines an entry's position in the order of readers.
type rank struct {
	addr, name string
	// hash is that of the name.
	hash     uint64
	linkMbps float64
	leaving  bool
}

func (h *Hello) rank() rank {
	return rank{addr: h.Addr, name: h.Name, hash: xxhash.Sum64String(h.Name), linkMbps: h.LinkMbps, leaving: h.Leaving}
}

// rank returns this entry's own rank.
func (p *Peers) rank() rank {
	h := Hello{Name: p.Self, Addr: p.Addr, LinkMbps: p.LinkMbps, Leaving: p.leaving()}
	return h.rank()
}

// compareRanks orders entries as readers: entries that are shutting down come last, then
// by the bandwidth of their machines, then by hash. A reader sends each change to all
// others. Over a narrow link, its callers' requests are queued behind that and are
// forwarded only after their callers have left.
func compareRanks(a, b rank) int {
	switch {
	case a.leaving != b.leaving && b.leaving:
		return -1
	case a.leaving != b.leaving:
		return 1
	}
	return cmp.Or(cmp.Compare(b.linkMbps, a.linkMbps), cmp.Compare(b.hash, a.hash), cmp.Compare(b.name, a.name))
}

// Entries returns the addresses of all live entries, this one's included, in the order of
// readers.
func (p *Peers) Entries() []string { return p.rankedAddrs(anyEntry) }

// DataCentreEntries returns the addresses of the live entries of this data centre, this
// one's included, in the order of readers.
func (p *Peers) DataCentreEntries() []string {
	return p.rankedAddrs(func(h *Hello) bool { return h.DataCentre == p.DataCentre })
}

// rankedAddrs returns the addresses of the eligible live entries, this one's included, in
// the order of readers.
func (p *Peers) rankedAddrs(eligible func(*Hello) bool) []string {
	p.mu.Lock()
	list := []rank{p.rank()}
	for _, k := range p.known {
		if k.alive && eligible(&k.hello) {
			list = append(list, k.rank)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(list, compareRanks)
	addrs := make([]string, 0, len(list))
	for _, s := range list {
		addrs = append(addrs, s.addr)
	}
	return addrs
}

// Homes returns the addresses of the entries that keep a customer's quota, possibly
// including this one, in order of preference: the next one does if the first can't be
// reached. They are chosen from those with the widest links, which change least.
func (p *Peers) Homes(customer string) []string {
	addrs := p.rankedAddrs(anyEntry)
	return grant.SortHomes(customer, addrs[:min(len(addrs), maxHomes)])
}
