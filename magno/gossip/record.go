package gossip

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// MemberState is the state of a member as its peers see it.
type MemberState string

// The states, each overriding those before it within one incarnation. A suspect
// keeps its work, for a missed answer is no proof that it stopped; it only isn't
// chosen as reader or relay.
const (
	Live    MemberState = "live"
	Suspect MemberState = "suspect"
	Dead    MemberState = "dead"
	Leaving MemberState = "leaving"
)

// precedence orders the states within one incarnation.
var precedence = map[MemberState]int{Live: 0, Suspect: 1, Dead: 2, Leaving: 3}

// Member is one process of the system.
type Member struct {
	// Name is that of the instance, which is kept when its process is replaced.
	Name       string     `json:"name"`
	Role       magno.Role `json:"role"`
	DataCentre string     `json:"dc"`
	Pool       string     `json:"pool,omitempty"`
	Address    string     `json:"address"`
	// Incarnation is the start time of the process, plus one for each time it
	// refuted a record of itself. Only the process itself raises it. Zero means
	// that the member is only known from the platform's list.
	Incarnation int64       `json:"inc"`
	State       MemberState `json:"state"`
	// Global is true if other data centres need the record: the member is
	// leaving, or was and came back.
	Global bool `json:"wide,omitempty"`
	// TTL is how long the record of a dead, leaving or global member is kept;
	// zero means until it changes.
	TTL magno.Millis `json:"left,omitempty"`
}

// supersedes reports whether m is newer than old, a record of the same member.
func (m *Member) supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.State != old.State {
		return precedence[m.State] > precedence[old.State]
	}
	return m.Global && !old.Global
}

// expires reports whether the record is only kept for a time.
func (m *Member) expires() bool { return m.Global || m.State == Dead || m.State == Leaving }

// Mark is a small record with a time to live, such as the fingerprint of a
// request that crashed an upstream. This package does not interpret its content.
type Mark struct {
	Key string `json:"key"`
	// Seq grows with each change; the record with the highest wins.
	Seq  int64  `json:"seq"`
	Data string `json:"data,omitempty"`
	// TTL is the remaining time to live; unlike an expiry time it doesn't
	// require synchronized clocks.
	TTL magno.Millis `json:"left"`
}

// Record is a member or a mark; exactly one of the fields is set.
type Record struct {
	Member *Member `json:"member,omitempty"`
	Mark   *Mark   `json:"mark,omitempty"`
}

// urgent reports whether peers need the record within a second or two.
func (r *Record) urgent() bool {
	return r.Mark != nil || r.Member.Global || r.Member.State == Suspect
}

// key is unique among members and marks.
func (r *Record) key() string {
	if r.Member != nil {
		return "m" + r.Member.Name
	}
	if r.Mark != nil {
		return "k" + r.Mark.Key
	}
	return ""
}

// valid is false for a record that no correct process sends.
func (r *Record) valid() bool {
	switch {
	case r.Member != nil && r.Mark == nil:
		_, known := precedence[r.Member.State]
		return known && r.Member.Name != "" && r.Member.Incarnation > 0
	case r.Mark != nil && r.Member == nil:
		return r.Mark.Key != "" && len(r.Mark.Key)+len(r.Mark.Data) <= maxMarkSize
	}
	return false
}

// supersedes reports whether r is newer than old, a record of the same key.
func (r *Record) supersedes(old *Record) bool {
	if r.Member != nil {
		return r.Member.supersedes(old.Member)
	}
	return r.Mark.Seq > old.Mark.Seq
}

// sum is a checksum over the content without the TTL.
func (r *Record) sum() uint32 {
	var text []byte
	if r.Member != nil {
		m := *r.Member
		m.TTL = 0
		text, _ = json.Marshal(m) //nolint:errchkjson // plain data
	} else {
		text, _ = json.Marshal(Mark{Key: r.Mark.Key, Seq: r.Mark.Seq}) //nolint:errchkjson // plain data
	}
	return uint32(xxhash.Sum64(text)) //nolint:gosec // the low half is as good as the whole
}

// size is the length of the record on the wire in bytes, its comma included.
func (r *Record) size() int {
	text, _ := json.Marshal(r) //nolint:errchkjson // plain data
	return len(text) + 1
}
