package gossip

import (
	"encoding/json"

	"magnoliastall.example/magno"
)

// bucket grants bytes at a rate. Without it a storm of changes, such as a data
// centre that restarts, would make every process send as fast as it can, just
// when the network is short.
type bucket struct {
	// rate is in bytes a second, tokens in bytes, at most burst.
	rate   int
	tokens int
	last   magno.Millis
}

// refill adds what the time since the last call gives.
func (b *bucket) refill(now magno.Millis) {
	gain := int(now-b.last) * b.rate / 1000
	if gain <= 0 {
		return
	}
	b.tokens = min(b.tokens+gain, burst)
	b.last = now
}

// message returns an empty message and how many bytes of records it may take;
// false when the budget doesn't allow one.
func (s *State) message() (m *Message, room int, ok bool) {
	s.budget.refill(s.Clock.Now())
	free := s.budget.tokens
	if !s.table.pending(false) && !s.table.pending(true) {
		free -= reserve
	}
	room = min(free, maxMessage) - overhead
	if room < 0 {
		return nil, 0, false
	}
	m = &Message{From: s.Self.Name, DataCentre: s.Self.DataCentre, GlobalSum: s.table.sum(wide), LocalSum: s.table.sum(inside), ConfigAge: -1}
	if now := s.Store.Now(); now != nil {
		m.ConfigVersion, m.ConfigSum = now.Version, now.Sum
		if at := s.Store.Confirmed(); at > 0 {
			m.ConfigAge = max(s.Clock.Now()-at, 0)
		}
	}
	return m, room, true
}

// pay takes a message's bytes off the budget.
func (s *State) pay(m *Message) {
	s.budget.tokens -= m.Size()
}

// Size is the message's length on the wire in bytes, with its frame.
func (m *Message) Size() int {
	text, _ := json.Marshal(m) //nolint:errchkjson // plain data
	return len(text) + frame
}
