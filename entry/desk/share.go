package desk

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// MethodForward is a notification between the entries of one data centre. It takes a
// StatusBatch.
const MethodForward = "word"

const (
	// sharedPollDivisor shortens the interval between two polls of an agent where the entries
	// of a data centre share the polling.
	sharedPollDivisor = 2
	// maxPollers bounds the entries of a data centre that poll agents on behalf of all.
	maxPollers = 8
	// forwardDelay is how long replies are collected before they are forwarded in one message.
	forwardDelay = 40 * magno.Millis(1)
	// forwardSlack is the time beyond the usual interval after which an entry polls an agent
	// itself if no reply of it was forwarded.
	forwardSlack = 2 * pollInterval
	// maxQueuedStatuses bounds the replies that are queued to be forwarded.
	maxQueuedStatuses = 256
)

// StatusBatch holds the replies of agents that an entry polled, for the other entries of its
// data centre.
type StatusBatch struct {
	Statuses []gate.StatusReply `json:"answers"`
}

// pollShare determines which agents this entry polls on behalf of its data centre.
//
// Load pattern: each entry needs the current state of each engine. If each entry polled each
// agent, a fleet of n entries and m agents would exchange n times m replies per interval, most
// of them between data centres. So one entry per data centre polls an agent and forwards the
// reply to the others. If every entry polled a part, each would receive messages from n-1
// others many times a second; so only a few entries poll, those with the highest bandwidth.
type pollShare struct {
	// polls is false if this entry leaves the polling to others.
	polls bool
	self  uint64
	// others holds the hashes of the other entries that poll.
	others []uint64
}

func (c *Client) currentShare() pollShare {
	sh := pollShare{polls: true, self: xxhash.Sum64String(c.Addr)}
	if c.Entries == nil {
		return sh
	}
	entries := c.Entries()
	pollers := entries[:min(len(entries), maxPollers)]
	sh.polls = slices.Contains(pollers, c.Addr)
	for _, addr := range pollers {
		if addr != c.Addr {
			sh.others = append(sh.others, xxhash.Sum64String(addr))
		}
	}
	return sh
}

// owns reports whether this entry is the one that polls an agent. Agents are assigned by
// rendezvous hashing: the entry with the highest weight for the agent polls it.
func (sh *pollShare) owns(s *agentState) bool {
	if !sh.polls {
		return false
	}
	own := weight(sh.self, s.hash)
	for _, other := range sh.others {
		if weight(other, s.hash) > own {
			return false
		}
	}
	return true
}

// pollers returns the number of entries that share the polling.
func (sh *pollShare) pollers() int {
	if sh.polls {
		return len(sh.others) + 1
	}
	return max(len(sh.others), 1)
}

// weight combines the hashes of an entry and an agent.
func weight(entry, agent uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x := (entry ^ agent) * odd
	x ^= x >> 32
	return x * odd
}

// queueForward queues an agent's reply to be forwarded. It drops the reply if the queue is
// full: the other entries then poll the agent themselves after a while.
func (c *Client) queueForward(a gate.StatusReply) {
	select {
	case c.forwardQueue <- a:
	default:
	}
}

// forward sends agents' replies to the other entries of this data centre.
func (c *Client) forward(ctx context.Context, wg *sync.WaitGroup, statuses []gate.StatusReply) {
	if len(statuses) == 0 || c.Entries == nil {
		return
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		err := c.Mesh.Broadcast(ctx, c.otherEntries(), MethodForward, callTimeout, StatusBatch{Statuses: statuses},
			func(addr string, err error) { c.Log.Debug("cannot forward agent status", "addr", addr, "error", err) })
		if err != nil {
			c.Log.Error("cannot broadcast agent status", "answers", len(statuses), "error", err)
		}
	}()
}

// otherEntries lists the other entries of this data centre.
func (c *Client) otherEntries() []string {
	return slices.DeleteFunc(c.Entries(), func(addr string) bool { return addr == c.Addr })
}

func (c *Client) handleForward(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var w StatusBatch
	if err := json.Unmarshal(params, &w); err != nil {
		c.Log.Warn("invalid status batch from another entry", "error", err)
		return nil, err
	}
	for i := range w.Statuses {
		c.recordForwarded(&w.Statuses[i])
	}
	return nil, nil
}

// recordForwarded records a reply that another entry forwarded. It is ignored if the agent
// missed polls of this entry: only a reply to this entry shows that the agent is reachable from
// here.
func (c *Client) recordForwarded(a *gate.StatusReply) {
	c.mu.Lock()
	s := c.agents[a.Replica]
	newer := s != nil && !s.lost && s.misses == 0 && c.Clock.Now()-s.heardAt >= forwardDelay
	if s != nil && s.lost && c.Clock.Now()-s.polledAt >= pollInterval {
		s.polledAt = 0 // it answers another entry again; the regular poll may be over a second away
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	listsHash := a.ListsHash
	c.recordStatus(s, a, listsHash)
	c.mu.Lock()
	defer c.mu.Unlock()
	// Otherwise the reply is a delta of lists that this entry doesn't have, or the agent has an
	// older spec, and this entry polls the agent itself.
	if s.status.ListsHash == listsHash && a.Revision >= s.specRevision {
		s.polledAt, s.sentRevision = c.Clock.Now(), s.specRevision
	}
}
