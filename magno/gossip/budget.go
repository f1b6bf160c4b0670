package gossip

import (
	"encoding/json"

	"magnoliastall.example/magno"
)

// tokenBucket limits the bytes sent per second. Without it a burst of changes,
// such as a data centre that restarts, would make every process send at full
// speed just when bandwidth is short.
type tokenBucket struct {
	// rate is in bytes a second, tokens in bytes and at most burstSize.
	rate   int
	tokens int
	last   magno.Millis
}

// refill adds the tokens for the time since the last call.
func (b *tokenBucket) refill(now magno.Millis) {
	gain := int(now-b.last) * b.rate / 1000
	if gain <= 0 {
		return
	}
	b.tokens = min(b.tokens+gain, burstSize)
	b.last = now
}

// newMessage returns a message without records and how many bytes of records
// it may carry, or false if the byte budget is used up.
func (s *State) newMessage() (m *Message, room int, ok bool) {
	s.budget.refill(s.Clock.Now())
	free := s.budget.tokens
	if !s.table.urgentPending(false) && !s.table.urgentPending(true) {
		free -= urgentReserve
	}
	room = min(free, maxMessageSize) - messageOverhead
	if room < 0 {
		return nil, 0, false
	}
	m = &Message{From: s.Self.Name, DataCentre: s.Self.DataCentre, GlobalSum: s.table.sum(scopeGlobal), LocalSum: s.table.sum(scopeLocal), ConfigAge: -1}
	if now := s.Store.Current(); now != nil {
		m.ConfigVersion, m.ConfigSum = now.Version, now.Sum
		if at := s.Store.Confirmed(); at > 0 {
			m.ConfigAge = max(s.Clock.Now()-at, 0)
		}
	}
	return m, room, true
}

// charge takes the size of a message off the budget.
func (s *State) charge(m *Message) {
	s.budget.tokens -= m.Size()
}

// Size is the length of the message on the wire in bytes, framing included.
func (m *Message) Size() int {
	text, _ := json.Marshal(m) //nolint:errchkjson // plain data
	return len(text) + frameOverhead
}
