package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

const (
	// refuseWithin is the time after the third end under a request within which all entries
	// must refuse it.
	refuseWithin = 3 * magno.Second
	// maxSuspectRate is what a process may send and receive for control in all, in bytes per
	// second.
	maxSuspectRate = 21_000
	// maxStarted is the size of a fleet up to which a test starts its entries at once.
	maxStarted = 100
	// fleetTick is the step of a helloFleet's time.
	fleetTick = 20 * magno.Millis(1)
)

// helloFleet is a number of entries that exchange hellos without a network, on one clock.
type helloFleet struct {
	clock  *magno.Clock
	peers  []*Peers
	byAddr map[string]*Peers
	// bytes are the bytes of suspects that each entry sent and received.
	bytes map[*Peers]int
	// messages counts the messages about ends, hellos left out, that each entry sent.
	messages map[*Peers]int
}

// newHelloFleet starts n entries at once. Those of a fleet above maxStarted have met before, which
// would take most of the time of a test.
func newHelloFleet(t *testing.T, n int) *helloFleet {
	f := &helloFleet{clock: magno.NewClock(magno.Hour), byAddr: map[string]*Peers{}, bytes: map[*Peers]int{}, messages: map[*Peers]int{}}
	for i := range n {
		f.peers = append(f.peers, f.newPeer(i, n))
	}
	if n > maxStarted {
		f.introduceAll()
	}
	f.run(t, magno.Second, func() bool { return false })
	return f
}

// introduceAll makes all entries know that the others are alive.
func (f *helloFleet) introduceAll() {
	for _, p := range f.peers {
		for to, k := range p.known {
			k.hello = f.byAddr[to].newHello(0, len(f.peers))
			k.alive, k.seenAt = true, f.clock.Now()
		}
	}
}

// newPeer returns an entry that knows all n of a fleet.
func (f *helloFleet) newPeer(i, n int) *Peers {
	p := &Peers{
		Self: fmt.Sprint(i), Addr: addr(i), Mesh: &wire.Mesh{}, Book: &view.Store{Clock: f.clock},
		Suspects: &crash.Suspects{Clock: f.clock, PoolSize: func(uint64) int { return n }}, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
	}
	for j := range n {
		p.Seeds = append(p.Seeds, addr(j))
	}
	p.Open()
	f.byAddr[p.Addr] = p
	return p
}

// run exchanges hellos until done or for the given time, and returns the time that passed.
func (f *helloFleet) run(t *testing.T, limit magno.Millis, done func() bool) magno.Millis {
	t.Helper()
	begin := f.clock.Now()
	for n := 0; f.clock.Now()-begin < limit && !done(); n++ {
		f.clock.Advance(fleetTick)
		for i, p := range f.peers {
			due := (n+i)%int(p.pollInterval()/fleetTick) == 0
			select {
			case <-p.wakeup:
				due = true
			default:
			}
			if delay, changed := p.spreadDelay(); changed && delay == 0 {
				due = true
			}
			if !due {
				continue
			}
			f.spread(t, p)
			for to := range p.due() {
				f.exchange(t, p, f.byAddr[to])
			}
		}
	}
	return f.clock.Now() - begin
}

// spread has an entry forward the records of ends that changed.
func (f *helloFleet) spread(t *testing.T, p *Peers) {
	t.Helper()
	since, targets := p.endsToSpread()
	if len(targets) == 0 {
		return
	}
	report := newEndReport(p.Suspects.UpdatedSince(since, maxSuspects))
	params, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	f.messages[p] += len(targets)
	for _, addr := range targets {
		f.count(t, report, p, f.byAddr[addr])
		if _, err := f.byAddr[addr].onEnds(context.Background(), nil, params); err != nil {
			t.Fatal(err)
		}
	}
}

// exchange has an entry send a hello and receive the reply, as sendHello does.
func (f *helloFleet) exchange(t *testing.T, from, to *Peers) {
	t.Helper()
	k := from.known[to.Addr]
	hello := from.newHello(k.hello.MemberHash, k.hello.KnownCount)
	params, err := json.Marshal(hello)
	if err != nil {
		t.Fatal(err)
	}
	f.count(t, hello.EndReport, from, to)
	answer, err := to.onHello(context.Background(), nil, params)
	if err != nil {
		t.Fatal(err)
	}
	reply, _ := answer.(Hello)
	f.count(t, reply.EndReport, from, to)
	k.pending = false
	from.applyHello(&reply)
}

func (f *helloFleet) count(t *testing.T, report EndReport, between ...*Peers) {
	t.Helper()
	if len(report.Ends)+len(report.Generations) == 0 {
		return
	}
	data, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range between {
		f.bytes[p] += len(data)
	}
}

// Guards against a request that reaches upstreams through entries that haven't heard of the third
// end in time, and against hellos that grow with the fleet or with the requests that ran at a crash.
func TestSuspectsReachAllEntries(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newHelloFleet(t, n)
			f.run(t, 2*magno.Second, func() bool { return false }) // the hellos of the start are over
			for i := range uint64(64) {                            // one engine's requests, each the only one of its entry
				endUnder(f.peers[int(i)%n].Suspects, 1000+i, 1)
			}
			for i := range uint64(3) {
				endUnder(f.peers[i].Suspects, 77, i+1)
			}
			clear(f.bytes)
			refused := func() bool {
				for _, p := range f.peers {
					if !p.Suspects.MustRefuse(77) {
						return false
					}
				}
				return true
			}
			took := f.run(t, refuseWithin, refused)
			if !refused() {
				t.Errorf("not refused by all within %d ms", took)
			}
			const window = 10 * magno.Second
			f.run(t, window-took, func() bool { return false })
			most, sum := 0, 0
			for _, b := range f.bytes {
				most, sum = max(most, b), sum+b
			}
			rate := most / int(window/magno.Second)
			t.Logf("refused by all after %d ms; bytes of suspects in 10 s: %d a second on average, %d at the busiest", took, sum/n/int(window/magno.Second), rate)
			if rate > maxSuspectRate {
				t.Errorf("suspects take %d bytes a second of an entry, want %d at most", rate, maxSuspectRate)
			}
			clear(f.bytes)
			f.run(t, suspectMaxAge, func() bool { return false })
			if len(f.bytes) > 0 {
				t.Errorf("%d entries still send suspects that all know", len(f.bytes))
			}
			f.restart(t, n)
		})
	}
}

// Guards against an entry that starts twice within repeatInterval and doesn't learn of suspects the second time: by
// the digests both incarnations are the same, but what the first one was sent is lost.
func TestEntryThatRestartsTwiceLearnsSuspects(t *testing.T) {
	f := newHelloFleet(t, 2)
	p := f.peers[0]
	for i := range uint64(3) {
		endUnder(p.Suspects, 77, i+1)
	}
	f.clock.Advance(suspectMaxAge + magno.Second) // the ends are no longer in each hello
	hello := Hello{Addr: addr(1)}
	for _, step := range []struct {
		name        string
		incarnation uint64
		sent        bool
	}{
		{"first incarnation", 1, true},
		{"the same again", 1, false},
		{"second incarnation", 2, true},
		{"the same again", 2, false},
	} {
		hello.Stamp.Incarnation = step.incarnation
		p.applyHello(&hello)
		if report := p.replyEnds(&hello); (len(report.Ends) > 0) != step.sent {
			t.Errorf("%s: got %+v, want ends: %t", step.name, report, step.sent)
		}
	}
}

// restart replaces an entry, which must learn the suspect as soon as it hears of others.
func (f *helloFleet) restart(t *testing.T, n int) {
	t.Helper()
	fresh := f.newPeer(0, n)
	f.peers[0] = fresh
	took := f.run(t, refuseWithin, func() bool { return fresh.Suspects.MustRefuse(77) })
	if !fresh.Suspects.MustRefuse(77) {
		t.Errorf("an entry that starts doesn't refuse the request after %d ms", took)
	}
	t.Logf("refused by an entry that starts after %d ms", took)
}

// Guards against changes that are sent to a slow peer once more, with the next message, and against changes that are
// in none.
func TestDeliveryHasEachChangeOnce(t *testing.T) {
	f := newHelloFleet(t, 2)
	p, to := f.peers[0], addr(1)
	begin := f.clock.Now()
	if !p.startDelivery(to, begin-spreadInterval) {
		t.Fatal("a message is on its way already")
	}
	if since, _ := p.nextDelivery(to); since != begin-spreadInterval {
		t.Errorf("the first message has changes since %d, want %d", since, begin-spreadInterval)
	}
	f.clock.Advance(spreadInterval)
	if p.startDelivery(to, begin-1) {
		t.Error("a second message is sent beside the first one")
	}
	if since, more := p.finishDelivery(to); !more || since != begin-1 {
		t.Errorf("the second message has changes since %d, %t; want %d", since, more, begin-1)
	}
	if _, more := p.finishDelivery(to); more {
		t.Error("a third message is sent without a change")
	}
	if !p.startDelivery(to, f.clock.Now()) {
		t.Error("the peer gets no further message")
	}
}

// Guards against ends that are dropped because an entry of an older version sends them, as a list without generations.
func TestEndsOfAnOlderVersionAreRecorded(t *testing.T) {
	f := newHelloFleet(t, 2)
	p := f.peers[0]
	for i := range uint64(3) {
		params, err := json.Marshal([]Ending{{UpstreamEnd: magno.UpstreamEnd{Upstream: i + 1}, Ran: []uint64{77}}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.onEnds(context.Background(), nil, params); err != nil {
			t.Fatal(err)
		}
	}
	if n := p.Suspects.Count(77); n != 3 {
		t.Errorf("%d ends are recorded, want 3", n)
	}
	for _, malformed := range []string{`"x"`, `[1]`, `{"ends":1}`, ``} {
		if _, err := p.onEnds(context.Background(), nil, json.RawMessage(malformed)); err == nil {
			t.Errorf("%s is accepted", malformed)
		}
	}
}
