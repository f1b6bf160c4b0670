package gossip

import (
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno/config"
)

// deltasFor returns the deltas that follow the peer's version and fit in room,
// and the room left. A prefix of the chain is sent if not all of it fits.
func (s *State) deltasFor(in *Message, room int) ([]*config.Delta, int) {
	now := s.Store.Current()
	if now == nil || in.ConfigVersion == 0 || in.ConfigVersion >= now.Version {
		return nil, room
	}
	all, ok := s.Store.DeltasSince(in.ConfigVersion, in.ConfigSum)
	if !ok {
		return nil, room
	}
	var out []*config.Delta
	for _, d := range all {
		if d.EncodedLen() > room {
			break
		}
		room -= d.EncodedLen()
		out = append(out, d)
	}
	return out, room
}

// applyConfig applies the deltas of a message. If the peer has the same version,
// its content is compared and the time of its confirmation taken over.
func (s *State) applyConfig(in *Message) {
	before := s.Store.Version()
	for _, d := range in.Deltas {
		err := s.Store.Apply(d, in.From)
		if err != nil && !errors.Is(err, config.ErrOld) {
			if !errors.Is(err, config.ErrGap) && !errors.Is(err, config.ErrChecksum) {
				s.rejected = d.To
			}
			break
		}
	}
	version := s.Store.Version()
	if version > before {
		s.ConfigChanged()
	}
	if in.ConfigVersion == version && version > 0 {
		s.Store.ReportConflict(in.ConfigVersion, in.ConfigSum, in.From)
		if in.ConfigAge >= 0 {
			s.Store.Confirm(version, s.Clock.Now()-in.ConfigAge)
		}
	}
}

// NextPull returns the peer to fetch a full configuration from, if deltas could
// not bring this process up to the peer's version, or false.
func (s *State) NextPull() (Outbound, bool) {
	to := s.pullFrom
	s.pullFrom = Outbound{}
	return to, to.Name != ""
}

// PullDone reports the result of a fetch from a peer that had the given version.
// A version that is invalid here is not fetched again.
func (s *State) PullDone(version int64, err error) {
	if err == nil {
		s.ConfigChanged()
		return
	}
	if errors.Is(err, config.ErrInvalid) {
		s.rejected = version
	}
}

// ConfigChanged reports that this process applied a new configuration version,
// so that peers get it at once.
func (s *State) ConfigChanged() {
	s.init()
	s.configPending = true
	s.scheduleUrgent()
}

// Status describes the protocol state for operators.
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
	// Pending counts records that are still to be sent to peers.
	Pending int `json:"rumours"`
}

// Status returns the roles of this process and counts of members and records.
func (s *State) Status() Status {
	st := Status{Reader: s.IsReader(), Relay: s.IsRelay(), Synced: s.Synced(), NoPeers: s.join.noPeers,
		Marks: s.table.marks - s.table.spentMarks, Pending: len(s.table.queue)}
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

// HasMember reports whether a member is known in the given state.
func (s *State) HasMember(name string, state MemberState) bool {
	s.init()
	e := s.table.entries["m"+name]
	return e != nil && e.record.Member != nil && e.record.Member.State == state
}

// Members returns every known member that is not dead, in no particular order.
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
