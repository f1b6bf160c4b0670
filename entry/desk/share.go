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

// MethodForward is between entries of one data centre: Word, a notification.
const MethodForward = "word"

const (
	// matesHalve is by how much the pause between two polls of an agent is shorter
	// where the entries of a data centre share them.
	matesHalve = 2
	// mostAskers bounds the entries of a data centre that ask agents for all of it.
	mostAskers = 8
	// wordDelay is how long answers are gathered to be passed on in one message.
	wordDelay = 40 * magno.Millis(1)
	// wordSlack is how much longer than the usual pause no word of an agent may come
	// until an entry asks it itself.
	wordSlack = 2 * pollEvery
	// mostAnswers bounds the answers that wait to be passed on.
	mostAnswers = 256
)

// StatusBatch is what an entry passes on: the answers of agents that it asked.
type StatusBatch struct {
	Statuses []gate.StatusReply `json:"answers"`
}

// share tells which agents this entry asks for its data centre.
//
// Load pattern: each entry needs fresh word of each engine. If each asked each agent,
// a fleet of n entries and m agents would exchange n times m answers a second, most of
// them between data centres. So one entry of a data centre asks, and passes the answers
// on to the others there. Were every entry to ask its part, each of n would be told by
// n-1 others many times a second; so only a few ask, those with the widest links.
type share struct {
	// asks is false when this entry leaves the asking to others.
	asks bool
	own  uint64
	// others are the hashes of the other entries that ask.
	others []uint64
}

func (d *Client) share() share {
	sh := share{asks: true, own: xxhash.Sum64String(d.Addr)}
	if d.Entries == nil {
		return sh
	}
	mates := d.Entries()
	askers := mates[:min(len(mates), mostAskers)]
	sh.asks = slices.Contains(askers, d.Addr)
	for _, addr := range askers {
		if addr != d.Addr {
			sh.others = append(sh.others, xxhash.Sum64String(addr))
		}
	}
	return sh
}

// mine tells whether this entry is the one that asks an agent: of those that ask, the
// one with the highest hash of both.
func (sh *share) mine(s *seat) bool {
	if !sh.asks {
		return false
	}
	own := weight(sh.own, s.hash)
	for _, other := range sh.others {
		if weight(other, s.hash) > own {
			return false
		}
	}
	return true
}

// askers counts the entries that share the asking.
func (sh *share) askers() int {
	if sh.asks {
		return len(sh.others) + 1
	}
	return max(len(sh.others), 1)
}

// weight mixes the hashes of an entry and an agent.
func weight(entry, agent uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x := (entry ^ agent) * odd
	x ^= x >> 32
	return x * odd
}

// tell has an agent's answer passed on. Where too many wait it is left out: the others
// ask the agent themselves after a while.
func (d *Client) tell(a gate.StatusReply) {
	select {
	case d.answers <- a:
	default:
	}
}

// pass tells the other entries of this data centre what agents answered.
func (d *Client) pass(ctx context.Context, working *sync.WaitGroup, answers []gate.StatusReply) {
	if len(answers) == 0 || d.Entries == nil {
		return
	}
	working.Add(1)
	go func() {
		defer working.Done()
		err := d.Mesh.Broadcast(ctx, d.others(), MethodForward, pollTime, StatusBatch{Statuses: answers},
			func(addr string, err error) { d.Log.Debug("word", "addr", addr, "error", err) })
		if err != nil {
			d.Log.Error("word", "answers", len(answers), "error", err)
		}
	}()
}

// others lists the other entries of this data centre.
func (d *Client) others() []string {
	return slices.DeleteFunc(d.Entries(), func(addr string) bool { return addr == d.Addr })
}

func (d *Client) onWord(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var w StatusBatch
	if err := json.Unmarshal(params, &w); err != nil {
		d.Log.Warn("word", "error", err)
		return nil, err
	}
	for i := range w.Statuses {
		d.told(&w.Statuses[i])
	}
	return nil, nil
}

// told takes an answer that another entry passed on. An agent that didn't answer this
// entry isn't taken for well by it: only its own question tells.
func (d *Client) told(a *gate.StatusReply) {
	d.mu.Lock()
	s := d.seats[a.Replica]
	newer := s != nil && !s.dead && s.misses == 0 && d.Clock.Now()-s.heard >= wordDelay
	d.mu.Unlock()
	if !newer {
		return
	}
	held := a.ListsHash
	d.heard(s, a, held)
	d.mu.Lock()
	defer d.mu.Unlock()
	// Changes of a list that this entry hasn't, or an agent that knows less than it:
	// then this entry asks by itself.
	if s.status.ListsHash == held && a.Revision >= s.revision {
		s.asked, s.told = d.Clock.Now(), s.revision
	}
}
