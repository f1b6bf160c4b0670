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
	// processes tell each other of one list.
	processes = 4
	// watchWait and deafFor are how long a watch waits, and for how long at most the list
	// may keep changes from watches before it ends them.
	watchWait = 100 * magno.Millis(1)
	deafFor   = 1100 * magno.Millis(1)
)

// fleet is a list, the processes that know it, and what is under way between them.
type fleet struct {
	// now is the true time. Each process has a clock of its own, which nobody compares.
	now    magno.Millis
	clocks []*magno.Clock
	peers  []*Peers
	// written is when the list got each revision; the first is 1.
	written []magno.Millis
	// flying are messages and answers of the list that haven't arrived.
	flying []func()
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

// start has a process begin, or begin anew with nothing known.
func (f *fleet) start(i int) {
	p := &Peers{
		Self: fmt.Sprint(i), Addr: addr(i), Mesh: &wire.Mesh{}, Book: &view.Store{Clock: f.clocks[i]},
		Suspects: &crash.Suspects{Clock: f.clocks[i]}, Clock: f.clocks[i], Log: slog.New(slog.DiscardHandler),
	}
	for j := range processes {
		p.Seeds = append(p.Seeds, addr(j))
	}
	p.Open()
	p.pulling = true // the test fetches by itself
	f.peers[i] = p
}

// power has a process begin anew on a machine that lost power, and whose clock did too.
func (f *fleet) power(t *rapid.T) {
	i := rapid.IntRange(0, processes-1).Draw(t, "who")
	f.clocks[i] = magno.NewClock(magno.Hour + magno.Millis(rapid.IntRange(0, 20_000).Draw(t, "clock")))
	f.start(i)
}

func (f *fleet) write() { f.written = append(f.written, f.now) }

// asOf is the list's newest revision at a time.
func (f *fleet) asOf(at magno.Millis) int64 {
	n := 0
	for n < len(f.written) && f.written[n] <= at {
		n++
	}
	return int64(n)
}

// item is the configuration of a revision.
func item(revision int64) magno.Change { return plan(revision, revision) }

// ask has a process call the list. What comes back is what the list held at some time
// while the call was under way; a stale answer is older, and a watch may be deaf.
func (f *fleet) ask(t *rapid.T, i int) {
	p, asked, began := f.peers[i], f.clocks[i].Now(), f.now
	how := rapid.SampledFrom([]string{"fresh", "stale", "watch"}).Draw(t, "call")
	since := p.Book.Current().Revision
	f.fly(func() {
		if f.peers[i] != p {
			return // it was started anew
		}
		early := began
		switch how {
		case "stale":
			early -= 3 * magno.Second
		case "watch":
			early -= deafFor - watchWait
		}
		at := early + magno.Millis(rapid.Int64Range(0, int64(f.now-early)).Draw(t, "as of"))
		revision := f.asOf(at)
		if revision == 0 {
			return
		}
		changes := []magno.Change{item(revision)}
		if how == "watch" && revision <= since {
			changes, revision = nil, since
		}
		p.Book.ApplyRead(changes, revision, how != "watch")
		switch how {
		case "fresh":
			p.Book.RecordFreshness(revision, asked)
		case "watch":
			p.Book.RecordFreshness(revision, asked-(deafFor-watchWait))
		}
	})
}

func (f *fleet) fly(arrive func()) { f.flying = append(f.flying, arrive) }

// pair draws two processes.
func (f *fleet) pair(t *rapid.T) (from, to int) {
	from = rapid.IntRange(0, processes-1).Draw(t, "from")
	to = (from + rapid.IntRange(1, processes-1).Draw(t, "to")) % processes
	return from, to
}

// hello has a process say hello to another, which answers.
func (f *fleet) hello(t *rapid.T) {
	from, to := f.pair(t)
	p := f.peers[from]
	h := p.self(0, 0)
	if k := p.known[addr(to)]; k != nil {
		h.Proof = p.prove(k.stamped)
	}
	f.fly(func() {
		q := f.peers[to]
		came := q.Book.Clock.Now()
		q.heard(&h)
		reply := q.self(0, 0)
		reply.Proof = q.prove(stamped{stamp: h.Stamp, came: came})
		f.fly(func() {
			if f.peers[from] == p {
				p.heard(&reply)
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

// push has a process tell another what it knows, or only that it is still so.
func (f *fleet) push(t *rapid.T) {
	from, to := f.pair(t)
	p := f.peers[from]
	news := p.Book.Since(0)
	if rapid.Bool().Draw(t, "nothing new") {
		news.Since, news.Changes = news.Revision, nil
	}
	n := Update{Payload: encoded(t, news), From: p.Addr}
	if k := p.known[addr(to)]; k != nil {
		n.Proof = p.prove(k.stamped)
	}
	f.fly(func() { f.peers[to].take(&n, n.From) })
}

// fetch has a process ask another for what it lacks.
func (f *fleet) fetch(t *rapid.T) {
	from, to := f.pair(t)
	p := f.peers[from]
	since := Since{Revision: p.Book.Current().Revision, Stamp: p.stamp()}
	f.fly(func() {
		q := f.peers[to]
		proof := q.prove(stamped{stamp: since.Stamp, came: q.Book.Clock.Now()})
		n := Update{Payload: encoded(t, q.Book.Since(since.Revision)), Proof: proof}
		f.fly(func() {
			if f.peers[from] == p {
				p.take(&n, q.Addr)
			}
		})
	})
}

// arrive has something arrive that is under way, in any order, or be lost.
func (f *fleet) arrive(t *rapid.T) {
	if len(f.flying) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.flying)-1).Draw(t, "which")
	arrive := f.flying[i]
	f.flying = append(f.flying[:i], f.flying[i+1:]...)
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		arrive()
	}
}

func (f *fleet) pass(t *rapid.T) {
	d := magno.Millis(rapid.IntRange(1, 3000).Draw(t, "time"))
	f.now += d
	for _, c := range f.clocks {
		c.Advance(d)
	}
}

// check holds what each process takes its configuration's age to be against the truth.
func (f *fleet) check(t *rapid.T) {
	for i, p := range f.peers {
		at, _ := p.Book.FreshAt()
		if at == 0 {
			continue
		}
		sure := f.now - p.Book.Staleness()
		if known, newest := p.Book.Current().Revision, f.asOf(sure-1); known < newest {
			t.Fatalf("process %d is sure to know what the list held %d ms ago, revision %d, and knows %d",
				i, p.Book.Staleness(), newest, known)
		}
	}
}

// Guards against a process that goes on using keys withdrawn too long ago: messages and
// the list's answers come late, in any order or never, processes start anew, and nobody
// compares clocks. What a process is sure of was so.
func TestNobodyIsSurerThanItMayBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(*rapid.T) { f.write() },
			"ask":    func(t *rapid.T) { f.ask(t, rapid.IntRange(0, processes-1).Draw(t, "who")) },
			"hello":  f.hello,
			"push":   f.push,
			"fetch":  f.fetch,
			"arrive": f.arrive,
			"more":   f.arrive,
			"pass":   f.pass,
			"start":  func(t *rapid.T) { f.start(rapid.IntRange(0, processes-1).Draw(t, "who")) },
			"power":  f.power,
			"":       f.check,
		})
	})
}
