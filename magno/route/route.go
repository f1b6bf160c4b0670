// Package route selects the targets for work of one pool.
//
//	Ref --> ring ----> two hash candidates --+
//	  |                                      +--> least cost first --> names
//	  +--> holders --> up to four of them ---+        ^
//	                                                  |
//	Report, Sent, Ended --> wait, adapters held, pace, failures
//
// Load pattern: a few adapters take most requests and thousands share the rest.
// Upstreams hold few adapters each, and some are slow, fail or flap. Random selection
// would load each adapter wherever its requests happen to go, let hot adapters evict
// all others, and send a slow upstream its full share of callers.
//
// The cost of a target is the sum of its reported wait, decayed with the report's age,
// the work sent since, the longer run on a slow target and, where the adapter isn't
// held, the reported wait for a load plus a margin. A hot adapter thus gets a further
// replica when the wait at its holders exceeds a load by the margin, and keeps it until
// that upstream's own demand for it is the lowest. The margin and the decay of demand
// provide the hysteresis.
package route

import (
	"math"
	"math/rand/v2"
	"sync"

	"magnoliastall.example/magno"
)

// Plugin is the name under which the router is registered.
const Plugin = "near"

const (
	// maxNames is the number of names in a choice.
	maxNames = 4
	// hashCandidates and maxHolders are how many hash candidates and holders are
	// considered: the better of two brings most of the gain of considering all
	// (Mitzenmacher, 2001).
	hashCandidates = 2
	maxHolders     = 4
	// maxMemHolders is how many targets with the adapter in host memory are considered.
	maxMemHolders = 4
	// waitSlack is by how much the wait at the first target of a choice may exceed that
	// at the second: about the round trip that it takes to find out.
	waitSlack = 10 * magno.Millis(1)
	// maxHashScan is how many ring positions are scanned past targets that already hold
	// the adapter. It limits the replicas of a hot adapter to about maxHashScan/2.
	maxHashScan = 64
)

// Tuning holds the parameters of the cost; zero values mean the defaults.
type Tuning struct {
	// LoadMargin is how much longer than a load the wait at the holders must be until
	// another target loads the adapter.
	LoadMargin magno.Millis
	// HashStep is the cost of each further hash candidate. Entries choose the same
	// first one unless its wait is longer by that much.
	HashStep magno.Millis
	// PrefixStep is the cost of each step away from the holder that the prompt's prefix
	// selects.
	PrefixStep magno.Millis
	// RemoteCost is the cost of a target in another data centre.
	RemoteCost magno.Millis
	// WorkWeight is the share of a target's outstanding work that counts as cost.
	WorkWeight float64
	// MinLoad is the lower bound of the wait for a load, whatever was reported.
	MinLoad magno.Millis
	// TokenDelay is by how many milliseconds a token of work delays other work at a
	// target; zero means that it is learned from answers.
	TokenDelay float64
}

// Defaults; docs/DECIDE.md gives the reasons.
const (
	defaultLoadMargin = 2000 * magno.Millis(1)
	defaultHashStep   = 300 * magno.Millis(1)
	defaultPrefixStep = 100 * magno.Millis(1)
	defaultRemoteCost = 5 * magno.Millis(1)
	defaultWorkWeight = 0.05
	// defaultMinLoad is also the wait for a load where none was reported yet.
	defaultMinLoad = 500 * magno.Millis(1)
)

func init() {
	magno.Register(magno.PluginRouter, Plugin, func() any { return &Router{} })
}

// Router implements magno.Router. Its exported fields are set before use.
type Router struct {
	// Clock may be nil for the system clock.
	Clock *magno.Clock
	// Seed makes the choice among equals differ between entries.
	Seed uint64
	// DataCentre is the entry's own, for queries that state none.
	DataCentre string
	Tuning     Tuning

	mu    sync.Mutex
	rand  *rand.Rand
	peers map[string]*peer
	ring  *ring
	// holders have an adapter loaded, memHolders have it in host memory only.
	holders, memHolders index
	// logPace is the logarithm of the pool's milliseconds per token of answers,
	// tokenDelay the milliseconds by which a token of queued work delays a job.
	logPace, tokenDelay float64
	// candidates is a buffer that Choose reuses.
	candidates []candidate
}

func (r *Router) setup() {
	if r.rand != nil {
		return
	}
	t := &r.Tuning
	defaultTo(&t.LoadMargin, defaultLoadMargin)
	defaultTo(&t.HashStep, defaultHashStep)
	defaultTo(&t.PrefixStep, defaultPrefixStep)
	defaultTo(&t.RemoteCost, defaultRemoteCost)
	defaultTo(&t.MinLoad, defaultMinLoad)
	if t.WorkWeight == 0 {
		t.WorkWeight = defaultWorkWeight
	}
	r.tokenDelay = t.TokenDelay
	r.rand = rand.New(rand.NewPCG(r.Seed, 2))
	r.peers, r.holders, r.memHolders = map[string]*peer{}, index{}, index{}
	r.ring = newRing(nil)
}

func defaultTo(field *magno.Millis, value magno.Millis) {
	if *field == 0 {
		*field = value
	}
}

// Update replaces the targets. The state of those that stay is kept.
func (r *Router) Update(targets []magno.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup()
	old := r.peers
	r.peers = make(map[string]*peer, len(targets))
	active := make([]*peer, 0, len(targets))
	for _, t := range targets {
		p := old[t.Name]
		if p == nil {
			p = &peer{name: t.Name, weight: 1}
		}
		p.dc, p.leaving, p.build = t.DataCentre, t.Leaving, t.Build
		r.peers[t.Name] = p
		if !t.Leaving {
			active = append(active, p)
		}
	}
	for name, p := range old {
		if r.peers[name] == nil {
			r.updateIndexes(p, nil, nil)
		}
	}
	r.ring = newRing(active)
}

// Report takes the backlog that an answer of name carried.
func (r *Router) Report(name string, b magno.Backlog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return
	}
	r.updateIndexes(p, b.Warm, b.Cached)
	p.report, p.reportedAt, p.sentWork = b, r.Clock.Now(), 0
}

// updateIndexes replaces the adapters that p reported as loaded and as in memory.
func (r *Router) updateIndexes(p *peer, loaded, inMemory []uint32) {
	r.holders.update(p, p.report.Warm, loaded)
	r.memHolders.update(p, p.report.Cached, inMemory)
	p.report.Warm, p.report.Cached = loaded, inMemory
}

// Rest excludes the named target from choices until the given time.
//
// Load pattern: an upstream under stress turns requests away and says when it accepts them
// again. If it were offered more meanwhile, each would cost it work, and its caller a round
// trip and a retry.
func (r *Router) Rest(name string, until magno.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil {
		p.restUntil = max(p.restUntil, until)
	}
}

// EndRest offers work to the named target again: it restarted since it asked for rest.
func (r *Router) EndRest(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil {
		p.restUntil = 0
	}
}

// Sent records that work was sent; a negative amount takes back work that wasn't.
func (r *Router) Sent(name string, work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil {
		p.sentWork = max(p.sentWork+work, 0) // a report in between may have reset it
		p.outstanding += work
	}
}

// Ended records that work was answered after took; ok is false when the target failed
// or couldn't be reached.
func (r *Router) Ended(name string, work int, took magno.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return
	}
	p.outstanding -= work
	now := r.Clock.Now()
	p.recordResult(now, ok)
	// A refusal comes back at once and doesn't show the pace.
	if !ok || work <= 0 || took < maxRefusalTime {
		return
	}
	if r.Tuning.TokenDelay > 0 {
		return
	}
	pace := math.Log(float64(took) / float64(work))
	if r.tokenDelay == 0 {
		r.logPace, r.tokenDelay = pace, math.Exp(pace)
	}
	p.recordPace(now, pace-r.logPace)
	r.logPace += paceGain * (pace - r.logPace)
	// By Little's law, a target with so many jobs completes one token per pace/jobs.
	jobs := max(p.report.Running+p.report.Queued, 1)
	r.tokenDelay += paceGain * (math.Exp(pace)/float64(jobs) - r.tokenDelay)
}

// maxRefusalTime is the time within which an answer is likely a refusal: less than any
// run on an engine, more than a round trip.
const maxRefusalTime = 20 * magno.Millis(1)

var _ magno.Chooser = (*Router)(nil)
