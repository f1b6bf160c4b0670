package peers

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// Able notes whether the list answers this process.
func (p *Peers) Able(able bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.able && !able {
		p.unable = p.Clock.Now()
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
// one after the other, and the first tells the rest.
func (p *Peers) Mine() bool {
	if p.Book.Now().Plan == nil {
		return true
	}
	age := p.Book.Age()
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.before()
	if age > staleAge+min(stepIn*magno.Millis(max(before-Readers, 0)), stepMost) {
		return true
	}
	if !p.able {
		// Somebody else reads; whether the list answers again is tried seldom.
		if p.Clock.Now()-p.unable < tryEvery {
			return false
		}
		p.unable = p.Clock.Now()
		return true
	}
	return before < Readers
}

// before counts the entries that are to read the list rather than this one. The
// caller holds mu.
func (p *Peers) before() int {
	n, mine := 0, Hello{Name: p.Self, Link: p.Link}
	for _, k := range p.known {
		if k.alive && k.hello.Able && over(&k.hello, &mine) {
			n++
		}
	}
	return n
}

// over orders entries by the bandwidth of their machines, then by hash. A reader
// tells each change to all others: with a narrow link, its callers' requests wait
// behind that, and are sent on after their callers have left.
func over(a, b *Hello) bool {
	if a.Link != b.Link {
		return a.Link > b.Link
	}
	ha, hb := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	if ha != hb {
		return ha > hb
	}
	return strings.Compare(a.Name, b.Name) > 0
}

// Processes counts the entries that share the retry allowance, this one
// included: those alive lately, and at least as many as there are seeds.
func (p *Peers) Processes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, now := 1, p.Clock.Now()
	for _, k := range p.known {
		if k.seen > 0 && now-k.seen < seenFor {
			n++
		}
	}
	return max(n, len(p.Seeds))
}

// Mates lists the addresses of the other entries of this data centre that are alive.
func (p *Peers) Mates() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for addr, k := range p.known {
		if k.alive && k.hello.DataCentre == p.DataCentre {
			list = append(list, addr)
		}
	}
	return list
}
