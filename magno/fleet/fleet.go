// Package fleet is the directory of instances: the platform's list, which lags,
// overridden by newer states that came from peers.
//
//	instance list --poll--> Fleet --LiveAgents, Find--> router, home choice
//	peers' gossip --Override--^
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

const (
	// DefaultPollInterval is how often the list is read.
	DefaultPollInterval = magno.Second
	requestTimeout      = 2 * time.Second
	// maxListSize is the maximum size of the list in bytes; a longer one is rejected.
	maxListSize = 4 << 20
	// SlowPollInterval is how often a process that is kept up to date by peers reads
	// the list. With it 2,600 processes make 43 reads a second; at one read a second
	// each they would exceed what the platform allows in all.
	SlowPollInterval = magno.Minute
	// overrideTTL is how long a state from a peer overrides the list: longer than the
	// list lags, short enough that an instance which comes back under the same name
	// is soon used again.
	overrideTTL = 30 * magno.Second
	// revisionResetAfter is how long only older revisions must be read before one is
	// applied: longer than replicas of the list lag behind one another. Without it a
	// list whose revisions were reset would be ignored for ever.
	revisionResetAfter = magno.Minute
)

// list is the response of the platform.
type list struct {
	// Era rises when the list comes back from an older copy and gives out revisions again. It
	// is zero for a platform that doesn't count that.
	Era       int64            `json:"era,omitempty"`
	Revision  int64            `json:"revision"`
	Instances []magno.Instance `json:"instances"`
}

// at returns the revision of the list among all eras.
func (l *list) at() (magno.Revision, error) { return magno.NewRevision(l.Era, l.Revision) }

// override is the state of an instance that came from a peer.
type override struct {
	address string
	state   magno.InstanceState
	until   magno.Millis
}

// Fleet is the directory of instances. It is safe for concurrent use and
// implements magno.Task.
type Fleet struct {
	// URL is the base URL of the platform's instance list.
	URL          string
	PollInterval magno.Millis
	Clock        *magno.Clock
	Log          *slog.Logger
	// FastPoll reports whether this process reads the list every PollInterval; if
	// not, it does so every SlowPollInterval and gets changes from peers meanwhile.
	// Nil means every PollInterval.
	FastPoll func() bool
	// OnChange is called after each change, by one goroutine at a time. It may
	// be nil.
	OnChange func()

	mu sync.RWMutex
	// revision is that of the list in use. Older ones, which a lagging replica may
	// return, are ignored unless the list's revisions were reset.
	revision magno.Revision
	// newestAt is when a list at least as new as that in use was last read.
	newestAt  magno.Millis
	instances map[string]magno.Instance
	overrides map[string]override
	lastPoll  magno.Millis
}

// Name implements magno.Task.
func (f *Fleet) Name() string { return "fleet" }

// Run polls the list until ctx ends. While the list can't be read, the last one
// stays in use.
func (f *Fleet) Run(ctx context.Context) error {
	if f.PollInterval == 0 {
		f.PollInterval = DefaultPollInterval
	}
	client := &http.Client{Timeout: requestTimeout}
	ticker := time.NewTicker(f.PollInterval.Duration())
	defer ticker.Stop()
	failing := false
	var lastPoll magno.Millis
	for {
		if f.pollDue(failing, lastPoll) {
			lastPoll = f.Clock.Now()
			err := f.poll(ctx, client)
			if (err != nil) != failing && ctx.Err() == nil {
				failing = err != nil
				f.Log.Info("instance list", "reachable", !failing, "error", fmt.Sprint(err))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pollDue reports whether the list is to be read now.
func (f *Fleet) pollDue(failing bool, lastPoll magno.Millis) bool {
	return failing || f.FastPoll == nil || f.FastPoll() || f.Clock.Now()-lastPoll >= SlowPollInterval
}

func (f *Fleet) poll(ctx context.Context, client *http.Client) error {
	answer, err := fetch.Get(ctx, client, f.URL+"/v1/instances", maxListSize)
	if err == nil {
		err = answer.OK()
	}
	if err != nil {
		return err
	}
	l, faults, err := decodeList(answer.Body)
	if err != nil {
		return err
	}
	if _, err := l.at(); err != nil {
		return err
	}
	if !f.apply(l) {
		return nil
	}
	if len(faults) > 0 {
		f.Log.Warn("entries left out", "count", len(faults), "first", faults[0])
	}
	if f.OnChange != nil {
		f.OnChange()
	}
	return nil
}

// apply replaces the list by a newer one and reports whether it did.
func (f *Fleet) apply(l list) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, err := l.at()
	if err != nil {
		return false // poll reports it
	}
	f.lastPoll = f.Clock.Now()
	if revision >= f.revision {
		f.newestAt = f.lastPoll
	}
	if revision == f.revision && f.instances != nil {
		return false
	}
	if revision < f.revision && f.lastPoll < f.newestAt+revisionResetAfter {
		return false
	}
	f.revision = revision
	f.newestAt = f.lastPoll
	f.instances = make(map[string]magno.Instance, len(l.Instances))
	for _, in := range l.Instances {
		f.instances[in.Name] = in
	}
	return true
}

// Override sets the state of an instance that came from a peer. The list lags by
// seconds, but a leaving upstream must get no more work before that.
func (f *Fleet) Override(in magno.Instance) {
	f.mu.Lock()
	if f.overrides == nil {
		f.overrides = map[string]override{}
	}
	previous, known := f.overrides[in.Name]
	f.overrides[in.Name] = override{address: in.Address, state: in.State, until: f.Clock.Now() + overrideTTL}
	f.mu.Unlock()
	if f.OnChange != nil && (!known || previous.state != in.State || previous.address != in.Address) {
		f.OnChange()
	}
}

// LiveAgents returns the live agents of a pool, sorted by name.
func (f *Fleet) LiveAgents(pool string) []magno.Instance {
	return f.filter(func(in magno.Instance) bool {
		return in.Role == magno.RoleAgent && in.Pool == pool && in.State == magno.InstanceLive
	})
}

// All returns every known instance, sorted by name.
func (f *Fleet) All() []magno.Instance {
	return f.filter(func(magno.Instance) bool { return true })
}

func (f *Fleet) filter(match func(magno.Instance) bool) []magno.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	found := []magno.Instance{}
	for _, in := range f.instances {
		if in = f.withOverride(in); match(in) {
			found = append(found, in)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// Find returns the instance with the given name.
func (f *Fleet) Find(name string) (magno.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	in, ok := f.instances[name]
	return f.withOverride(in), ok
}

// PlatformList returns the platform's list as last read, without overrides; false
// before the first read.
func (f *Fleet) PlatformList() ([]magno.Instance, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	list := make([]magno.Instance, 0, len(f.instances))
	for _, in := range f.instances {
		list = append(list, in)
	}
	return list, f.lastPoll > 0
}

// LastPoll returns when the list was last read, zero before the first read.
func (f *Fleet) LastPoll() magno.Millis {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lastPoll
}

// withOverride returns an instance of the list with its state from a peer, if any.
func (f *Fleet) withOverride(in magno.Instance) magno.Instance {
	o, ok := f.overrides[in.Name]
	if ok && o.address == in.Address && o.until > f.Clock.Now() {
		in.State = o.state
	}
	return in
}
