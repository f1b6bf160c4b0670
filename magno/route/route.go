// Package route decides where work of one pool goes.
//
//	Ref --> ring ----> two hash candidates --+
//	  |                                      +--> least cost first --> names
//	  +--> holders --> up to four of them ---+        ^
//	                                                  |
//	Report, Sent, Ended --> wait, adapters held, pace, failures
//
// Load pattern: a few adapters take most requests and thousands take the
// rest; upstreams hold few adapters each and now and then one is slow, fails
// or flaps. Without it each adapter is loaded wherever chance sends its
// requests, hot ones push all else out of the slots, and a slow upstream holds
// up its full share of callers.
//
// The cost of a target is its reported wait, aged, the work sent there since,
// the longer run on a slow target, and, where the adapter isn't held, the
// reported wait for a load plus a margin. A hot adapter so gets a further
// replica when the wait at its holders exceeds a load by the margin, and
// keeps it until an upstream's own demand for it is the least: the margin on
// one side and decayed demand on the other are the hysteresis.
package route

import (
	"math"
	"math/rand/v2"
	"sync"

	"magnoliastall.example/magno"
)

// Plugin is the name under which the router registers itself.
const Plugin = "near"

const (
	// most is how many names a route returns.
	most = 4
	// hashed is how many hash candidates are looked at, held how many
	// holders: the better of two brings most of the gain of looking at all
	// (Mitzenmacher, 2001).
	hashed = 2
	held   = 4
	// kept is how many targets that have the adapter in their memory are looked
	// at.
	kept = 4
	// mostSlack is by how much the wait at the first of a choice may be longer
	// than that at the second: about the exchange that finds out.
	mostSlack = 10 * magno.Millis(1)
	// reach is how far the hash candidates are looked for past those that hold
	// the adapter already: it bounds the replicas of a hot one to about half of it.
	reach = 64
)

// Tuning holds what measurements set; zero values mean the defaults.
type Tuning struct {
	// LoadMargin is how much longer than a load the wait at the holders must be
	// until another target loads the adapter, in milliseconds.
	LoadMargin magno.Millis
	// HashStep is the cost of each further hash candidate: entries agree on the
	// first unless its wait is longer by that much.
	HashStep magno.Millis
	// PrefixStep is the cost of leaving the holder that a prompt's start chooses.
	PrefixStep magno.Millis
	// RemoteCost is the cost of another data centre.
	RemoteCost magno.Millis
	// WorkWeight is the share of a target's outstanding work that counts as cost.
	WorkWeight float64
	// MinLoad is the least wait for a load that counts, whatever was reported.
	MinLoad magno.Millis
	// TokenDelay is by how many milliseconds a token of work delays others at a
	// target; zero means that it is learned from answers.
	TokenDelay float64
}

// Defaults, with their grounds in docs/DECIDE.md.
const (
	defaultMargin = 2000 * magno.Millis(1)
	defaultOrder  = 300 * magno.Millis(1)
	defaultPrefix = 100 * magno.Millis(1)
	defaultFar    = 5 * magno.Millis(1)
	defaultBusy   = 0.05
	// defaultLoad is Load's default; also the wait where none was reported yet.
	defaultLoad = 500 * magno.Millis(1)
)

func init() {
	magno.Register(magno.SortRouter, Plugin, func() any { return &Router{} })
}

// Router implements magno.Router. Its exported fields are set before use.
type Router struct {
	// Clock may be nil: the machine's clock.
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
	// holders have an adapter loaded, keepers in their memory only.
	holders, keepers index
	// pace is the logarithm of milliseconds a token of answers, cost the
	// milliseconds by which a token of queued work delays a job.
	pace, cost float64
	// list is scratch of Route.
	list []scored
}

func (r *Router) setup() {
	if r.rand != nil {
		return
	}
	t := &r.Tuning
	defaultTo(&t.LoadMargin, defaultMargin)
	defaultTo(&t.HashStep, defaultOrder)
	defaultTo(&t.PrefixStep, defaultPrefix)
	defaultTo(&t.RemoteCost, defaultFar)
	defaultTo(&t.MinLoad, defaultLoad)
	if t.WorkWeight == 0 {
		t.WorkWeight = defaultBusy
	}
	r.cost = t.TokenDelay
	r.rand = rand.New(rand.NewPCG(r.Seed, 2))
	r.peers, r.holders, r.keepers = map[string]*peer{}, index{}, index{}
	r.ring = newRing(nil)
}

func defaultTo(field *magno.Millis, value magno.Millis) {
	if *field == 0 {
		*field = value
	}
}

// Update replaces the targets. What is known of those that stay is kept.
func (r *Router) Update(targets []magno.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup()
	old := r.peers
	r.peers = make(map[string]*peer, len(targets))
	open := make([]*peer, 0, len(targets))
	for _, t := range targets {
		p := old[t.Name]
		if p == nil {
			p = &peer{name: t.Name, ease: 1}
		}
		p.dc, p.leaving = t.DataCentre, t.Leaving
		r.peers[t.Name] = p
		if !t.Leaving {
			open = append(open, p)
		}
	}
	for name, p := range old {
		if r.peers[name] == nil {
			r.hold(p, nil, nil)
		}
	}
	r.ring = newRing(open)
}

// Report takes the backlog that rode on an answer of name.
func (r *Router) Report(name string, b magno.Backlog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return
	}
	r.hold(p, b.Warm, b.Kept)
	p.report, p.at, p.fresh = b, r.Clock.Now(), 0
}

// hold brings the indexes up to what p reported.
func (r *Router) hold(p *peer, held, kept []uint32) {
	r.holders.change(p, p.report.Warm, held)
	r.keepers.change(p, p.report.Kept, kept)
	p.report.Warm, p.report.Kept = held, kept
}

// Sent tells that work was sent; less than none takes back what was not.
func (r *Router) Sent(name string, work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[name]; p != nil {
		p.fresh = max(p.fresh+work, 0) // a report since may have counted it
		p.open += work
	}
}

// Ended tells that work was answered after took; ok is false when the target
// failed or couldn't be reached.
func (r *Router) Ended(name string, work int, took magno.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	if p == nil {
		return
	}
	p.open -= work
	now := r.Clock.Now()
	p.ended(now, ok)
	// A refusal comes back at once and tells nothing about the pace.
	if !ok || work <= 0 || took < refusedIn {
		return
	}
	if r.Tuning.TokenDelay > 0 {
		return
	}
	pace := math.Log(float64(took) / float64(work))
	if r.cost == 0 {
		r.pace, r.cost = pace, math.Exp(pace)
	}
	p.paced(now, pace-r.pace)
	r.pace += paceGain * (pace - r.pace)
	// By Little's law: so many jobs in the target and so long in it make one
	// token each so often.
	there := max(p.report.Running+p.report.Queued, 1)
	r.cost += paceGain * (math.Exp(pace)/float64(there) - r.cost)
}

// refusedIn is the time within which an answer is likely a refusal: less than
// any run on an engine, more than a way there and back.
const refusedIn = 20 * magno.Millis(1)

var _ magno.Chooser = (*Router)(nil)
