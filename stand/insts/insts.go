// Package insts simulates the instance list of the platform. Readers see a
// published list after a lag, as on a real platform.
package insts

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/past"
	"magnoliastall.example/stand/serve"
)

// Limits and defaults of a list.
const (
	DefaultLag   = magno.Second
	MaxBodyBytes = 8 << 20 // enough for more than ten thousand instances
)

// List simulates an instance list. Fields must be set before Run and Handler are
// called; a zero field takes its default.
type List struct {
	Title string
	// Lag is the time until a change is visible, in milliseconds; a negative
	// value means none.
	Lag   magno.Millis
	Clock *magno.Clock

	once   sync.Once
	faults fault.Injector

	mu sync.Mutex
	// revision counts the lists published.
	revision int64
	history  past.History[State]
}

// State is the list at a point in time.
type State struct {
	Revision  int64            `json:"revision"`
	Instances []magno.Instance `json:"instances"`
}

// Name implements magno.Task.
func (l *List) Name() string { return l.Title }

// Fault activates a fault, as POST /fault does.
func (l *List) Fault(spec fault.Spec) error {
	l.prepare()
	return l.faults.Set(spec)
}

// Run waits until ctx ends; all work is done by the handlers.
func (l *List) Run(ctx context.Context) error {
	l.prepare()
	<-ctx.Done()
	return nil
}

func (l *List) prepare() {
	l.once.Do(func() {
		if l.Lag == 0 {
			l.Lag = DefaultLag
		}
		l.Lag = max(l.Lag, 0)
		l.faults.Kinds = map[string]bool{fault.Outage: false, fault.Lag: false}
	})
}

// Handler returns the API for readers.
func (l *List) Handler() http.Handler {
	l.prepare()
	r := serve.NewRouter()
	r.GET("/v1/instances", l.read)
	return r
}

// Admin returns the administration API.
func (l *List) Admin() http.Handler {
	l.prepare()
	r := serve.NewRouter()
	l.faults.Register(r)
	r.PUT("/v1/instances", l.publish)
	return r
}

// Put replaces the list and returns its revision. The first list is visible at
// once, because there is no older one to return.
func (l *List) Put(instances []magno.Instance) int64 {
	l.prepare()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.history.Add(l.Clock.Now(), State{Revision: l.revision, Instances: instances})
	return l.revision
}

func (l *List) read(c echo.Context) error {
	if _, out := l.faults.Active(fault.Outage, ""); out {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "outage")
	}
	lag := l.faults.Delay(fault.Lag, l.Lag)
	l.mu.Lock()
	state, ok := l.history.At(l.Clock.Now() - lag)
	if _, nonEmpty := l.history.LastTime(); !ok && nonEmpty {
		state, ok = l.history.Oldest(), true
	}
	l.mu.Unlock()
	if !ok {
		state.Instances = []magno.Instance{}
	}
	return c.JSON(http.StatusOK, state)
}

// parse decodes and validates a list in the format that readers get. Its revision
// is ignored.
func parse(data []byte) ([]magno.Instance, error) {
	var state State
	if err := serve.DecodeStrict(data, &state); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, in := range state.Instances {
		switch {
		case in.Name == "" || seen[in.Name]:
			return nil, fmt.Errorf("instances[%d].name: %q is empty or a duplicate", i, in.Name)
		case in.State != magno.InstanceLive && in.State != magno.InstanceLeaving:
			return nil, fmt.Errorf("instances[%d].state: %q is unknown", i, in.State)
		}
		seen[in.Name] = true
	}
	return state.Instances, nil
}

func (l *List) publish(c echo.Context) error {
	data, err := serve.ReadBody(c, MaxBodyBytes)
	if err != nil {
		return err
	}
	instances, err := parse(data)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, map[string]int64{"revision": l.Put(instances)})
}
