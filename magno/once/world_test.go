package once

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/witns"
)

// Parameters of the simulation. All clocks advance only when the test advances them.
const (
	skew              magno.Millis = 1000
	retention                      = 60 * magno.Second
	startTime         magno.Millis = 1_000_000
	secondRosterStart              = startTime + 20*magno.Second // start of the second roster
)

// variant lists the rules that a variant of the model breaks on purpose. The zero value
// breaks none.
type variant struct {
	quorum          int  // replaces the quorum if not 0
	ignoreStart     bool // witnesses grant keys issued before they started
	doubledSlots    int  // number of slots that may have two processes at once
	ignoreRosterEnd bool // stale processes use the first roster past its end
	denyEarly       bool // "not run" is answered without holding a quorum
	singleSkewWait  bool // witnesses wait only once the skew after they start
}

// slot is a member of a roster. Its newest process comes last.
type slot struct {
	name       string
	dataCentre int
	// overlap is set if an old process may keep running beside its successor.
	overlap   bool
	processes []*witness
}

type witness struct {
	*witns.Witness
	clock *magno.Clock
}

// home is one agent process that receives keys from callers.
type home struct {
	name  string
	table *keyTable
	clock *magno.Clock
	// staleConfig is set if the process lacks the second roster.
	staleConfig bool
	// preferredProcess selects the process that it usually reaches in a slot with two.
	preferredProcess int
	// partitions is a bit mask of the data centres that it can't reach.
	partitions int
}

// task is one attempt of a home to run a key.
type task struct {
	home   *home
	record *record
	rounds int
	// granted is set once the key may be run.
	granted bool
	ended   bool
	// backingOff is set while the task ignores replies until its next round.
	backingOff bool
}

// packet is a message in transit.
type packet struct {
	task    *task
	round   int
	request grantRequest
	// reply is nil on the way to the witness.
	reply *magno.GrantReply
}

// simulation drives key tables and witnesses, and records what happens to each key.
type simulation struct {
	variant variant
	now     magno.Millis
	slots   []*slot
	homes   []*home
	tasks   []*task
	packets []packet
	pending []pendingCall
	clocks  []*magno.Clock
	// churn is the probability, in tenths, that an attempted restart or partition happens.
	churn int
	// delayRetries keeps tasks in backingOff until all packets are delivered, before
	// they start another round.
	delayRetries bool
	backingOff   []*task
	// sharedOffset makes all clocks that start in one event start with clockOffset.
	sharedOffset bool
	clockOffset  magno.Millis
	maxKeys      int
	keys         []string
	truths       []groundTruth
	homeCount    int
	log          []string
	fault        string
	// results counts the results of votes, reasons the refusals of witnesses by reason.
	results  [voteImpossible + 1]int
	reasons  map[magno.GrantReason]int
	replayed int
}

// emptySimulation returns a simulation with slots but no processes.
func emptySimulation(r variant) *simulation {
	sim := &simulation{variant: r, now: startTime, reasons: map[magno.GrantReason]int{}}
	for i := range 14 {
		sim.slots = append(sim.slots, &slot{name: fmt.Sprintf("w%02d", i), dataCentre: i % 7 % 4})
	}
	return sim
}

func newSimulation(t *rapid.T, r variant) *simulation {
	sim := emptySimulation(r)
	sim.maxKeys = rapid.IntRange(1, 3).Draw(t, "most")
	sim.sharedOffset = rapid.Bool().Draw(t, "banded")
	sim.drawClockOffset(t)
	sim.churn = rapid.SampledFrom([]int{1, 2, 4, 10}).Draw(t, "churn")
	if rapid.Bool().Draw(t, "near") {
		sim.now = secondRosterStart - 5*skew
	}
	firstDoubled := rapid.IntRange(0, 13-r.doubledSlots).Draw(t, "doubled") % 7
	for i, s := range sim.slots {
		s.overlap = i%7 >= firstDoubled && i%7 < firstDoubled+r.doubledSlots
		sim.startWitness(t, s)
	}
	for i := range 3 {
		sim.startHome(t, fmt.Sprintf("h%d", i))
	}
	sim.advance(2*skew + 1)
	return sim
}

// drawClockOffset draws the offset of the clocks that start next.
func (sim *simulation) drawClockOffset(t *rapid.T) {
	sim.clockOffset = rapid.SampledFrom([]magno.Millis{-skew / 2, skew / 2}).Draw(t, "band")
}

func (sim *simulation) startClock(t *rapid.T) *magno.Clock {
	if sim.sharedOffset {
		c := magno.NewClock(sim.now + sim.clockOffset)
		sim.clocks = append(sim.clocks, c)
		return c
	}
	off := rapid.SampledFrom([]magno.Millis{-skew / 2, 0, skew / 2}).Draw(t, "offset")
	c := magno.NewClock(sim.now + off)
	sim.clocks = append(sim.clocks, c)
	return c
}

func (sim *simulation) startWitness(t *rapid.T, s *slot) {
	c := sim.startClock(t)
	p := &witness{&witns.Witness{Self: s.name, Clock: c, Retention: retention, MaxSkew: skew, MaxKeys: 100}, c}
	if backdated := sim.backdate(c.Now()); backdated > 0 {
		p.Clock = magno.NewClock(c.Now() - backdated)
		p.Open()
		p.Clock.Advance(backdated)
		sim.clocks[len(sim.clocks)-1], p.clock = p.Clock, p.Clock
	}
	p.Open()
	if !s.overlap {
		s.processes = nil
	}
	s.processes = append(s.processes, p)
	sim.logf("start witness %s #%d", s.name, len(s.processes))
}

// backdate returns by how much the start time of a witness is set too early.
func (sim *simulation) backdate(now magno.Millis) magno.Millis {
	switch {
	case sim.variant.ignoreStart:
		return now
	case sim.variant.singleSkewWait:
		return skew
	}
	return 0
}

func (sim *simulation) startHome(t *rapid.T, name string) {
	sim.homeCount++
	h := &home{name: name, clock: sim.startClock(t), staleConfig: rapid.Bool().Draw(t, "stale")}
	h.preferredProcess = rapid.IntRange(0, 1).Draw(t, "side")
	h.table = newKeyTable(name, fmt.Sprint(sim.homeCount), skew, retention, 100, 1<<20)
	sim.homes = append(sim.homes, h)
	sim.logf("start home %s/%d stale=%v", name, sim.homeCount, h.staleConfig)
}

func (sim *simulation) advance(d magno.Millis) {
	sim.now += d
	for _, c := range sim.clocks {
		c.Advance(d)
	}
	sim.logf("now %d", sim.now)
}

func (sim *simulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf(format, args...))
}

// rosters returns the rosters known to a home. The two rosters share no member.
func (sim *simulation) rosters(h *home) []magno.Roster {
	first := magno.Roster{Since: 0, Until: secondRosterStart, DataCentres: map[string]string{}}
	second := magno.Roster{Since: secondRosterStart, Until: 10 * secondRosterStart, DataCentres: map[string]string{}}
	for i, s := range sim.slots {
		r := &first
		if i >= 7 {
			r = &second
		}
		r.Members = append(r.Members, s.name)
		r.DataCentres[s.name] = fmt.Sprint(s.dataCentre)
	}
	if !h.staleConfig {
		return []magno.Roster{first, second}
	}
	if sim.variant.ignoreRosterEnd {
		first.Until = second.Until
	}
	return []magno.Roster{first}
}

// issueKey issues a key by a caller whose clock may be arbitrarily wrong; safety must not
// depend on callers' clocks.
func (sim *simulation) issueKey(t *rapid.T) {
	at := sim.now + rapid.SampledFrom([]magno.Millis{-3 * skew, 0, 0, skew / 2, 3 * skew / 2, 3 * skew}).Draw(t, "issued")
	sim.issueKeyAt(at)
}

func (sim *simulation) issueKeyAt(at magno.Millis) {
	sim.keys = append(sim.keys, key(at, len(sim.keys)))
	sim.truths = append(sim.truths, groundTruth{})
	sim.logf("key %d at %d", len(sim.keys)-1, at)
}

// send sends a request with the given key and body to a home.
func (sim *simulation) send(h *home, key int, body uint64) {
	adm := h.table.admit(h.clock.Now(), sim.rosters(h), Call{Key: sim.keys[key], BodyHash: body})
	sim.logf("send key %d body %d to %s: %+v", key, body, h.table.holder, adm.refusal)
	if adm.refusal != nil {
		sim.recordReply(pendingCall{key: key, body: body}, magno.RunReply{Refusal: adm.refusal})
		return
	}
	sim.pending = append(sim.pending, pendingCall{key, body, adm.attempt})
	if adm.record.state == stateDone {
		sim.replayed++
	}
	sim.collectReplies()
	if adm.startVote || adm.startRun {
		k := &task{home: h, record: adm.record, granted: adm.startRun}
		sim.tasks = append(sim.tasks, k)
		if adm.startVote {
			sim.startRound(k)
		}
	}
}

func (sim *simulation) startRound(k *task) {
	k.rounds++
	k.backingOff = false
	if sim.variant.quorum > 0 {
		k.record.tally.set.Quorum = sim.variant.quorum
	}
	for _, q := range k.home.table.startRound(k.record) {
		sim.packets = append(sim.packets, packet{task: k, round: k.record.round, request: q})
	}
}

// deliver delivers a packet unless the home can't reach the slot's data centre. In a slot
// with two processes it reaches the preferred one if processOffset is 0.
func (sim *simulation) deliver(p packet, processOffset int) {
	s := sim.slots[slices.IndexFunc(sim.slots, func(s *slot) bool { return s.name == p.request.member })]
	if p.task.home.partitions>>s.dataCentre&1 == 1 {
		return
	}
	if p.reply == nil {
		reply := s.processes[(p.task.home.preferredProcess+processOffset)%len(s.processes)].Grant(p.request.call)
		p.reply = &reply
		sim.reasons[reply.Reason]++
		sim.logf("%s: request of %s cede=%q: %+v", s.name, p.request.call.Holder, p.request.call.Cede, reply)
		if p.request.call.Cede == "" {
			sim.packets = append(sim.packets, p)
		}
		return
	}
	if !p.task.ended && !p.task.granted && !p.task.backingOff && sim.alive(p.task.home) {
		v := p.task.home.table.handleReply(p.task.record, p.round, p.request.member, *p.reply, true)
		sim.handleResult(p.task, v)
	}
}

// takePackets removes and returns the packets of a task.
func (sim *simulation) takePackets(k *task) (taken []packet) {
	sim.packets = slices.DeleteFunc(sim.packets, func(p packet) bool {
		if p.task == k {
			taken = append(taken, p)
		}
		return p.task == k
	})
	return taken
}

// timeOutRound ends a round; members that have not replied count as unreachable.
func (sim *simulation) timeOutRound(k *task) {
	v := votePending
	for _, m := range k.record.tally.set.Members {
		v = k.home.table.handleReply(k.record, k.record.round, m, magno.GrantReply{}, false)
	}
	sim.handleResult(k, v)
}

func (sim *simulation) handleResult(k *task, v voteResult) {
	if v == votePending {
		return
	}
	if v == voteBlocked && k.rounds < maxRounds {
		if sim.delayRetries {
			k.backingOff = true
			sim.backingOff = append(sim.backingOff, k)
			return
		}
		sim.startRound(k)
		return
	}
	v, cessions := k.home.table.concludeVote(k.record)
	sim.logf("%s: vote result %d", k.home.table.holder, v)
	sim.results[v]++
	k.granted, k.ended = v == voteWon, v != voteWon
	for _, q := range cessions {
		sim.packets = append(sim.packets, packet{task: k, request: q})
	}
	sim.collectReplies()
}

// finish runs a granted key, or refuses it as if the queue were full.
func (sim *simulation) finish(k *task, run bool) {
	key := slices.Index(sim.keys, k.record.key)
	reply := magno.RunReply{Refusal: magno.Refuse(magno.KindBusy, "full")}
	if run {
		text := fmt.Sprint(key, " by ", k.home.table.holder)
		sim.truths[key].recordRun(k.record.bodyHash, text)
		reply = magno.RunReply{Result: &magno.Result{Text: text}}
	}
	sim.logf("%s completes key %d run=%v", k.home.table.holder, key, run)
	k.ended = true
	k.home.table.complete(k.record, reply)
	sim.collectReplies()
}

func (sim *simulation) alive(h *home) bool { return slices.Contains(sim.homes, h) }
