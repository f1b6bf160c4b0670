// Package gossip decides what processes tell each other: who is live, leaving
// or suspected, marks such as fingerprints of requests that crash upstreams,
// and versions of the configuration. It opens no connection; the caller carries
// messages.
//
//	Tick --> messages to a few peers --> their Receive --> replies --> Answer
//	                                      (records, deltas, sums)
//
// The load is 2,600 processes in 22 data centres of which 74 fail and 750 are
// replaced each day, 54,000 changes of configuration a day, and a leaving
// instance that must lose its work within seconds. Were each process to tell
// all others, or to read it all from the platform, one change would cost 2,600
// messages from one place, and the platform's 2,000 reads a second would be
// used up by this alone.
//
// Each process exchanges with one random peer of its data centre every half
// second, and with three at once as soon as it has news. Two relays of each
// data centre exchange with relays of others. Every message tells the sender's
// version and a sum over its records; what differs is sent, within a budget of
// bytes. What news misses, sums mend.
package gossip

import (
	"math/rand/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// Figures of the exchange. docs/CAPACITY.md has the measurements.
const (
	// Interval is how often a process exchanges without news.
	Interval = 500 * magno.Millis(1)
	// UrgentInterval is the least time between exchanges with news; it gathers what
	// comes together into one message.
	UrgentInterval = 50 * magno.Millis(1)
	// fanout is how many peers get news at once.
	fanout = 3
	// RoleReplicas is how many readers, and how many relays, a data centre has.
	RoleReplicas = 2
	// DefaultSendRate is in bytes a second sent; with as much received it stays
	// under the 21 KB a second that a daemon may use for control.
	DefaultSendRate = 8 << 10
	// maxMessage bounds one message, in bytes.
	maxMessage = 4 << 10
	// overhead is a message without records, its frame included.
	overhead = 450
	// frame is what the call adds to a message: envelope and TCP's headers.
	frame = 120
	// reserve is what only urgent records may use: a storm of others must not
	// hold up word of a leaving instance.
	reserve = maxMessage
	// burst is how many bytes may go at once after silence.
	burst = 4 * maxMessage
	// suspectFor is how long a suspect may contradict; some ten exchanges.
	suspectFor = 5 * magno.Second
	// fadeFor is how long a dead or leaving member is remembered, so that old
	// news can't bring it back.
	fadeFor = 10 * magno.Minute
	// pauseLimit: a longer gap between ticks means that the process was
	// paused and may act on what is long past.
	pauseLimit = 5 * magno.Second
	// failedFor is how long a peer that did not answer isn't tried again.
	failedFor = 10 * magno.Second
	// contradictEvery bounds how often a process raises its incarnation, for
	// two processes of one name would otherwise answer each other for ever.
	contradictEvery = magno.Second
	maxMark         = 256 // bytes of a mark
	maxMarks        = 1024
	// leastLeft: a mark that ends sooner is not passed on.
	leastLeft = 200 * magno.Millis(1)
	// mendGroups is how many groups one message asks for.
	mendGroups = 4
)

// Message is one side of an exchange.
type Message struct {
	From       string `json:"from"`
	DataCentre string `json:"dc"`
	// GlobalSum is over the sender's records that concern all data centres, Inside
	// over those that concern its own.
	GlobalSum uint64 `json:"sum"`
	LocalSum  uint64 `json:"inside"`
	// ConfigVersion and Config are the number and sum of its configuration, Age how
	// long ago it was confirmed as the newest, negative for never.
	ConfigVersion int64        `json:"version"`
	ConfigSum     uint64       `json:"config"`
	ConfigAge     magno.Millis `json:"age"`
	// Records are news or mend a group.
	Records []Record `json:"records,omitempty"`
	// Deltas lead from the receiver's version to the sender's.
	Deltas []*config.Delta `json:"deltas,omitempty"`
	// BucketSums of all groups of a scope, sent when the sum of that scope differs
	// and news is not the reason.
	BucketSums []byte `json:"sums,omitempty"`
	// Scope is that of Sums and Want.
	Scope scope `json:"scope,omitempty"`
	// WantBuckets lists groups whose records are asked for.
	WantBuckets []int `json:"want,omitempty"`
}

// Outbound is a message to be sent as a call; the reply goes to Answer.
type Outbound struct {
	Name    string
	Address string
	Message *Message
}

// State is what one process knows and decides. Exported fields are set before
// the first call. It is not safe for concurrent use.
type State struct {
	// Self is this process, without condition and incarnation.
	Self  Member
	Store *config.Store
	Clock *magno.Clock
	// Rand makes choices; a seeded one gives the same run again.
	Rand *rand.Rand
	// SendRate is in bytes a second sent; zero means DefaultBudget.
	SendRate int
	// OnMember is told when a member's condition changed to live or leaving; it
	// may be nil.
	OnMember func(m Member)
	// OnMark is told of each new mark; it may be nil.
	OnMark func(m Mark)

	table  *table
	budget bucket
	// view is what follows from the members; nil when it is to be made anew.
	view *view
	// failed maps a member to when it last did not answer; those in retry are
	// asked once more before they are suspected.
	failed map[string]magno.Millis
	retry  map[string]bool
	// next is when the next exchange is due, last when Tick last ran.
	next, last magno.Millis
	// news is true when something is to be passed on at once, fresh when that
	// is a new version of the configuration.
	news, fresh bool
	// mends counts differing sums seen while there was news as well.
	mends int
	// contradicted is when the incarnation was last raised.
	contradicted magno.Millis
	// listed is true when the platform's list said that this process leaves,
	// leaving when it said so itself.
	listed, leaving bool
	// ghosts are on the list and never answered; no reader or relay is sought
	// among them.
	ghosts map[string]bool
	join   join
	// behind is the peer that has a version which deltas didn't lead to, its
	// Name empty for none; refused is a version that this process can't take.
	behind  Outbound
	refused int64
}

func (s *State) init() {
	if s.table != nil {
		return
	}
	s.table = newTable()
	s.failed, s.ghosts, s.retry = map[string]magno.Millis{}, map[string]bool{}, map[string]bool{}
	if s.SendRate <= 0 {
		s.SendRate = DefaultSendRate
	}
	now := s.Clock.Now()
	s.budget = bucket{rate: s.SendRate, tokens: burst, last: now}
	s.Self.Incarnation, s.Self.State = max(int64(now), 1), Live
	s.last = now
	s.join.begin(now)
	s.tellSelf()
}

// tellSelf puts this process's own record into the table.
func (s *State) tellSelf() {
	if s.Self.State == Leaving {
		s.Self.Global = true
	}
	self := s.Self
	s.put(Record{Member: &self})
}

// put takes a record into the table and hastens when it is urgent news.
func (s *State) put(r Record) bool {
	if m := r.Member; m != nil && m.fades() && m.TTL == 0 {
		m.TTL = fadeFor
	}
	v := s.look()
	left := passes(len(v.local))
	if !r.urgent() {
		// Sums bring what so few tellings leave out; when a data centre starts
		// at once, more would fill the budget for half a minute.
		left /= 2
	}
	if !s.table.put(r, s.Clock.Now(), left, passes(len(v.centres))) {
		return false
	}
	s.view = nil
	if r.urgent() {
		s.hasten()
	}
	return true
}

// hasten makes the next exchange due soon.
func (s *State) hasten() {
	s.news = true
	s.next = min(s.next, s.Clock.Now()+UrgentInterval)
}

// Leave tells that this process takes no new work from now on.
func (s *State) Leave() {
	s.init()
	s.leaving = true
	s.Self.State = Leaving
	s.tellSelf()
}

// SetMark spreads a mark; one with a higher Seq replaces it.
func (s *State) SetMark(m Mark) {
	s.init()
	if r := (Record{Mark: &m}); r.valid() {
		s.merge(r)
	}
}

// Tick returns the exchanges that are due. It is called at least as often as
// Haste.
func (s *State) Tick() []Outbound {
	s.init()
	now := s.Clock.Now()
	if now-s.last > pauseLimit {
		// This process slept: what it holds of others is old, and what they
		// hold of it too.
		s.wake(now)
	}
	s.last = now
	if now < s.next {
		return nil
	}
	s.expire(now)
	peers := s.partners(now)
	s.next = now + s.pause(now)
	s.news, s.fresh = false, false
	var out []Outbound
	for _, p := range peers {
		m, room, ok := s.message()
		if !ok {
			// What was left out goes with a later exchange.
			break
		}
		m.Records = s.rumours(room, p.DataCentre != s.Self.DataCentre)
		s.pay(m)
		out = append(out, Outbound{Name: p.Name, Address: p.Address, Message: m})
	}
	if !s.IsRelay() {
		s.table.quiet()
	}
	return out
}

// pause is how long after this exchange the next one is due. While records are
// still to be passed on it is short: the first burst reaches some nine in ten,
// and the rest must hear of a leaving instance within a second or two as well.
func (s *State) pause(now magno.Millis) magno.Millis {
	switch {
	case len(s.retry) > 0 || s.seeking(now):
		return 2 * UrgentInterval
	case s.table.pending(false) || s.table.pending(true):
		return 2*UrgentInterval + magno.Millis(s.Rand.Int64N(int64(2*UrgentInterval)))
	}
	return Interval/2 + magno.Millis(s.Rand.Int64N(int64(Interval)))
}

// wake forgets timers that ran while the process slept, and asks peers again
// before it counts as settled.
func (s *State) wake(now magno.Millis) {
	for _, e := range s.table.entries {
		if e.record.Member != nil {
			e.since = now
		}
	}
	s.failed, s.retry = map[string]magno.Millis{}, map[string]bool{}
	s.join.begin(now)
}

// expire ends suspicions, marks and memories of the dead.
func (s *State) expire(now magno.Millis) {
	for key, e := range s.table.entries {
		m := e.record.Member
		switch {
		case e.until > 0 && now >= e.until:
			s.forget(key, m)
		case m != nil && m.State == Suspect && now-e.since > suspectFor:
			dead := *m
			dead.State, dead.TTL = Dead, 0
			s.merge(Record{Member: &dead})
		}
	}
}

// forget drops a record that has ended. This process itself is told of anew.
func (s *State) forget(key string, m *Member) {
	s.table.drop(key)
	s.view = nil
	if m != nil && m.Name == s.Self.Name {
		s.Self.Incarnation++
		s.Self.Global = s.Self.State == Leaving
		s.tellSelf()
	}
}
