// Package peers lets the entries know each other, and passes on what one of
// them read of the platform's list.
//
//	seeds --hello--> peers --hello, each 400 ms--> all others
//	reads --Push--> news --> all others' Book
//	a higher revision in a hello --> items --> Book
//
// The platform doesn't list the system's own processes. A process starts from
// the seeds in its settings and learns the rest from whom it meets.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"
)

const (
	// helloEvery is how often each peer is asked; helloTime bounds its answer.
	// With more than helloScale peers the pause grows with their number, so that
	// the hellos of one entry don't.
	helloEvery = 400 * magno.Millis(1)
	helloTime  = 350 * magno.Millis(1)
	helloScale = 6
	// goneAfter is how many hellos in a row must fail until a peer counts as
	// gone, and forgetAfter until it is no longer asked.
	goneAfter   = 2
	forgetAfter = 150
	// Readers is how many entries read the list: with one, its loss would hold
	// up a change for the second that it takes the others to notice.
	Readers = 2
	// mostHomes is how many entries count the allowances of all customers.
	mostHomes = 4
	// staleAge is the age from which a process reads by itself, whoever should.
	staleAge = 2500 * magno.Millis(1)
	// stepIn is how much later each next one does, in the order of readers: about the
	// time to read and to tell all others. stepMost bounds it.
	stepIn   = 40 * magno.Millis(1)
	stepMost = magno.Second
	// mostMeeting bounds the hellos under way to entries that aren't alive. An entry
	// that starts in a large fleet hears of all others at once, and its machine has no
	// room for as many hellos.
	mostMeeting = 32
	// mostNamed bounds the entries that a hello names to one that knows most of them.
	mostNamed = 16
	// seenFor is how long a peer that was alive still counts among those that
	// share the retry allowance: it may only be cut off from here.
	seenFor = 30 * magno.Second
	// meetTime is how long an entry that met nobody counts unmet entries. It asks for
	// others each meetEvery.
	meetTime  = 2 * magno.Second
	meetEvery = 100 * magno.Millis(1)
	unmet     = 16
	// suspectsFor is how long word of a suspect is repeated in hellos: more than the
	// pause between two in a large fleet. mostSuspects bounds them in one: a crash
	// makes suspects of all that ran there, and with the whole list in each hello a
	// few crashes fill the links of small machines.
	suspectsFor  = 10 * magno.Second
	mostSuspects = 64
	// tryEvery is how often an entry that the list refuses tries again while
	// others read for it. While nobody can, it tries later by tryStep for each entry
	// that is to read rather than it.
	tryEvery = 3 * magno.Second
	tryStep  = 100 * magno.Millis(1)
	// pullTime bounds the fetching of items. It doubles with each fetch that took
	// longer, up to pullMost: all items may take seconds over a narrow link.
	pullTime = magno.Second
	pullMost = 8 * magno.Second
	// newsTime bounds the handing over of news to one peer.
	newsTime = 500 * magno.Millis(1)
	// newsRoom bounds news that wait to be sent.
	newsRoom = 64
)

// Peers is the duty. Fields are set before Open.
type Peers struct {
	// Self and Addr are this entry's name and address, Link the bandwidth of its
	// machine in megabits a second.
	Self, Addr string
	LinkMbps   float64
	DataCentre string
	Seeds      []string
	Mesh       *wire.Mesh
	Book       *view.Store
	Suspects   *crash.Suspects
	// Leaving tells whether this entry is to stop; nil for never.
	Leaving func() bool
	Clock   *magno.Clock
	Log     *slog.Logger

	// since is when this process started.
	since magno.Millis
	// life tells this process's stamps from those of an earlier one.
	life uint64

	mu    sync.Mutex
	known map[string]*peer
	// able tells whether the list answers this process, tried when it was last asked
	// while it doesn't.
	able  bool
	tried magno.Millis
	// learned has one while new addresses wait to be asked.
	learned chan struct{}
	// told is the newest revision that others told.
	told int64
	news chan view.Update
	// pulling is true while a fetch of items is under way; pulls doubles pullTime.
	pulling bool
	pulls   int
}

type peer struct {
	hello Hello
	// standing is hello's.
	standing standing
	misses   int
	alive    bool
	// mine is true when this entry is the one of the pair that says hello.
	mine bool
	// ended is true when its machine refuses connections: nothing runs there.
	ended  bool
	seen   magno.Millis
	asking bool
	// asked is when it was asked last, learned when its address was heard of.
	asked, learned magno.Millis
	// stamped is the last stamp that came from it.
	stamped stamped
}

// Open takes the methods on the mesh, before either runs.
func (p *Peers) Open() {
	p.known = map[string]*peer{}
	p.since = p.Clock.Now()
	p.life = rand.Uint64() | 1
	p.able = true
	p.news = make(chan view.Update, newsRoom)
	p.learned = make(chan struct{}, 1)
	p.learn(p.Seeds)
	p.Mesh.Handle(MethodHello, p.onHello)
	p.Mesh.Handle(MethodUpdate, p.onNews)
	p.Mesh.Handle(MethodItems, p.onItems)
}

// Name implements magno.Duty.
func (p *Peers) Name() string { return "peers" }

// Run asks peers until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var working sync.WaitGroup
	defer working.Wait()
	for {
		for addr, known := range p.due() {
			working.Add(1)
			go func() {
				defer working.Done()
				p.ask(ctx, addr, known)
			}()
		}
		timer.Reset(p.pause().Span())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.learned:
		case n := <-p.news:
			working.Add(1)
			go func() {
				defer working.Done()
				p.spread(ctx, n)
			}()
		}
	}
}

// pause is how long until peers are looked at again.
func (p *Peers) pause() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.met() || p.Clock.Now()-p.since > meetTime {
		return helloEvery
	}
	return meetEvery
}

// met tells whether another entry was ever heard, or none is expected. The caller holds
// mu.
func (p *Peers) met() bool {
	if !slices.ContainsFunc(p.Seeds, func(addr string) bool { return addr != p.Addr }) {
		return true
	}
	for _, k := range p.known {
		if k.seen > 0 {
			return true
		}
	}
	return false
}

// learn notes addresses that are new, and has them asked at once.
func (p *Peers) learn(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		if addr == "" || addr == p.Addr || p.known[addr] != nil {
			continue
		}
		p.known[addr] = &peer{hello: Hello{Addr: addr}, mine: p.asks(addr), learned: p.Clock.Now()}
		p.wake()
	}
}

// wake has peers looked at now.
func (p *Peers) wake() {
	select {
	case p.learned <- struct{}{}:
	default: // they are about to be
	}
}

// due lists whom to ask now. Those that are gone are asked a few at a time, and
// given up after a minute, unless they are seeds.
func (p *Peers) due() map[string]*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := map[string]*peer{}
	now := p.Clock.Now()
	pause := helloEvery * magno.Millis(max(len(p.known), helloScale)) / helloScale
	meeting := 0
	for _, k := range p.known {
		if k.asking && !k.alive {
			meeting++
		}
	}
	met := p.met()
	for addr, k := range p.known {
		if k.misses > forgetAfter && !slices.Contains(p.Seeds, addr) {
			delete(p.known, addr)
			continue
		}
		if !k.due(now, pause, met) {
			continue
		}
		if !k.alive {
			if meeting >= mostMeeting {
				continue
			}
			meeting++
		}
		k.asking, k.asked = true, now
		list[addr] = k
	}
	return list
}

// due tells whether an entry is to be asked, given the usual pause between two hellos.
// met is false for an entry that met nobody yet.
func (k *peer) due(now, pause magno.Millis, met bool) bool {
	switch {
	case k.asking:
		return false
	case k.misses > 0:
		return true
	case k.seen == 0:
		// Where both of a pair start at the same time, the other one says hello.
		return k.mine || !met || k.asked > 0 || now-k.learned >= helloEvery
	case !k.mine:
		pause += helloEvery
	}
	return now-max(k.asked, k.seen) >= pause-helloEvery/2
}

// asks tells whether this entry is the one of a pair that says hello; the other is
// told as much by it, and says hello itself only when none came for longer. Else a
// fleet of entries would keep two connections for each pair.
func (p *Peers) asks(addr string) bool {
	mine, theirs := xxhash.Sum64String(p.Addr+addr), xxhash.Sum64String(addr+p.Addr)
	return mine > theirs || (mine == theirs && p.Addr > addr)
}

func (p *Peers) ask(ctx context.Context, addr string, k *peer) {
	ctx, cancel := context.WithTimeout(ctx, helloTime.Span())
	defer cancel()
	p.mu.Lock()
	crowd, known, last := k.hello.MemberHash, k.hello.KnownCount, k.stamped
	if k.seen == 0 {
		known = len(p.known) // whoever knows fewer is told all by those that it asks
	}
	p.mu.Unlock()
	var reply Hello
	h := p.self(crowd, known)
	h.Proof = p.prove(last)
	err := p.Mesh.Call(ctx, addr, MethodHello, h, &reply)
	p.mu.Lock()
	k.asking = false
	if err != nil {
		k.misses++
		k.ended = errors.Is(err, syscall.ECONNREFUSED)
		if k.alive && k.misses >= goneAfter {
			k.alive = false
			p.Log.Info("entry lost", "peer", k.hello.Name, "addr", addr, "error", err)
		}
	}
	p.mu.Unlock()
	if err == nil {
		p.heard(&reply)
	}
}

// self is what this entry tells one with such a crowd that knows so many addresses.
func (p *Peers) self(crowd uint64, known int) Hello {
	snap := p.Book.Current()
	h := Hello{
		Name: p.Self, Addr: p.Addr, LinkMbps: p.LinkMbps, DataCentre: p.DataCentre, Revision: snap.Revision, Age: p.Book.Age(),
		Suspects: p.Suspects.UpdatedSince(p.Suspects.Clock.Now()-suspectsFor, mostSuspects),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.ListReachable, h.Leaving = p.able, p.leaving()
	h.Stamp = p.stamp()
	h.KnownCount = len(p.known)
	h.MemberHash = xxhash.Sum64String(p.Addr)
	alive := 0
	for addr, k := range p.known {
		if k.alive {
			h.MemberHash ^= xxhash.Sum64String(addr)
			alive++
		}
	}
	if h.MemberHash != crowd {
		h.Peers = p.names(alive, known)
	}
	return h
}

// names lists entries that are alive, to one that knows so many addresses: all of them,
// or a few of many where it knows most.
//
// Load pattern: entries start and stop all the time in a large fleet, so crowds differ
// most of the time. An entry that starts says hello to all by itself; naming everybody in
// each hello, weak machines would do nothing else. A few at random are enough for two
// parts of a fleet that were cut off from each other to meet again. The caller holds mu.
func (p *Peers) names(alive, known int) []string {
	most := alive
	if 2*known >= alive {
		most = min(alive, mostNamed)
	}
	list := make([]string, 0, most)
	for addr, k := range p.known { // in random order
		if len(list) == most {
			break
		}
		if k.alive {
			list = append(list, addr)
		}
	}
	return list
}

// heard takes what a peer told of itself.
func (p *Peers) heard(h *Hello) {
	p.learn(append(h.Peers, h.Addr))
	p.Suspects.Merge(h.Suspects)
	p.mu.Lock()
	k := p.known[h.Addr]
	if k == nil { // it is this entry itself
		p.mu.Unlock()
		return
	}
	if !k.alive {
		p.Log.Info("entry found", "peer", h.Name, "addr", h.Addr, "rev", h.Revision)
		p.wake()
	}
	k.hello, k.standing = *h, h.standing()
	k.misses, k.alive, k.ended, k.seen = 0, true, false, p.Clock.Now()
	k.stamped = stamped{stamp: h.Stamp, came: p.Book.Clock.Now()}
	p.mu.Unlock()
	if mine := p.Book.Current().Revision; h.Revision == mine && h.Revision > 0 {
		p.heed(view.Update{Since: mine, Revision: h.Revision, Age: h.Age}, h.Addr)
	}
	p.vouch(h.Proof)
	p.follow(h.Addr, h.Revision)
}
