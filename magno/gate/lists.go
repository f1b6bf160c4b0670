package gate

import (
	"slices"
	"sync"
)

// maxListHistory bounds the lists that an agent remembers. An engine's lists change a few times
// a second, and each entry polls about every second.
const maxListHistory = 16

// Diff is the difference between two lists. Both fields are in ascending order.
type Diff struct {
	Added   []uint32 `json:"gained,omitempty"`
	Removed []uint32 `json:"lost,omitempty"`
}

// AdapterLists are the adapters loaded at an engine (Warm) and those cached in its host memory
// (Kept), as hashes in ascending order. They are immutable.
type AdapterLists struct {
	// Hash identifies both lists.
	Hash       uint64
	Warm, Kept []uint32
}

// ListHistory remembers the lists that an agent sent recently, so that an entry that has one of
// them is sent only the difference.
//
// Load pattern: each engine loads an adapter about once a second, and each entry polls each
// agent as often. With the whole lists sent at each change, hashes that the receiver already
// has would be most of the traffic between data centres in a fleet of hundreds of machines.
//
// It is safe for concurrent use.
type ListHistory struct {
	mu   sync.Mutex
	ring [maxListHistory]AdapterLists
	next int
}

// Record remembers the lists of a reply.
func (h *ListHistory) Record(reply *StatusReply) {
	if reply.ListsHash == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if newest := (h.next + maxListHistory - 1) % maxListHistory; h.ring[newest].Hash == reply.ListsHash {
		return
	}
	h.ring[h.next] = reply.lists()
	h.next = (h.next + 1) % maxListHistory
}

// find returns the lists with the given hash; false if they are no longer remembered.
func (h *ListHistory) find(hash uint64) (AdapterLists, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.ring[:], func(l AdapterLists) bool { return l.Hash == hash })
	if i < 0 {
		return AdapterLists{}, false
	}
	return h.ring[i], true
}

// Trim removes from a reply the lists that the entry already has, given the hash of its lists,
// or replaces them by the difference to those.
func (h *ListHistory) Trim(reply *StatusReply, known uint64) {
	if known == 0 {
		return
	}
	if known == reply.ListsHash {
		reply.Backlog.Warm, reply.Backlog.Cached = nil, nil
		return
	}
	was, ok := h.find(known)
	if !ok || reply.ListsHash == 0 {
		return
	}
	reply.BaseHash = known
	reply.WarmDiff, reply.KeptDiff = diffLists(was.Warm, reply.Backlog.Warm), diffLists(was.Kept, reply.Backlog.Cached)
	reply.Backlog.Warm, reply.Backlog.Cached = nil, nil
}

// Restore fills in the lists that Trim removed. known is the hash that the entry sent with its
// request, and have is the status that it has now. Lists that it has received since are kept.
func (r *StatusReply) Restore(known uint64, have *StatusReply) {
	switch {
	case r.BaseHash != 0 && r.BaseHash == have.ListsHash:
		r.Backlog.Warm, r.Backlog.Cached = r.WarmDiff.apply(have.Backlog.Warm), r.KeptDiff.apply(have.Backlog.Cached)
	case r.BaseHash != 0, r.sameLists(known):
		r.ListsHash, r.Backlog.Warm, r.Backlog.Cached = have.ListsHash, have.Backlog.Warm, have.Backlog.Cached
	}
	r.BaseHash, r.WarmDiff, r.KeptDiff = 0, Diff{}, Diff{}
}

// sameLists reports whether the lists were left out because the entry has them under the hash
// known.
func (r *StatusReply) sameLists(known uint64) bool {
	return known != 0 && known == r.ListsHash && len(r.Backlog.Warm) == 0 && len(r.Backlog.Cached) == 0
}

func (r *StatusReply) lists() AdapterLists {
	return AdapterLists{Hash: r.ListsHash, Warm: r.Backlog.Warm, Kept: r.Backlog.Cached}
}

// diffLists returns the changes from was to is.
func diffLists(was, is []uint32) Diff {
	var d Diff
	for len(was) > 0 || len(is) > 0 {
		switch {
		case len(was) == 0 || (len(is) > 0 && is[0] < was[0]):
			d.Added = append(d.Added, is[0])
			is = is[1:]
		case len(is) == 0 || was[0] < is[0]:
			d.Removed = append(d.Removed, was[0])
			was = was[1:]
		default:
			was, is = was[1:], is[1:]
		}
	}
	return d
}

// apply returns the list that results from applying the diff to was, which is not modified.
func (d *Diff) apply(was []uint32) []uint32 {
	list := make([]uint32, 0, len(was)+len(d.Added))
	for _, hash := range was {
		if _, lost := slices.BinarySearch(d.Removed, hash); !lost {
			list = append(list, hash)
		}
	}
	list = append(list, d.Added...)
	slices.Sort(list)
	return list
}
