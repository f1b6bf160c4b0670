// Package gossip is the protocol by which processes share their state: which
// members are live, leaving or suspect, marks such as fingerprints of requests
// that crash upstreams, and versions of the configuration. It does no I/O; the
// caller carries the messages.
//
//	Tick --> messages to a few peers --> their Receive --> replies --> HandleReply
//	                                      (records, deltas, sums)
//
// The load is 2,600 processes in 22 data centres, of which 74 fail and 750 are
// replaced each day, 54,000 configuration changes a day, and leaving instances
// that must lose their work within seconds. If each process sent every change to
// all others, one change would cost 2,600 messages from one place; if each read
// all changes from the platform, this alone would use up the 2,000 reads a
// second that the platform allows.
//
// Each process exchanges with one random peer of its data centre every half
// second, and with three at once as soon as it has an urgent change. Two relays
// of each data centre exchange with relays of others. Every message has the
// sender's configuration version and checksums over its records. Differences are
// sent within a byte budget. Records that are missed by the first sends are
// found by comparing checksums of buckets (anti-entropy).
package gossip

import (
	"math/rand/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// Parameters of the protocol. docs/CAPACITY.md has the measurements.
const (
	// Interval is the mean time between exchanges without urgent changes.
	Interval = 500 * magno.Millis(1)
	// UrgentInterval is the minimum time between exchanges with urgent changes;
	// changes that come within it share one message.
	UrgentInterval = 50 * magno.Millis(1)
	// fanout is how many peers an urgent change is sent to at once.
	fanout = 3
	// RoleReplicas is how many readers, and how many relays, a data centre has.
	RoleReplicas = 2
	// DefaultSendRate is in bytes a second. With as much received, the traffic
	// stays below the 21 KB a second that a daemon may use for control.
	DefaultSendRate = 8 << 10
	// maxMessageSize is in bytes.
	maxMessageSize = 4 << 10
	// messageOverhead is the size of a message without records, framing included.
	messageOverhead = 450
	// frameOverhead is what the transport adds: the envelope and TCP headers.
	frameOverhead = 120
	// urgentReserve is the part of the budget, in bytes, that only urgent records
	// may use, so that a burst of others doesn't delay the news of a leaving
	// instance.
	urgentReserve = maxMessageSize
	// burstSize is how many bytes may be sent at once after an idle time.
	burstSize = 4 * maxMessageSize
	// suspectTimeout is how long a suspect has to refute; about ten exchanges.
	suspectTimeout = 5 * magno.Second
	// tombstoneTTL is how long a dead or leaving member is remembered, so that
	// stale records can't bring it back.
	tombstoneTTL = 10 * magno.Minute
	// maxTickGap: after a longer gap between ticks the process is taken to have
	// been paused, and its timers as stale.
	maxTickGap = 5 * magno.Second
	// failedBackoff is how long a peer that did not answer isn't tried again.
	failedBackoff = 10 * magno.Second
	// refuteInterval is the minimum time between two raises of the incarnation:
	// two processes of one name would otherwise refute each other for ever.
	refuteInterval = magno.Second
	maxMarkSize    = 256 // bytes of key and data
	maxMarks       = 1024
	// spentTTL is how long a mark that has expired keeps its place in the table. A process that got it later
	// still has it then, and would bring it back; late messages add up over several processes.
	spentTTL = magno.Minute
	// minTTL: a mark that expires sooner is not sent on.
	minTTL = 200 * magno.Millis(1)
	// maxRepairBuckets is how many buckets one message asks for.
	maxRepairBuckets = 4
)

// Message is one side of an exchange.
type Message struct {
	From       string `json:"from"`
	DataCentre string `json:"dc"`
	// GlobalSum is a checksum over the sender's records of global scope, LocalSum
	// over those of its data centre.
	GlobalSum uint64 `json:"sum"`
	LocalSum  uint64 `json:"inside"`
	// ConfigVersion and ConfigSum are the version and checksum of the sender's
	// configuration. ConfigAge is how long ago it was confirmed as the newest,
	// negative for never.
	ConfigVersion int64        `json:"version"`
	ConfigSum     uint64       `json:"config"`
	ConfigAge     magno.Millis `json:"age"`
	// Records are pending records, or those of wanted buckets.
	Records []Record `json:"records,omitempty"`
	// Deltas lead from the receiver's version to the sender's.
	Deltas []*config.Delta `json:"deltas,omitempty"`
	// BucketSums are the checksums of all buckets of Scope, sent if the scope's
	// checksum differs and pending records are not the likely cause.
	BucketSums []byte `json:"sums,omitempty"`
	// Scope is that of BucketSums and WantBuckets.
	Scope scope `json:"scope,omitempty"`
	// WantBuckets lists buckets whose records the sender asks for.
	WantBuckets []int `json:"want,omitempty"`
}

// Outbound is a message to be sent as a call; the reply goes to HandleReply.
type Outbound struct {
	Name    string
	Address string
	Message *Message
}

// State is the protocol state machine of one process. Exported fields are set before
// the first call. It is not safe for concurrent use.
type State struct {
	// Self is this process; state and incarnation are set on the first call.
	Self  Member
	Store *config.Store
	Clock *magno.Clock
	// Rand is the source of random choices; a seeded one makes runs reproducible.
	Rand *rand.Rand
	// SendRate is in bytes a second; zero means DefaultSendRate.
	SendRate int
	// OnMember is called when a member's state changed to live or leaving; it
	// may be nil.
	OnMember func(m Member)
	// OnMark is called with each new mark; it may be nil.
	OnMark func(m Mark)

	table  *table
	budget tokenBucket
	// view is derived from the members; nil if it has to be rebuilt.
	view *view
	// failedAt maps members to the time at which they last failed to answer. The
	// members in retry are asked once more before they become suspects.
	failedAt map[string]magno.Millis
	retry    map[string]bool
	// nextExchange is when the next exchange is due, lastTick when Tick last ran.
	nextExchange, lastTick magno.Millis
	// urgent is true if a change is to be sent at once, configPending if that is
	// a new version of the configuration.
	urgent, configPending bool
	// mismatches counts replies to peers whose records differ.
	mismatches int
	// refutedAt is when the incarnation was last raised.
	refutedAt magno.Millis
	// listedLeaving is true if the platform's list has this process as leaving,
	// leaving if Leave was called.
	listedLeaving, leaving bool
	// neverReached are listed members that failed and never answered; they get
	// no role.
	neverReached map[string]bool
	join         join
	// pullFrom is a peer with a version that deltas didn't lead to, its Name
	// empty for none; rejected is a version that is invalid here.
	pullFrom Outbound
	rejected int64
}

func (s *State) init() {
	if s.table != nil {
		return
	}
	s.table = newTable()
	s.failedAt, s.neverReached, s.retry = map[string]magno.Millis{}, map[string]bool{}, map[string]bool{}
	if s.SendRate <= 0 {
		s.SendRate = DefaultSendRate
	}
	now := s.Clock.Now()
	s.budget = tokenBucket{rate: s.SendRate, tokens: burstSize, last: now}
	s.Self.Incarnation, s.Self.State = max(int64(now), 1), Live
	s.lastTick = now
	s.join.begin(now)
	s.announceSelf()
}

// announceSelf puts this process's own record into the table.
func (s *State) announceSelf() {
	if s.Self.State == Leaving {
		s.Self.Global = true
	}
	self := s.Self
	s.put(Record{Member: &self})
}

// put stores a record if it supersedes the known one and reports whether it did.
// An urgent one is sent at once.
func (s *State) put(r Record) bool {
	if m := r.Member; m != nil && m.expires() && m.TTL == 0 {
		m.TTL = tombstoneTTL
	}
	v := s.currentView()
	sends := retransmits(len(v.local))
	if !r.urgent() {
		// Anti-entropy repairs what fewer sends miss. When a whole data centre
		// starts at once, more sends would use up the budget for half a minute.
		sends /= 2
	}
	if !s.table.put(r, s.Clock.Now(), sends, retransmits(len(v.remoteCentres))) {
		return false
	}
	s.view = nil
	if r.urgent() {
		s.scheduleUrgent()
	}
	return true
}

// scheduleUrgent makes the next exchange due within UrgentInterval.
func (s *State) scheduleUrgent() {
	s.urgent = true
	s.nextExchange = min(s.nextExchange, s.Clock.Now()+UrgentInterval)
}

// Leave announces that this process accepts no new work from now on.
func (s *State) Leave() {
	s.init()
	s.leaving = true
	s.Self.State = Leaving
	s.announceSelf()
}

// SetMark stores a mark and sends it to all members; one with a higher Seq
// replaces it.
func (s *State) SetMark(m Mark) {
	s.init()
	if r := (Record{Mark: &m}); r.valid() {
		s.merge(r)
	}
}

// Tick returns the exchanges that are due. It has to be called at least once
// every UrgentInterval.
func (s *State) Tick() []Outbound {
	s.init()
	now := s.Clock.Now()
	if now-s.lastTick > maxTickGap {
		// The process was paused: its view of others is stale, and theirs of it.
		s.resetAfterPause(now)
	}
	s.lastTick = now
	if now < s.nextExchange {
		return nil
	}
	s.expire(now)
	peers := s.selectPeers(now)
	s.nextExchange = now + s.delay(now)
	s.urgent, s.configPending = false, false
	var out []Outbound
	for _, p := range peers {
		m, room, ok := s.newMessage()
		if !ok {
			// The records stay queued for a later exchange.
			break
		}
		m.Records = s.pendingRecords(room, p.DataCentre != s.Self.DataCentre)
		s.charge(m)
		out = append(out, Outbound{Name: p.Name, Address: p.Address, Message: m})
	}
	if !s.IsRelay() {
		s.table.dropRemote()
	}
	return out
}

// delay is the time from this exchange to the next. It is short while urgent
// records are queued: the first sends reach about nine in ten processes, and
// the others too must learn of a leaving instance within a second or two.
func (s *State) delay(now magno.Millis) magno.Millis {
	switch {
	case len(s.retry) > 0 || s.joining(now):
		return 2 * UrgentInterval
	case s.table.urgentPending(false) || s.table.urgentPending(true):
		return 2*UrgentInterval + magno.Millis(s.Rand.Int64N(int64(2*UrgentInterval)))
	}
	return Interval/2 + magno.Millis(s.Rand.Int64N(int64(Interval)))
}

// resetAfterPause restarts the timers that ran on while the process was paused,
// and the join, so that it counts as synced only after peers have answered.
func (s *State) resetAfterPause(now magno.Millis) {
	for _, e := range s.table.entries {
		if e.record.Member != nil {
			e.changedAt = now
		}
	}
	s.failedAt, s.retry = map[string]magno.Millis{}, map[string]bool{}
	s.join.begin(now)
}

// expire removes expired records and declares suspects dead after
// suspectTimeout.
func (s *State) expire(now magno.Millis) {
	for key, e := range s.table.entries {
		m := e.record.Member
		switch {
		case e.expiresAt > 0 && now >= e.expiresAt && m == nil && now < e.expiresAt+spentTTL:
			s.table.spend(key)
		case e.expiresAt > 0 && now >= e.expiresAt:
			s.removeExpired(key, m)
		case m != nil && m.State == Suspect && now-e.changedAt > suspectTimeout:
			dead := *m
			dead.State, dead.TTL = Dead, 0
			s.merge(Record{Member: &dead})
		}
	}
}

// removeExpired drops a record that has expired. That of this process itself is
// renewed.
func (s *State) removeExpired(key string, m *Member) {
	s.table.drop(key)
	s.view = nil
	if m != nil && m.Name == s.Self.Name {
		s.Self.Incarnation++
		s.Self.Global = s.Self.State == Leaving
		s.announceSelf()
	}
}
