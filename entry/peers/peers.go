// Package peers maintains the membership of the entries and distributes the changes that
// one of them read from the platform's list.
//
//	seeds <--hello--> peers <--hello, every 400 ms--> all other entries
//	reads --Broadcast--> update --> Book of every other entry
//	higher revision in a hello --> items request --> Book
//	later incarnation at an agent --FetchRevision--> items request --> Book
//
// The platform doesn't list the system's own processes: a process starts from the seeds
// in its settings and learns of further entries from their hellos.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	// helloInterval is the time between two hellos to a peer; helloTimeout bounds its
	// answer. Above helloScaleFrom peers the interval grows with their number, which
	// keeps the rate of hellos that an entry sends constant.
	helloInterval  = 400 * magno.Millis(1)
	helloTimeout   = 350 * magno.Millis(1)
	helloScaleFrom = 6
	// lostAfterMisses is the number of consecutive failed hellos after which a peer is
	// considered lost, forgetAfterMisses that after which it is no longer contacted.
	lostAfterMisses   = 2
	forgetAfterMisses = 150
	// silentProbeInterval is the time between two hellos to a peer after forgetAfterMisses.
	silentProbeInterval = 5 * magno.Second
	// Readers is the number of entries that read the list. With a single reader, its loss
	// would delay a change by the second that the others need to detect it.
	Readers = 2
	// maxHomes is the number of entries that keep the quotas of all customers.
	maxHomes = 4
	// staleAge is the age of the configuration from which a process reads the list itself,
	// whatever its rank.
	staleAge = 2500 * magno.Millis(1)
	// takeoverStep is the additional delay per rank before an entry takes over reading:
	// about the time to read the list and update all others. maxTakeoverDelay bounds the
	// sum.
	takeoverStep     = 40 * magno.Millis(1)
	maxTakeoverDelay = magno.Second
	// maxProbes bounds the concurrent hellos to entries that aren't known to be alive. An
	// entry that joins a large fleet learns of all others at once, and a small machine
	// can't send that many hellos at a time.
	maxProbes = 32
	// maxSampledPeers bounds the entries listed in a hello to one that knows most of them.
	maxSampledPeers = 16
	// suspectMaxAge is how long a change of a suspect is repeated in hellos.
	// maxSuspects bounds the suspects in one hello: a crash makes every request that ran
	// there a suspect, and sending the whole list in each hello would saturate the links of
	// small machines after a few crashes.
	suspectMaxAge = 2 * magno.Second
	maxSuspects   = 64
	// maxSerious bounds the suspects that are sent to an entry which lacks some.
	maxSerious = 16
	// listRetryInterval is how often an entry that can't reach the list retries while
	// others read it. While none of them can, it retries after listRetryStep for each
	// entry that ranks ahead of it.
	listRetryInterval = 3 * magno.Second
	listRetryStep     = 100 * magno.Millis(1)
	// minFetchTimeout bounds a fetch of items. It doubles with each fetch that timed out,
	// up to maxFetchTimeout: all items may take seconds over a narrow link.
	minFetchTimeout = magno.Second
	maxFetchTimeout = 8 * magno.Second
	// updateTimeout bounds the delivery of an update to one peer.
	updateTimeout = 500 * magno.Millis(1)
	// updateQueueLen bounds the updates that wait to be sent.
	updateQueueLen = 64
)

// Peers is the membership service of an entry. Fields are set before Open.
type Peers struct {
	// Self and Addr are this entry's name and address, LinkMbps is the bandwidth of its
	// machine in Mbit/s.
	Self, Addr string
	LinkMbps   float64
	DataCentre string
	// Seeds are the addresses that the settings name. SetSeeds replaces them.
	Seeds    []string
	Mesh     *wire.Mesh
	Book     *view.Store
	Suspects *crash.Suspects
	// Leaving reports whether this entry is shutting down. May be nil, for never.
	Leaving func() bool
	// Demand returns this entry's own Hello.Demand. May be nil.
	Demand func() map[string]float64
	Clock  *magno.Clock
	Log    *slog.Logger

	// startedAt is the start time of this process.
	startedAt magno.Millis
	// incarnation distinguishes this process's stamps from those of an earlier one.
	incarnation uint64

	mu    sync.Mutex
	known map[string]*peer
	// joined is true while this entry is in touch with the fleet, or knows how many entries that had.
	// contactAt is when the last hello was received.
	joined    bool
	contactAt magno.Millis
	// loggedContact is the contact to the fleet that was last logged.
	loggedContact contact
	// listReachable is true while the list answers this process. While it doesn't,
	// listTriedAt is the time of the last attempt.
	listReachable bool
	listTriedAt   magno.Millis
	// wakeup holds a token while there are peers to be contacted at once.
	wakeup chan struct{}
	// receivedRevision is the newest revision received in an update from another entry.
	receivedRevision magno.Revision
	updates          chan view.Update
	// fetching is true while a fetch of items is in progress. slowFetches is the number
	// of times that minFetchTimeout is doubled.
	fetching    bool
	slowFetches int
	// wanted is the revision to be fetched next. fetchWakeup holds a token while Run is to fetch it.
	wanted      wantedRevision
	fetchWakeup chan struct{}
	// spreadChange is the change of the suspects up to which they were spread, at spreadAt.
	spreadChange int64
	spreadAt     magno.Millis
	// deliveries are the messages about ends that are on their way, by address.
	deliveries map[string]*delivery
	// compared are the states of this process and a peer for which the last fetch was made.
	compared [2]view.Digest
}

type peer struct {
	hello Hello
	// rank is derived from hello.
	rank   rank
	misses int
	alive  bool
	// initiator is true if this entry is the one of the pair that sends hellos.
	initiator bool
	// refused is true if its machine refuses connections, so no process runs there.
	refused bool
	// forgotten is true if it is silent and no longer counts among those beyond a partition.
	forgotten bool
	seenAt    magno.Millis
	pending   bool
	// askedAt is the time of the last hello to it, learnedAt that at which its address
	// became known, lostAt that at which it was last found to be no longer alive.
	askedAt, learnedAt, lostAt magno.Millis
	// lastStamp is the last stamp received from it.
	lastStamp receivedStamp
	// digests are the pair because of which records were last sent to it, at digestsAt.
	digests   [2]uint64
	digestsAt magno.Millis
}

// Open registers the RPC handlers on the mesh. It is called before the mesh or Peers
// runs.
func (p *Peers) Open() {
	p.known, p.deliveries = map[string]*peer{}, map[string]*delivery{}
	p.startedAt = p.Clock.Now()
	p.incarnation = rand.Uint64() | 1
	p.listReachable = true
	p.updates = make(chan view.Update, updateQueueLen)
	p.wakeup = make(chan struct{}, 1)
	p.fetchWakeup = make(chan struct{}, 1)
	p.addAddrs(p.Seeds)
	p.Mesh.Handle(MethodHello, p.onHello)
	p.Mesh.Handle(MethodUpdate, p.onUpdate)
	p.Mesh.Handle(MethodItems, p.onItems)
	p.Mesh.Handle(MethodEnds, p.onEnds)
}

// Name implements magno.Task.
func (p *Peers) Name() string { return "peers" }

// Run sends hellos and updates until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		for addr, k := range p.due() {
			pending.Add(1)
			go func() {
				defer pending.Done()
				p.sendHello(ctx, addr, k)
			}()
		}
		p.spreadEnds(ctx, &pending)
		p.updateContact()
		wait := p.pollInterval()
		if delay, changed := p.spreadDelay(); changed {
			wait = min(wait, delay)
		}
		timer.Reset(wait.Duration())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.wakeup:
		case <-p.fetchWakeup:
			pending.Add(1)
			go func() {
				defer pending.Done()
				p.fetchWanted(ctx)
			}()
		case u := <-p.updates:
			pending.Add(1)
			go func() {
				defer pending.Done()
				p.sendToAll(ctx, u)
			}()
		}
	}
}

// pollInterval returns the time until due is called again.
func (p *Peers) pollInterval() magno.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasMet() || p.Clock.Now()-p.startedAt > discoveryTime {
		return helloInterval
	}
	return discoveryInterval
}

// hasMet reports whether a hello of another entry was ever received, or none is expected.
// The caller holds mu.
func (p *Peers) hasMet() bool {
	if !p.expectsOthers() {
		return true
	}
	for _, k := range p.known {
		if k.seenAt > 0 {
			return true
		}
	}
	return false
}

// addAddrs adds new addresses, to be contacted at once.
func (p *Peers) addAddrs(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		if addr == "" || addr == p.Addr || p.known[addr] != nil {
			continue
		}
		p.known[addr] = &peer{hello: Hello{Addr: addr}, initiator: p.initiates(addr), learnedAt: p.Clock.Now()}
		p.wake()
	}
}

// wake makes Run contact the peers that are due now.
func (p *Peers) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default: // a wakeup is pending
	}
}

func (p *Peers) sendHello(ctx context.Context, addr string, k *peer) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout.Duration())
	defer cancel()
	p.mu.Lock()
	memberHash, knownCount, last := k.hello.MemberHash, k.hello.KnownCount, k.lastStamp
	if k.seenAt == 0 {
		knownCount = len(p.known) // a peer that knows fewer learns all of them from those that it contacts
	}
	p.mu.Unlock()
	var reply Hello
	h := p.newHello(memberHash, knownCount)
	h.Proof = p.freshnessProof(last)
	err := p.Mesh.Call(ctx, addr, MethodHello, h, &reply)
	p.mu.Lock()
	k.pending = false
	if err != nil {
		k.misses++
		k.refused = errors.Is(err, syscall.ECONNREFUSED)
		if k.alive && k.misses >= lostAfterMisses {
			k.alive, k.lostAt = false, p.Clock.Now()
			p.Log.Info("entry lost", "peer", k.hello.Name, "addr", addr, "error", err)
		}
	}
	p.mu.Unlock()
	if err == nil {
		p.applyHello(&reply)
	}
}

// newHello returns the hello to a peer with the given member hash that knows knownCount
// addresses.
func (p *Peers) newHello(memberHash uint64, knownCount int) Hello {
	h := Hello{
		Name: p.Self, Addr: p.Addr, LinkMbps: p.LinkMbps, DataCentre: p.DataCentre, Digest: p.Book.Digest(), Age: p.Book.Age(),
		EndReport: newEndReport(p.recentEnds()), EndDigest: p.Suspects.Digest(),
	}
	if p.Demand != nil {
		h.Demand = p.Demand()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.ListReachable, h.Leaving = p.listReachable, p.leaving()
	h.Stamp = p.stamp()
	t := p.tally(0)
	h.Joined, h.Uptime, h.Total = p.joined, p.Clock.Now()-p.startedAt, t.total()
	h.KnownCount = len(p.known)
	h.MemberHash = xxhash.Sum64String(p.Addr)
	alive := 0
	for addr, k := range p.known {
		if k.alive {
			h.MemberHash ^= xxhash.Sum64String(addr)
			alive++
		}
	}
	if h.MemberHash != memberHash {
		h.Peers = p.peerSample(alive, knownCount)
	}
	return h
}

// peerSample returns the addresses of live entries for a peer that knows knownCount
// addresses: all of them, or a random sample if it knows most. The caller holds mu.
//
// Load pattern: in a large fleet entries start and stop all the time, so member hashes
// differ most of the time. An entry that starts sends a hello to all others anyway; listing
// every entry in each hello would overload small machines. A small random sample is enough
// for two parts of a fleet to find each other again after a partition.
func (p *Peers) peerSample(alive, knownCount int) []string {
	limit := alive
	if 2*knownCount >= alive {
		limit = min(alive, maxSampledPeers)
	}
	list := make([]string, 0, limit)
	for addr, k := range p.known { // in random order
		if len(list) == limit {
			break
		}
		if k.alive {
			list = append(list, addr)
		}
	}
	return list
}

// applyHello updates the state of a peer from its hello.
func (p *Peers) applyHello(h *Hello) {
	p.addAddrs(append(h.Peers, h.Addr))
	p.mergeEnds(&h.EndReport)
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
	k.hello, k.rank = *h, h.rank()
	k.misses, k.alive, k.refused, k.forgotten, k.seenAt = 0, true, false, false, p.Clock.Now()
	p.contactAt, p.joined = k.seenAt, p.joined || h.Joined
	if h.Stamp.Incarnation != k.lastStamp.stamp.Incarnation {
		k.digests = [2]uint64{} // what its earlier process was sent is lost
	}
	k.lastStamp = receivedStamp{stamp: h.Stamp, receivedAt: p.Book.Clock.Now()}
	p.mu.Unlock()
	if mine := p.Book.Current().Revision; h.Revision == mine && h.Revision > 0 {
		p.apply(view.Update{Since: mine, Revision: h.Revision, Age: h.Age}, h.Addr)
	}
	p.acceptProof(h.Proof)
	p.compare(h)
}
