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
type Change struct {
	Gained []uint32 `json:"gained,omitempty"`
	Lost   []uint32 `json:"lost,omitempty"`
}

// Lists are what an engine holds and what it keeps in its memory, as hashes in
// ascending order. They aren't changed once made.
type Lists struct {
	// Held stands for both.
	Held       uint64
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
type Recent struct {
	mu   sync.Mutex
	ring [mostRecent]Lists
	next int
}

// Note remembers the lists of a reply.
func (r *Recent) Note(s *StatusReply) {
	if s.Held == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest := (r.next + mostRecent - 1) % mostRecent; r.ring[newest].Held == s.Held {
		return
	}
	r.ring[r.next] = s.lists()
	r.next = (r.next + 1) % mostRecent
}

// find returns the lists that go by held; false when they aren't remembered.
func (r *Recent) find(held uint64) (Lists, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.ring[:], func(l Lists) bool { return l.Held == held })
	if i < 0 {
		return Lists{}, false
	}
	return r.ring[i], true
}

// Short leaves out of a reply what an entry has whose lists go by known.
func (r *Recent) Short(s *StatusReply, known uint64) {
	if known == 0 {
		return
	}
	if known == s.Held {
		s.Backlog.Warm, s.Backlog.Kept = nil, nil
		return
	}
	was, ok := r.find(known)
	if !ok || s.Held == 0 {
		return
	}
	s.Since = known
	s.Warm, s.Kept = difference(was.Warm, s.Backlog.Warm), difference(was.Kept, s.Backlog.Kept)
	s.Backlog.Warm, s.Backlog.Kept = nil, nil
}

// Fill puts the lists back for an entry that said that it had known, and has had
// by now. An entry that was told of another one since it asked keeps that.
func (s *StatusReply) Fill(known uint64, had *StatusReply) {
	switch {
	case s.Since != 0 && s.Since == had.Held:
		s.Backlog.Warm, s.Backlog.Kept = s.Warm.apply(had.Backlog.Warm), s.Kept.apply(had.Backlog.Kept)
	case s.Since != 0, s.same(known):
		s.Held, s.Backlog.Warm, s.Backlog.Kept = had.Held, had.Backlog.Warm, had.Backlog.Kept
	}
	s.Since, s.Warm, s.Kept = 0, Change{}, Change{}
}

// same tells whether the lists were left out since known stands for them.
func (s *StatusReply) same(known uint64) bool {
	return known != 0 && known == s.Held && len(s.Backlog.Warm) == 0 && len(s.Backlog.Kept) == 0
}

func (s *StatusReply) lists() Lists {
	return Lists{Held: s.Held, Warm: s.Backlog.Warm, Kept: s.Backlog.Kept}
}

// difference is what makes is of was.
func difference(was, is []uint32) Change {
	var c Change
	for len(was) > 0 || len(is) > 0 {
		switch {
		case len(was) == 0 || (len(is) > 0 && is[0] < was[0]):
			c.Gained = append(c.Gained, is[0])
			is = is[1:]
		case len(is) == 0 || was[0] < is[0]:
			c.Lost = append(c.Lost, was[0])
			was = was[1:]
		default:
			was, is = was[1:], is[1:]
		}
	}
	return c
}

// apply returns the list that the change makes of was, which stays as it is.
func (c *Change) apply(was []uint32) []uint32 {
	list := make([]uint32, 0, len(was)+len(c.Gained))
	for _, hash := range was {
		if _, lost := slices.BinarySearch(c.Lost, hash); !lost {
			list = append(list, hash)
		}
	}
	list = append(list, c.Gained...)
	slices.Sort(list)
	return list
}
