// Package basel holds the baseline routers of experiments: a random upstream,
// the one with the least work, and the better of two that an adapter's hash
// names. The first two don't know which upstream holds an adapter, so they
// show what routing without affinity costs in loads; the third shows what
// affinity alone gives.
package basel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// The names under which the routers register themselves.
const (
	Random = "random"
	Least  = "least"
	Hash   = "hash"
)

// choices is how many upstreams a route names.
const choices = 2

func init() {
	magno.Register(magno.SortRouter, Random, func() any { return &Router{} })
	magno.Register(magno.SortRouter, Least, func() any { return &Router{LeastWork: true} })
	magno.Register(magno.SortRouter, Hash, func() any { return &Router{HashAffinity: true, LeastWork: true} })
}

// Router implements magno.Router. Its exported fields are set before use.
type Router struct {
	// LeastWork prefers the upstream with the least outstanding work; otherwise
	// the choice is random.
	LeastWork bool
	// HashAffinity limits the choice to two upstreams by rendezvous of the adapter.
	HashAffinity bool
	Seed         uint64
	Clock        *magno.Clock

	mu    sync.Mutex
	rand  *rand.Rand
	names []string
	// told is the work that an upstream last reported, open what was sent by
	// this router and not answered.
	told map[string]report
	open map[string]int
}

type report struct {
	work int
	at   magno.Millis
}

// Update replaces the targets.
func (r *Router) Update(targets []magno.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rand == nil {
		r.rand = rand.New(rand.NewPCG(r.Seed, 0xba5e))
		r.told, r.open = map[string]report{}, map[string]int{}
	}
	r.names = r.names[:0]
	for _, t := range targets {
		if !t.Leaving {
			r.names = append(r.names, t.Name)
		}
	}
}

// Route returns two names that were not tried.
func (r *Router) Route(q magno.Query) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.names))
	for _, i := range r.rand.Perm(len(r.names)) {
		if !slices.Contains(q.Avoid, r.names[i]) {
			names = append(names, r.names[i])
		}
	}
	if r.HashAffinity && q.Ref != (magno.Ref{}) {
		slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weight(b, q.Ref), weight(a, q.Ref)) })
		names = names[:min(choices, len(names))]
	}
	if r.LeastWork {
		slices.SortStableFunc(names, func(a, b string) int { return r.load(a) - r.load(b) })
	}
	return names[:min(choices, len(names))]
}

func weight(name string, ref magno.Ref) uint64 {
	return xxhash.Sum64String(name + "/" + ref.String())
}

// load takes the larger of what was reported and what this router sent: other
// routers' work shows only in reports, its own latest only here. A report
// loses half its weight each second, for an upstream that was full once and
// gets nothing since would never report again.
func (r *Router) load(name string) int {
	told := r.told[name]
	halves := min(62, (r.Clock.Now()-told.at)/magno.Second)
	return max(told.work>>halves, r.open[name])
}

// Report takes the work queued at name.
func (r *Router) Report(name string, b magno.Backlog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[name] = report{b.Work, r.Clock.Now()}
}

// Sent counts work as outstanding.
func (r *Router) Sent(name string, work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[name] += work
}

// Ended takes it off.
func (r *Router) Ended(name string, work int, _ magno.Millis, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[name] -= work
}
