package gossip

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// MemberState is what processes hold of a member.
type MemberState string

// The conditions, each outweighing those before it within one incarnation. A
// suspect keeps its work: a missed answer is no proof that it stopped. It only
// isn't chosen as reader or relay.
const (
	Live    MemberState = "live"
	Suspect MemberState = "suspect"
	Dead    MemberState = "dead"
	Leaving MemberState = "leaving"
)

// ranks orders conditions of the same incarnation.
var ranks = map[MemberState]int{Live: 0, Suspect: 1, Dead: 2, Leaving: 3}

// Member is one process of the system.
type Member struct {
	// Name is the instance's, a slot that outlives the process in it.
	Name       string     `json:"name"`
	Role       magno.Role `json:"role"`
	DataCentre string     `json:"dc"`
	Pool       string     `json:"pool,omitempty"`
	Address    string     `json:"address"`
	// Incarnation is when the process started, and one more each time it
	// contradicts what others hold of it. Only the process itself raises it;
	// zero means that only the platform's list told of it.
	Incarnation int64       `json:"inc"`
	State       MemberState `json:"state"`
	// Global is true when other data centres are to know: the member leaves, or
	// came back after it left.
	Global bool `json:"wide,omitempty"`
	// TTL is how long a dead or wide member is still remembered, in
	// milliseconds; zero means until it changes.
	TTL magno.Millis `json:"left,omitempty"`
}

// over is true when m is news to whoever holds old.
func (m *Member) over(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.State != old.State {
		return ranks[m.State] > ranks[old.State]
	}
	return m.Global && !old.Global
}

// fades is true for what is only remembered for a time.
func (m *Member) fades() bool { return m.Global || m.State == Dead || m.State == Leaving }

// Mark is a small record that ends by itself, such as the fingerprint of a
// request that crashed an upstream. Its content is opaque here.
type Mark struct {
	Key string `json:"key"`
	// Seq grows with each change; the highest wins.
	Seq  int64  `json:"seq"`
	Data string `json:"data,omitempty"`
	// TTL is how long it still holds, in milliseconds, so that clocks need
	// not agree.
	TTL magno.Millis `json:"left"`
}

// Record is a member or a mark.
type Record struct {
	Member *Member `json:"member,omitempty"`
	Mark   *Mark   `json:"mark,omitempty"`
}

// urgent is true for what others must hear within a second or two.
func (r *Record) urgent() bool {
	return r.Mark != nil || r.Member.Global || r.Member.State == Suspect
}

// key is unique over both sorts.
func (r *Record) key() string {
	if r.Member != nil {
		return "m" + r.Member.Name
	}
	if r.Mark != nil {
		return "k" + r.Mark.Key
	}
	return ""
}

// valid is false for a record that no process of this system makes.
func (r *Record) valid() bool {
	switch {
	case r.Member != nil && r.Mark == nil:
		_, known := ranks[r.Member.State]
		return known && r.Member.Name != "" && r.Member.Incarnation > 0
	case r.Mark != nil && r.Member == nil:
		return r.Mark.Key != "" && len(r.Mark.Key)+len(r.Mark.Data) <= maxMark
	}
	return false
}

// over is true when r is news to whoever holds old, a record of the same key.
func (r *Record) over(old *Record) bool {
	if r.Member != nil {
		return r.Member.over(old.Member)
	}
	return r.Mark.Seq > old.Mark.Seq
}

// sum is equal for equal content; how long it is remembered does not count.
func (r *Record) sum() uint32 {
	var text []byte
	if r.Member != nil {
		m := *r.Member
		m.TTL = 0
		text, _ = json.Marshal(m) //nolint:errchkjson // plain data
	} else {
		text, _ = json.Marshal(Mark{Key: r.Mark.Key, Seq: r.Mark.Seq}) //nolint:errchkjson // plain data
	}
	return uint32(xxhash.Sum64(text)) //nolint:gosec // the low half is as good
}

// size is the record's length on the wire in bytes, its comma included.
func (r *Record) size() int {
	text, _ := json.Marshal(r) //nolint:errchkjson // plain data
	return len(text) + 1
}
