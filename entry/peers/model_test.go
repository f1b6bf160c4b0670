package peers

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

const (
	// processes is the number of processes that share one list.
	processes = 4
	// watchWait is the length of a watch, maxWatchLag the time for which the list may
	// withhold changes from a watch before it ends it.
	watchWait   = 100 * magno.Millis(1)
	maxWatchLag = 1100 * magno.Millis(1)
)

// fleet models a list, the processes that read it, and the messages between them.
type fleet struct {
	// now is the true time. Each process has a clock of its own; clocks are never
	// compared.
	now    magno.Millis
	clocks []*magno.Clock
	peers  []*Peers
	// writtenAt holds the time of each revision of the list; the first is 1.
	writtenAt []magno.Millis
	// inFlight are messages and responses of the list that haven't arrived.
	inFlight []func()
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{now: magno.Hour}
	for i := range processes {
		f.clocks = append(f.clocks, magno.NewClock(magno.Millis(rapid.IntRange(0, 1_000_000).Draw(t, "clock"))+magno.Hour))
		f.peers = append(f.peers, nil)
		f.start(i)
	}
	f.write()
	return f
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:7", i) }

// start starts a process, or restarts it with empty state.
func (f *fleet) start(i int) {
	p := &Peers{
		Self: fmt.Sprint(i), Addr: addr(i), Mesh: &wire.Mesh{}, Book: &view.Store{Clock: f.clocks[i]},
		Suspects: &crash.Suspects{Clock: f.clocks[i]}, Clock: f.clocks[i], Log: slog.New(slog.DiscardHandler),
	}
	for j := range processes {
		p.Seeds = append(p.Seeds, addr(j))
	}
	p.Open()
	p.fetching = true // the test does the fetches
	f.peers[i] = p
}

// restartWithNewClock restarts a process on a machine whose clock was reset by a loss of
// power.
func (f *fleet) restartWithNewClock(t *rapid.T) {
	i := rapid.IntRange(0, processes-1).Draw(t, "who")
	f.clocks[i] = magno.NewClock(magno.Hour + magno.Millis(rapid.IntRange(0, 20_000).Draw(t, "clock")))
	f.start(i)
}

func (f *fleet) write() { f.writtenAt = append(f.writtenAt, f.now) }

// asOf returns the list's newest revision at a time.
func (f *fleet) asOf(at magno.Millis) magno.Revision {
	n := 0
	for n < len(f.writtenAt) && f.writtenAt[n] <= at {
		n++
	}
	return magno.Revision(n)
}

// item returns the configuration of a revision.
func item(revision magno.Revision) magno.Change { return plan(int64(revision), revision) }

// callList makes a process call the list. The response is what the list held at some time
// during the call. A stale read may be older, and a watch may miss recent changes.
func (f *fleet) callList(t *rapid.T, i int) {
	p, asked, began := f.peers[i], f.clocks[i].Now(), f.now
	kind := rapid.SampledFrom([]string{"fresh", "stale", "watch"}).Draw(t, "call")
	since := p.Book.Current().Revision
	f.send(func() {
		if f.peers[i] != p {
			return // the process was restarted
		}
		earliest := began
		switch kind {
		case "stale":
			earliest -= 3 * magno.Second
		case "watch":
			earliest -= maxWatchLag - watchWait
		}
		at := earliest + magno.Millis(rapid.Int64Range(0, int64(f.now-earliest)).Draw(t, "as of"))
		revision := f.asOf(at)
		if revision == 0 {
			return
		}
		changes := []magno.Change{item(revision)}
		if kind == "watch" && revision <= since {
			changes, revision = nil, since
		}
		p.Book.ApplyRead(changes, revision, kind != "watch")
		switch kind {
		case "fresh":
			p.Book.RecordFreshness(revision, asked)
		case "watch":
			p.Book.RecordFreshness(revision, asked-(maxWatchLag-watchWait))
		}
	})
}

func (f *fleet) send(arrive func()) { f.inFlight = append(f.inFlight, arrive) }

// pair draws two different processes.
func (f *fleet) pair(t *rapid.T) (from, to int) {
	from = rapid.IntRange(0, processes-1).Draw(t, "from")
	to = (from + rapid.IntRange(1, processes-1).Draw(t, "to")) % processes
	return from, to
}

// hello makes a process exchange hellos with another one.
func (f *fleet) hello(t *rapid.T) {
	from, to := f.pair(t)
	p := f.peers[from]
	h := p.newHello(0, 0)
	if k := p.known[addr(to)]; k != nil {
		h.Proof = p.freshnessProof(k.lastStamp)
	}
	f.send(func() {
		q := f.peers[to]
		receivedAt := q.Book.Clock.Now()
		q.applyHello(&h)
		reply := q.newHello(0, 0)
		reply.Proof = q.freshnessProof(receivedStamp{stamp: h.Stamp, receivedAt: receivedAt})
		f.send(func() {
			if f.peers[from] == p {
				p.applyHello(&reply)
			}
		})
	})
}

func encoded(t *rapid.T, n view.Update) json.RawMessage {
	data, err := json.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// pushUpdate makes a process send another one its configuration, or a confirmation that it
// is unchanged.
func (f *fleet) pushUpdate(t *rapid.T) {
	from, to := f.pair(t)
	p := f.peers[from]
	update := p.Book.Since(0)
	if rapid.Bool().Draw(t, "nothing new") {
		update.Since, update.Changes = update.Revision, nil
	}
	u := Update{Payload: encoded(t, update), From: p.Addr}
	if k := p.known[addr(to)]; k != nil {
		u.Proof = p.freshnessProof(k.lastStamp)
	}
	f.send(func() { f.peers[to].receive(&u, u.From) })
}

// fetch makes a process request from another one the changes that it lacks.
func (f *fleet) fetch(t *rapid.T) {
	from, to := f.pair(t)
	p := f.peers[from]
	req := Since{Revision: p.Book.Current().Revision, Stamp: p.stamp()}
	f.send(func() {
		q := f.peers[to]
		proof := q.freshnessProof(receivedStamp{stamp: req.Stamp, receivedAt: q.Book.Clock.Now()})
		u := Update{Payload: encoded(t, q.Book.Since(req.Revision)), Proof: proof}
		f.send(func() {
			if f.peers[from] == p {
				p.receive(&u, q.Addr)
			}
		})
	})
}

// deliver delivers or drops one of the messages in flight, in any order.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "which")
	arrive := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		arrive()
	}
}

func (f *fleet) advance(t *rapid.T) {
	d := magno.Millis(rapid.IntRange(1, 3000).Draw(t, "time"))
	f.now += d
	for _, c := range f.clocks {
		c.Advance(d)
	}
}

// check compares the freshness that each process assumes with the true one.
func (f *fleet) check(t *rapid.T) {
	for i, p := range f.peers {
		at, _ := p.Book.FreshAt()
		if at == 0 {
			continue
		}
		freshAt := f.now - p.Book.Staleness()
		if known, newest := p.Book.Current().Revision, f.asOf(freshAt-1); known < newest {
			t.Fatalf("process %d assumes that it has what the list held %d ms ago, revision %d, but has revision %d",
				i, p.Book.Staleness(), newest, known)
		}
	}
}

// Guards against a process that goes on using keys revoked too long ago. Messages and
// responses of the list are delayed, reordered or lost, processes restart, and clocks are
// never compared; no process may assume a configuration fresher than the one it has.
func TestFreshnessIsNeverOverstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(*rapid.T) { f.write() },
			"ask":    func(t *rapid.T) { f.callList(t, rapid.IntRange(0, processes-1).Draw(t, "who")) },
			"hello":  f.hello,
			"push":   f.pushUpdate,
			"fetch":  f.fetch,
			"arrive": f.deliver,
			"more":   f.deliver,
			"pass":   f.advance,
			"start":  func(t *rapid.T) { f.start(rapid.IntRange(0, processes-1).Draw(t, "who")) },
			"power":  f.restartWithNewClock,
			"":       f.check,
		})
	})
}
