// Package basel holds the baseline routers of experiments: random choice, least work, and
// the less loaded of two upstreams chosen by the adapter's hash. The first two don't know
// which upstream holds an adapter, so they show the loads that routing without affinity
// costs; the third shows the effect of affinity alone.
package basel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// The names under which the routers are registered.
const (
	Random = "random"
	Least  = "least"
	Hash   = "hash"
)

// maxNames is the maximum number of upstreams in a route.
const maxNames = 2

func init() {
	magno.Register(magno.PluginRouter, Random, func() any { return &Router{} })
	magno.Register(magno.PluginRouter, Least, func() any { return &Router{LeastWork: true} })
	magno.Register(magno.PluginRouter, Hash, func() any { return &Router{HashAffinity: true, LeastWork: true} })
}

// Router implements magno.Router. Its exported fields are set before use.
type Router struct {
	// LeastWork prefers the upstream with the least outstanding work; otherwise the choice
	// is random.
	LeastWork bool
	// HashAffinity limits the choice to two upstreams, by rendezvous hashing of the
	// adapter.
	HashAffinity bool
	Seed         uint64
	Clock        *magno.Clock

	mu    sync.Mutex
	rand  *rand.Rand
	names []string
	// reported is the work that each upstream last reported, outstanding the work that
	// this router sent and that has not ended.
	reported    map[string]report
	outstanding map[string]int
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
		r.reported, r.outstanding = map[string]report{}, map[string]int{}
	}
	r.names = r.names[:0]
	for _, t := range targets {
		if !t.Leaving {
			r.names = append(r.names, t.Name)
		}
	}
}

// Route returns at most two upstreams that were not tried.
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
		names = names[:min(maxNames, len(names))]
	}
	if r.LeastWork {
		slices.SortStableFunc(names, func(a, b string) int { return r.estimate(a) - r.estimate(b) })
	}
	return names[:min(maxNames, len(names))]
}

func weight(name string, ref magno.Ref) uint64 {
	return xxhash.Sum64String(name + "/" + ref.String())
}

// estimate returns the larger of the reported work and the work sent by this router: the
// work of other routers shows only in reports, and this router's most recent work only in
// its own count. The weight of a report halves each second, because an upstream that was
// once full and no longer receives work would never report again.
func (r *Router) estimate(name string) int {
	last := r.reported[name]
	halves := min(62, (r.Clock.Now()-last.at)/magno.Second)
	return max(last.work>>halves, r.outstanding[name])
}

// Report stores the work queued at an upstream.
func (r *Router) Report(name string, b magno.Backlog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported[name] = report{b.Work, r.Clock.Now()}
}

// Sent adds work to an upstream's outstanding work.
func (r *Router) Sent(name string, work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[name] += work
}

// Ended subtracts it again.
func (r *Router) Ended(name string, work int, _ magno.Millis, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding[name] -= work
}
