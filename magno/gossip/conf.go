package gossip

import (
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno/config"
)

// deltas returns those that lead on from the peer's version and fit in room.
// A part of the way is worth sending too.
func (s *State) deltas(in *Message, room int) ([]*config.Delta, int) {
	now := s.Store.Now()
	if now == nil || in.ConfigVersion == 0 || in.ConfigVersion >= now.Version {
		return nil, room
	}
	all, ok := s.Store.Since(in.ConfigVersion, in.ConfigSum)
	if !ok {
		return nil, room
	}
	var out []*config.Delta
	for _, d := range all {
		if d.Len() > room {
			break
		}
		room -= d.Len()
		out = append(out, d)
	}
	return out, room
}

// takeConfig applies deltas and notes how sure the peer is of its version.
func (s *State) takeConfig(in *Message) {
	before := s.Store.Version()
	for _, d := range in.Deltas {
		err := s.Store.Apply(d, in.From)
		if err != nil && !errors.Is(err, config.ErrOld) {
			if !errors.Is(err, config.ErrGap) && !errors.Is(err, config.ErrSum) {
				s.refused = d.To
			}
			break
		}
	}
	version := s.Store.Version()
	if version > before {
		s.ConfigChanged()
	}
	if in.ConfigVersion == version && version > 0 {
		s.Store.Compare(in.ConfigVersion, in.ConfigSum, in.From)
		if in.ConfigAge >= 0 {
			s.Store.Confirm(version, s.Clock.Now()-in.ConfigAge)
		}
	}
}

// NextPull returns a peer that holds a version which deltas could not bring; the
// caller fetches it. False when there is none.
func (s *State) NextPull() (Outbound, bool) {
	to := s.behind
	s.behind = Outbound{}
	return to, to.Name != ""
}

// PullDone ends a fetch. A version that this process refuses is not asked for
// again; told is the version that the peer had.
func (s *State) PullDone(told int64, err error) {
	if err == nil {
		s.ConfigChanged()
		return
	}
	if errors.Is(err, config.ErrBad) {
		s.refused = told
	}
}

// ConfigChanged tells that this process itself put a new version in force, so that it
// goes to peers at once.
func (s *State) ConfigChanged() {
	s.init()
	s.fresh = true
	s.hasten()
}

// Status describes the state for operators.
type Status struct {
	Reader bool `json:"reader"`
	Relay  bool `json:"relay"`
	Synced bool `json:"settled"`
	// NoPeers is true when no peer answered at the start.
	NoPeers bool `json:"alone,omitempty"`
	Members int  `json:"members"`
	Suspect int  `json:"suspect"`
	Leaving int  `json:"leaving"`
	Marks   int  `json:"marks"`
	// Pending counts records still to be passed on.
	Pending int `json:"rumours"`
}

// Status counts what is known.
func (s *State) Status() Status {
	st := Status{Reader: s.IsReader(), Relay: s.IsRelay(), Synced: s.Synced(), NoPeers: s.join.alone,
		Marks: s.table.marks, Pending: len(s.table.rumours)}
	for _, m := range s.Members() {
		st.Members++
		switch m.State {
		case Suspect:
			st.Suspect++
		case Leaving:
			st.Leaving++
		default:
		}
	}
	return st
}

// HasMember is true when a member is known in that condition.
func (s *State) HasMember(name string, c MemberState) bool {
	s.init()
	e := s.table.entries["m"+name]
	return e != nil && e.record.Member != nil && e.record.Member.State == c
}

// Members lists every known member but the dead, in no order.
func (s *State) Members() []Member {
	s.init()
	out := make([]Member, 0, len(s.table.entries))
	for _, e := range s.table.entries {
		if m := e.record.Member; m != nil && m.State != Dead {
			out = append(out, *m)
		}
	}
	return out
}
