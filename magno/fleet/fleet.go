// Package fleet keeps the instances that this process knows of: the
// platform's lagging list, with what peers have told since laid over it.
//
//	instance list --poll--> Fleet --Pool, Find--> router, home choice
//	peers' gossip --Learn--^
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sort"
	"sync"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fetch"
)

// Figures of the poll.
const (
	// DefaultPollInterval is how often the list is read, in milliseconds.
	DefaultPollInterval = magno.Second
	readLimit           = 2 * time.Second
	// listLimit is the most bytes of the list; a cut one is not used.
	listLimit = 4 << 20
	// SlowPollInterval is how often a process that peers keep up to date reads the
	// list: 2,600 of them read it 43 times a second together, where once a
	// second each would be more than the platform allows in all.
	SlowPollInterval = magno.Minute
	// learnedFor is how long a peer's word on an instance outweighs the list,
	// in milliseconds: longer than the list lags, short enough that an
	// instance returned under the same name is soon used again.
	learnedFor = 30 * magno.Second
	// renumbered is how long only older revisions must be seen before one is
	// taken, in milliseconds: longer than replicas of the list lag behind one
	// another. A list that lost its count would else never be heard again.
	renumbered = magno.Minute
)

// list is the answer of the platform.
type list struct {
	Revision  int64            `json:"revision"`
	Instances []magno.Instance `json:"instances"`
}

// learned is what a peer told of an instance.
type learned struct {
	address string
	state   magno.InstanceState
	until   magno.Millis
}

// Fleet is safe for concurrent use. It implements magno.Duty.
type Fleet struct {
	// URL is the platform's instance list, up to its path.
	URL          string
	PollInterval magno.Millis
	Clock        *magno.Clock
	Log          *slog.Logger
	// FastPoll, when not nil, tells whether this process reads the list each time;
	// otherwise it does so once in RareEvery, and peers tell it the rest.
	FastPoll func() bool
	// OnChange is called after each change, by one goroutine at a time. It may
	// be nil.
	OnChange func()

	mu sync.RWMutex
	// revision is that of the list in use. It grows but for a list that
	// begins to count anew: a lagging replica may answer with an older one.
	revision int64
	// newest is when a list at least as new as that in use was last seen.
	newest    magno.Millis
	instances map[string]magno.Instance
	learned   map[string]learned
	seen      magno.Millis
}

// Name implements magno.Duty.
func (f *Fleet) Name() string { return "fleet" }

// Run polls the list until ctx ends. While the list can't be read the last
// one stays in use.
func (f *Fleet) Run(ctx context.Context) error {
	if f.PollInterval == 0 {
		f.PollInterval = DefaultPollInterval
	}
	client := &http.Client{Timeout: readLimit}
	ticker := time.NewTicker(f.PollInterval.Span())
	defer ticker.Stop()
	failed := false
	var last magno.Millis
	for {
		if f.due(failed, last) {
			last = f.Clock.Now()
			err := f.read(ctx, client)
			if (err != nil) != failed && ctx.Err() == nil {
				failed = err != nil
				f.Log.Info("instances", "reachable", !failed, "error", fmt.Sprint(err))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// due tells whether the list is to be read now.
func (f *Fleet) due(failed bool, last magno.Millis) bool {
	return failed || f.FastPoll == nil || f.FastPoll() || f.Clock.Now()-last >= SlowPollInterval
}

func (f *Fleet) read(ctx context.Context, client *http.Client) error {
	var l list
	if err := fetch.JSON(ctx, client, f.URL+"/v1/instances", listLimit, &l); err != nil {
		return err
	}
	if f.take(l) && f.OnChange != nil {
		f.OnChange()
	}
	return nil
}

// take puts a newer list in use and tells whether it did.
func (f *Fleet) take(l list) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = f.Clock.Now()
	if l.Revision >= f.revision {
		f.newest = f.seen
	}
	if l.Revision == f.revision && f.instances != nil {
		return false
	}
	if l.Revision < f.revision && f.seen < f.newest+renumbered {
		return false
	}
	f.revision = l.Revision
	f.newest = f.seen
	f.instances = make(map[string]magno.Instance, len(l.Instances))
	for _, in := range l.Instances {
		f.instances[in.Name] = in
	}
	return true
}

// Override takes a peer's word on an instance. The list lags by seconds; a leaving
// upstream must lose its work sooner.
func (f *Fleet) Override(in magno.Instance) {
	f.mu.Lock()
	if f.learned == nil {
		f.learned = map[string]learned{}
	}
	before, known := f.learned[in.Name]
	f.learned[in.Name] = learned{address: in.Address, state: in.State, until: f.Clock.Now() + learnedFor}
	f.mu.Unlock()
	if f.OnChange != nil && (!known || before.state != in.State || before.address != in.Address) {
		f.OnChange()
	}
}

// LiveAgents returns the live agents of a pool in order of name.
func (f *Fleet) LiveAgents(pool string) []magno.Instance {
	return f.filter(func(in magno.Instance) bool {
		return in.Role == magno.RoleAgent && in.Pool == pool && in.State == magno.InstanceLive
	})
}

// All returns every known instance in order of name.
func (f *Fleet) All() []magno.Instance {
	return f.filter(func(magno.Instance) bool { return true })
}

func (f *Fleet) filter(keep func(magno.Instance) bool) []magno.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	found := []magno.Instance{}
	for _, in := range f.instances {
		if in = f.current(in); keep(in) {
			found = append(found, in)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// Find returns the instance of that name.
func (f *Fleet) Find(name string) (magno.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	in, ok := f.instances[name]
	return f.current(in), ok
}

// PlatformList returns the platform's list as last read, without what peers told;
// false before the first time.
func (f *Fleet) PlatformList() ([]magno.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	list := make([]magno.Instance, 0, len(f.instances))
	for _, in := range f.instances {
		list = append(list, in)
	}
	return list, f.seen > 0
}

// LastPoll returns when the list was last read, zero before the first time.
func (f *Fleet) LastPoll() magno.Millis {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.seen
}

// current lays what was learned over a row of the list.
func (f *Fleet) current(in magno.Instance) magno.Instance {
	l, ok := f.learned[in.Name]
	if ok && l.address == in.Address && l.until > f.Clock.Now() {
		in.State = l.state
	}
	return in
}
