package peers

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// due returns the peers to send a hello to now. Only maxProbes of those that aren't alive
// are contacted at a time, and they are removed after forgetAfterMisses, unless they are
// seeds or may be beyond a partition.
func (p *Peers) due() map[string]*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := map[string]*peer{}
	now := p.Clock.Now()
	interval := helloInterval * magno.Millis(max(len(p.known), helloScaleFrom)) / helloScaleFrom
	probing := 0
	for _, k := range p.known {
		if k.pending && !k.alive {
			probing++
		}
	}
	hasMet := p.hasMet()
	for addr, k := range p.known {
		if k.misses > forgetAfterMisses && !slices.Contains(p.Seeds, addr) {
			if !k.isSilent(now) {
				delete(p.known, addr)
				continue
			}
			if now-k.askedAt < silentProbeInterval {
				continue
			}
		}
		if !k.due(now, interval, hasMet) {
			continue
		}
		if !k.alive {
			if probing >= maxProbes {
				continue
			}
			probing++
		}
		k.pending, k.askedAt = true, now
		list[addr] = k
	}
	return list
}

// due reports whether the peer is to be sent a hello, given the usual interval between two
// of them. hasMet is false for an entry that has met no other yet.
func (k *peer) due(now, interval magno.Millis, hasMet bool) bool {
	switch {
	case k.pending:
		return false
	case k.misses > 0:
		return true
	case k.seenAt == 0:
		// If both of a pair start at the same time, only the initiator sends a hello.
		return k.initiator || !hasMet || k.askedAt > 0 || now-k.learnedAt >= helloInterval
	case !k.initiator:
		interval += helloInterval
	}
	return now-max(k.askedAt, k.seenAt) >= interval-helloInterval/2
}

// initiates reports whether this entry is the initiator of a pair. The other one gets the
// same information from the initiator's hellos, and sends its own only if none came for
// longer than the interval. Otherwise a fleet would keep two connections per pair.
func (p *Peers) initiates(addr string) bool {
	mine, theirs := xxhash.Sum64String(p.Addr+addr), xxhash.Sum64String(addr+p.Addr)
	return mine > theirs || (mine == theirs && p.Addr > addr)
}
