package once

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/witns"
)

// The sizes of the model. Times are milliseconds of a clock that only the test
// moves.
const (
	skew      magno.Millis = 1000
	retention              = 60 * magno.Second
	begin     magno.Millis = 1_000_000
	handover               = begin + 20*magno.Second // the second roster begins
)

// rules are what a variant of the model breaks on purpose; the zero value
// breaks nothing.
type rules struct {
	quorum   int  // takes the place of the set's quorum
	remember bool // a witness forgets that it started after the key
	doubled  int  // slots that may have two processes at once
	endless  bool // a process with an old configuration uses its roster past its end
	early    bool // "not run" is told before a quorum is held
	ownClock bool // only one Skew is waited after a start
}

// slot is one member's place; the last process is the newest.
type slot struct {
	name   string
	centre int
	// many is true when an old process may go on beside its successor.
	many  bool
	procs []*witness
}

type witness struct {
	*witns.Witness
	clock *magno.Clock
}

// home is one process of an agent that callers send keys to.
type home struct {
	name  string
	book  *book
	clock *magno.Clock
	// stale processes lack the second roster.
	stale bool
	// side is which process of a doubled slot it mostly reaches.
	side int
	// cuts holds a bit for each data centre that it is cut off from.
	cuts int
}

// task is one attempt of a home that asks or is about to run.
type task struct {
	home  *home
	rec   *record
	tries int
	// granted is true between the decision and the run.
	granted bool
	over    bool
	// resting tasks hear nothing until they ask again.
	resting bool
}

// packet is a message on its way.
type packet struct {
	task     *task
	round    int
	question question
	// reply is nil on the way to the witness.
	reply *magno.GrantReply
}

// world is the oracle and all that the decisions run in.
type world struct {
	rules   rules
	now     magno.Millis
	slots   []*slot
	homes   []*home
	tasks   []*task
	packets []packet
	calls   []asked
	clocks  []*magno.Clock
	// churn is how often of ten times something ends or is cut.
	churn int
	// patient tasks wait in resting until all messages are delivered before
	// they ask again.
	patient bool
	resting []*task
	// banded histories start all clocks that start in one event with the same
	// offset, band.
	banded bool
	band   magno.Millis
	// most is the number of keys.
	most   int
	keys   []string
	truths []truth
	made   int
	log    []string
	fault  string
	// verdicts counts how attempts ended, reasons why witnesses refused.
	verdicts [dead + 1]int
	reasons  map[magno.GrantReason]int
	replayed int
}

// bareWorld has slots and no processes.
func bareWorld(r rules) *world {
	w := &world{rules: r, now: begin, reasons: map[magno.GrantReason]int{}}
	for i := range 14 {
		w.slots = append(w.slots, &slot{name: fmt.Sprintf("w%02d", i), centre: i % 7 % 4})
	}
	return w
}

func newWorld(t *rapid.T, r rules) *world {
	w := bareWorld(r)
	w.most = rapid.IntRange(1, 3).Draw(t, "most")
	w.banded = rapid.Bool().Draw(t, "banded")
	w.drawBand(t)
	w.churn = rapid.SampledFrom([]int{1, 2, 4, 10}).Draw(t, "churn")
	if rapid.Bool().Draw(t, "near") {
		w.now = handover - 5*skew
	}
	doubled := rapid.IntRange(0, 13-r.doubled).Draw(t, "doubled") % 7
	for i, s := range w.slots {
		s.many = i%7 >= doubled && i%7 < doubled+r.doubled
		w.startWitness(t, s)
	}
	for i := range 3 {
		w.startHome(t, fmt.Sprintf("h%d", i))
	}
	w.advance(2*skew + 1)
	return w
}

// drawBand chooses the offset of the clocks that start next.
func (w *world) drawBand(t *rapid.T) {
	w.band = rapid.SampledFrom([]magno.Millis{-skew / 2, skew / 2}).Draw(t, "band")
}

func (w *world) startClock(t *rapid.T) *magno.Clock {
	if w.banded {
		c := magno.NewClock(w.now + w.band)
		w.clocks = append(w.clocks, c)
		return c
	}
	off := rapid.SampledFrom([]magno.Millis{-skew / 2, 0, skew / 2}).Draw(t, "offset")
	c := magno.NewClock(w.now + off)
	w.clocks = append(w.clocks, c)
	return c
}

func (w *world) startWitness(t *rapid.T, s *slot) {
	c := w.startClock(t)
	p := &witness{&witns.Witness{Self: s.name, Clock: c, Retention: retention, MaxSkew: skew, MaxKeys: 100}, c}
	if late := w.backdate(c.Now()); late > 0 {
		p.Clock = magno.NewClock(c.Now() - late)
		p.Open()
		p.Clock.Advance(late)
		w.clocks[len(w.clocks)-1], p.clock = p.Clock, p.Clock
	}
	p.Open()
	if !s.many {
		s.procs = nil
	}
	s.procs = append(s.procs, p)
	w.note("start witness %s #%d", s.name, len(s.procs))
}

// backdate is by how much a witness takes its start too early.
func (w *world) backdate(now magno.Millis) magno.Millis {
	switch {
	case w.rules.remember:
		return now
	case w.rules.ownClock:
		return skew
	}
	return 0
}

func (w *world) startHome(t *rapid.T, name string) {
	w.made++
	h := &home{name: name, clock: w.startClock(t), stale: rapid.Bool().Draw(t, "stale")}
	h.side = rapid.IntRange(0, 1).Draw(t, "side")
	h.book = newBook(name, fmt.Sprint(w.made), skew, retention, 100, 1<<20)
	w.homes = append(w.homes, h)
	w.note("start home %s/%d stale=%v", name, w.made, h.stale)
}

func (w *world) advance(d magno.Millis) {
	w.now += d
	for _, c := range w.clocks {
		c.Advance(d)
	}
	w.note("now %d", w.now)
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

// rosters are two that share no member.
func (w *world) rosters(h *home) []magno.Roster {
	first := magno.Roster{Since: 0, Until: handover, Places: map[string]string{}}
	second := magno.Roster{Since: handover, Until: 10 * handover, Places: map[string]string{}}
	for i, s := range w.slots {
		r := &first
		if i >= 7 {
			r = &second
		}
		r.Members = append(r.Members, s.name)
		r.Places[s.name] = fmt.Sprint(s.centre)
	}
	if !h.stale {
		return []magno.Roster{first, second}
	}
	if w.rules.endless {
		first.Until = second.Until
	}
	return []magno.Roster{first}
}

// issue makes a key by a caller whose clock may be off by any span: nothing
// may rest on the clocks of callers.
func (w *world) issue(t *rapid.T) {
	at := w.now + rapid.SampledFrom([]magno.Millis{-3 * skew, 0, 0, skew / 2, 3 * skew / 2, 3 * skew}).Draw(t, "issued")
	w.issueAt(at)
}

func (w *world) issueAt(at magno.Millis) {
	w.keys = append(w.keys, key(at, len(w.keys)))
	w.truths = append(w.truths, truth{})
	w.note("key %d at %d", len(w.keys)-1, at)
}

// send gives a key to one home, for a request with the body.
func (w *world) send(h *home, key int, body uint64) {
	o := h.book.open(h.clock.Now(), w.rosters(h), Call{Key: w.keys[key], BodyHash: body})
	w.note("send key %d body %d to %s: %+v", key, body, h.book.holder, o.refusal)
	if o.refusal != nil {
		w.told(asked{key: key, body: body}, magno.RunReply{Refusal: o.refusal})
		return
	}
	w.calls = append(w.calls, asked{key, body, o.attempt})
	if o.record.state == done {
		w.replayed++
	}
	w.collect()
	if o.ask || o.run {
		k := &task{home: h, rec: o.record, granted: o.run}
		w.tasks = append(w.tasks, k)
		if o.ask {
			w.ask(k)
		}
	}
}

func (w *world) ask(k *task) {
	k.tries++
	k.resting = false
	if w.rules.quorum > 0 {
		k.rec.claim.set.Quorum = w.rules.quorum
	}
	for _, q := range k.home.book.ask(k.rec) {
		w.packets = append(w.packets, packet{task: k, round: k.rec.round, question: q})
	}
}

// deliver hands over one message, unless it is cut off. A slot's process gets
// it that the sender mostly reaches, or another when astray.
func (w *world) deliver(p packet, astray int) {
	s := w.slots[slices.IndexFunc(w.slots, func(s *slot) bool { return s.name == p.question.member })]
	if p.task.home.cuts>>s.centre&1 == 1 {
		return
	}
	if p.reply == nil {
		reply := s.procs[(p.task.home.side+astray)%len(s.procs)].Grant(p.question.call)
		p.reply = &reply
		w.reasons[reply.Reason]++
		w.note("%s asked by %s cede=%q: %+v", s.name, p.question.call.Holder, p.question.call.Cede, reply)
		if p.question.call.Cede == "" {
			w.packets = append(w.packets, p)
		}
		return
	}
	if !p.task.over && !p.task.granted && !p.task.resting && w.alive(p.task.home) {
		v := p.task.home.book.hear(p.task.rec, p.round, p.question.member, *p.reply, true)
		w.decided(p.task, v)
	}
}

// take removes the messages of a task that are on their way and returns them.
func (w *world) take(k *task) (taken []packet) {
	w.packets = slices.DeleteFunc(w.packets, func(p packet) bool {
		if p.task == k {
			taken = append(taken, p)
		}
		return p.task == k
	})
	return taken
}

// expire ends a round; whoever hasn't answered counts as out of reach.
func (w *world) expire(k *task) {
	v := waiting
	for _, m := range k.rec.claim.set.Members {
		v = k.home.book.hear(k.rec, k.rec.round, m, magno.GrantReply{}, false)
	}
	w.decided(k, v)
}

func (w *world) decided(k *task, v verdict) {
	if v == waiting {
		return
	}
	if v == blocked && k.tries < rounds {
		if w.patient {
			k.resting = true
			w.resting = append(w.resting, k)
			return
		}
		w.ask(k)
		return
	}
	v, cede := k.home.book.settle(k.rec)
	w.note("%s settles %d", k.home.book.holder, v)
	w.verdicts[v]++
	k.granted, k.over = v == won, v != won
	for _, q := range cede {
		w.packets = append(w.packets, packet{task: k, question: q})
	}
	w.collect()
}

// finish runs a granted key, or refuses it as a full queue would.
func (w *world) finish(k *task, run bool) {
	key := slices.Index(w.keys, k.rec.key)
	reply := magno.RunReply{Refusal: magno.Refuse(magno.KindBusy, "full")}
	if run {
		text := fmt.Sprint(key, " by ", k.home.book.holder)
		w.truths[key].ran(k.rec.body, text)
		reply = magno.RunReply{Result: &magno.Result{Text: text}}
	}
	w.note("%s ends key %d run=%v", k.home.book.holder, key, run)
	k.over = true
	k.home.book.finish(k.rec, reply)
	w.collect()
}

func (w *world) alive(h *home) bool { return slices.Contains(w.homes, h) }
