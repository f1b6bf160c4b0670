package resume

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareHolders is how many agents more than hold a group's records are asked: engines may have joined or
	// left since, and their agents with them.
	spareHolders = 1
	// groupDivisor determines the number of groups: the root of the number of agents divided by it. What an
	// agent is told and how many of them are asked grow alike then.
	groupDivisor = 2
)

// holders determines the agents that hold the records of entries. Each entry belongs to a group, which is
// told to the same few agents; who wants to know asks the agents of all groups. So nobody needs to know
// which entries there were.
type holders struct {
	mu sync.Mutex
	// agents are those for which the others were determined.
	agents []string
	// own are those of this entry's group, all those of all groups. They are nil if not determined yet.
	own, all []string
}

// of returns the agents that hold the records of an entry, always the same one.
func (h *holders) of(agents []string, entry string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(agents)
	if h.own == nil {
		h.own = preferred(groupName(groupOf(entry, groupCount(len(agents)))), agents, keeperCount)
	}
	return h.own
}

// ofAll returns the agents that hold the records of any entry. The number of groups may have been higher by
// one.
func (h *holders) ofAll(agents []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(agents)
	if h.all == nil {
		for g := range groupCount(len(agents)) + 1 {
			h.all = append(h.all, preferred(groupName(g), agents, keeperCount+spareHolders)...)
		}
		slices.Sort(h.all)
		h.all = slices.Compact(h.all)
	}
	return h.all
}

// update drops what was determined for other agents. The caller holds mu.
func (h *holders) update(agents []string) {
	if !slices.Equal(h.agents, agents) {
		h.agents, h.own, h.all = agents, nil, nil
	}
}

// groupCount returns the number of groups for a number of agents.
func groupCount(agents int) int {
	return max(int(math.Sqrt(float64(agents)))/groupDivisor, 1)
}

// groupOf returns the group of an entry. Few entries change it as the number of groups does.
func groupOf(entry string, groups int) int {
	best, group := uint64(0), 0
	for g := range groups {
		if s := score(groupName(g), entry); s > best {
			best, group = s, g
		}
	}
	return group
}

func groupName(group int) string { return string(rune('a' + group)) }

// score is the weight of an address in rendezvous hashing.
func score(key, addr string) uint64 { return xxhash.Sum64String(key + " " + addr) }

// preferred returns the n addresses with the highest weights for a key: they are spread over the data
// centres, and stay the same as others join or leave.
func preferred(key string, addrs []string, n int) []string {
	best := make([]weighed, 0, n+1)
	for _, addr := range addrs {
		w := weighed{addr, score(key, addr)}
		if len(best) == n && (n == 0 || w.score < best[n-1].score) {
			continue
		}
		best = append(best, w)
		slices.SortFunc(best, func(a, b weighed) int { return cmp.Compare(b.score, a.score) })
		best = best[:min(len(best), n)]
	}
	list := make([]string, 0, n)
	for _, w := range best {
		list = append(list, w.addr)
	}
	return list
}

// weighed is an address with its weight.
type weighed struct {
	addr  string
	score uint64
}
