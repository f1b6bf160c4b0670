package gate

import (
	"slices"
	"sync"
)

// mostRecent bounds the lists that an agent remembers. An engine changes what it
// holds a few times a second, and entries ask about each second.
const mostRecent = 16

// Change is what one list has that another hasn't, and the reverse. Both are in
// ascending order.
type Diff struct {
	Added   []uint32 `json:"gained,omitempty"`
	Removed []uint32 `json:"lost,omitempty"`
}

// Lists are what an engine holds and what it keeps in its memory, as hashes in
// ascending order. They aren't changed once made.
type AdapterLists struct {
	// Held stands for both.
	Hash       uint64
	Warm, Kept []uint32
}

// Recent remembers the lists that an agent told lately, so that an entry that has
// one of them is told only what changed.
//
// Load pattern: each engine loads an adapter about once a second, and each entry
// asks each agent as often. With the whole lists at each change, most of what goes
// between data centres in a fleet of hundreds of machines is hashes that the
// receiver has already.
//
// It is safe for concurrent use.
type ListHistory struct {
	mu   sync.Mutex
	ring [mostRecent]AdapterLists
	next int
}

// Note remembers the lists of a reply.
func (r *ListHistory) Record(s *StatusReply) {
	if s.ListsHash == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest := (r.next + mostRecent - 1) % mostRecent; r.ring[newest].Hash == s.ListsHash {
		return
	}
	r.ring[r.next] = s.lists()
	r.next = (r.next + 1) % mostRecent
}

// find returns the lists that go by held; false when they aren't remembered.
func (r *ListHistory) find(held uint64) (AdapterLists, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.ring[:], func(l AdapterLists) bool { return l.Hash == held })
	if i < 0 {
		return AdapterLists{}, false
	}
	return r.ring[i], true
}

// Short leaves out of a reply what an entry has whose lists go by known.
func (r *ListHistory) Trim(s *StatusReply, known uint64) {
	if known == 0 {
		return
	}
	if known == s.ListsHash {
		s.Backlog.Warm, s.Backlog.Kept = nil, nil
		return
	}
	was, ok := r.find(known)
	if !ok || s.ListsHash == 0 {
		return
	}
	s.BaseHash = known
	s.WarmDiff, s.KeptDiff = difference(was.Warm, s.Backlog.Warm), difference(was.Kept, s.Backlog.Kept)
	s.Backlog.Warm, s.Backlog.Kept = nil, nil
}

// Fill puts the lists back for an entry that said that it had known, and has had
// by now. An entry that was told of another one since it asked keeps that.
func (s *StatusReply) Restore(known uint64, had *StatusReply) {
	switch {
	case s.BaseHash != 0 && s.BaseHash == had.ListsHash:
		s.Backlog.Warm, s.Backlog.Kept = s.WarmDiff.apply(had.Backlog.Warm), s.KeptDiff.apply(had.Backlog.Kept)
	case s.BaseHash != 0, s.same(known):
		s.ListsHash, s.Backlog.Warm, s.Backlog.Kept = had.ListsHash, had.Backlog.Warm, had.Backlog.Kept
	}
	s.BaseHash, s.WarmDiff, s.KeptDiff = 0, Diff{}, Diff{}
}

// same tells whether the lists were left out since known stands for them.
func (s *StatusReply) same(known uint64) bool {
	return known != 0 && known == s.ListsHash && len(s.Backlog.Warm) == 0 && len(s.Backlog.Kept) == 0
}

func (s *StatusReply) lists() AdapterLists {
	return AdapterLists{Hash: s.ListsHash, Warm: s.Backlog.Warm, Kept: s.Backlog.Kept}
}

// difference is what makes is of was.
func difference(was, is []uint32) Diff {
	var c Diff
	for len(was) > 0 || len(is) > 0 {
		switch {
		case len(was) == 0 || (len(is) > 0 && is[0] < was[0]):
			c.Added = append(c.Added, is[0])
			is = is[1:]
		case len(is) == 0 || was[0] < is[0]:
			c.Removed = append(c.Removed, was[0])
			was = was[1:]
		default:
			was, is = was[1:], is[1:]
		}
	}
	return c
}

// apply returns the list that the change makes of was, which stays as it is.
func (c *Diff) apply(was []uint32) []uint32 {
	list := make([]uint32, 0, len(was)+len(c.Added))
	for _, hash := range was {
		if _, lost := slices.BinarySearch(c.Removed, hash); !lost {
			list = append(list, hash)
		}
	}
	list = append(list, c.Added...)
	slices.Sort(list)
	return list
}
