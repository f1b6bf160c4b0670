package magno

import (
	"context"
	"fmt"
	"sort"
	"sync"
)

// Duty is one job of a process, run by one goroutine of its own.
type Task interface {
	// Name is short and unique within the process.
	Name() string
	// Run works until ctx ends. A nil error after ctx ended is a clean stop.
	Run(ctx context.Context) error
}

// End reports that a duty stopped.
type Exit struct {
	Task string
	Err  error
}

// Kernel starts duties and waits for their ends. When one fails, the others
// are stopped: a process with half of its duties would look healthy while its
// requests wait for ever.
type Supervisor struct {
	// Duties are set before Run and not changed after.
	Tasks []Task
	// OnEnd is called for each end, by the goroutine that called Run. It may
	// be nil.
	OnExit func(Exit)
}

// Run starts every duty and returns when all have ended, with the first error.
func (k *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan Exit, len(k.Tasks))
	for _, d := range k.Tasks {
		go func() { ends <- Exit{Task: d.Name(), Err: d.Run(ctx)} }()
	}
	var first error
	for range k.Tasks {
		end := <-ends
		if k.OnExit != nil {
			k.OnExit(end)
		}
		if end.Err != nil && ctx.Err() == nil {
			first = fmt.Errorf("duty %s: %w", end.Task, end.Err)
			cancel()
		}
	}
	return first
}

// Maker builds a plug-in of one sort; the caller asserts the interface that
// the sort stands for.
type Factory func() any

// plugins maps sort and name to a maker. Packages add theirs when they are
// linked in, before main starts.
var plugins = struct {
	mu     sync.Mutex
	makers map[string]map[string]Factory
}{makers: map[string]map[string]Factory{}}

// The sorts of plug-in.
const (
	PluginRouter    = "router"
	PluginScheduler = "scheduler"
	PluginUpstream  = "upstream"
)

// Register adds a plug-in. A name that is taken is a fault of the program and
// panics at start, when a person sees it.
func Register(sort, name string, maker Factory) {
	plugins.mu.Lock()
	defer plugins.mu.Unlock()
	names := plugins.makers[sort]
	if names == nil {
		names = map[string]Factory{}
		plugins.makers[sort] = names
	}
	if names[name] != nil {
		panic("plug-in registered twice: " + sort + " " + name)
	}
	names[name] = maker
}

// Plugin builds the plug-in of that sort and name.
func NewPlugin(sort, name string) (any, error) {
	plugins.mu.Lock()
	maker := plugins.makers[sort][name]
	plugins.mu.Unlock()
	if maker == nil {
		return nil, fmt.Errorf("no %s named %q is linked in, only %q", sort, name, PluginNames(sort))
	}
	return maker(), nil
}

// Plugins lists the names of a sort in order.
func PluginNames(sortOf string) []string {
	plugins.mu.Lock()
	defer plugins.mu.Unlock()
	names := make([]string, 0, len(plugins.makers[sortOf]))
	for name := range plugins.makers[sortOf] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
