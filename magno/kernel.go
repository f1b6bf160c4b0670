package magno

import (
	"context"
	"fmt"
	"sort"
	"sync"
)

// Task is a long-running job of a process, run in a goroutine of its own.
type Task interface {
	// Name is short and unique within the process.
	Name() string
	// Run works until ctx ends. Once ctx has ended, a nil error means a clean stop.
	Run(ctx context.Context) error
}

// Exit reports that a task has returned.
type Exit struct {
	Task string
	Err  error
}

// Supervisor runs the tasks of a process. If one fails, it stops the others: a process
// that runs only some of its tasks would look healthy while its requests never finish.
type Supervisor struct {
	// Tasks must not be changed after Run is called.
	Tasks []Task
	// OnExit is called for each task that returns, in the goroutine that called Run. It may
	// be nil.
	OnExit func(Exit)
}

// Run starts all tasks and returns the first error once all have returned.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	exits := make(chan Exit, len(s.Tasks))
	for _, t := range s.Tasks {
		go func() { exits <- Exit{Task: t.Name(), Err: t.Run(ctx)} }()
	}
	var first error
	for range s.Tasks {
		exit := <-exits
		if s.OnExit != nil {
			s.OnExit(exit)
		}
		if exit.Err != nil && ctx.Err() == nil {
			first = fmt.Errorf("task %s: %w", exit.Task, exit.Err)
			cancel()
		}
	}
	return first
}

// Factory creates a plug-in. The caller asserts the interface that belongs to the type of
// plug-in.
type Factory func() any

// plugins maps the type and name of a plug-in to its factory. Packages register theirs in
// init.
var plugins = struct {
	mu        sync.Mutex
	factories map[string]map[string]Factory
}{factories: map[string]map[string]Factory{}}

// Types of plug-in.
const (
	PluginRouter    = "router"
	PluginScheduler = "scheduler"
	PluginUpstream  = "upstream"
)

// Register adds a plug-in. It panics if the name is taken, which is a programming error
// that shows at start-up.
func Register(pluginType, name string, factory Factory) {
	plugins.mu.Lock()
	defer plugins.mu.Unlock()
	names := plugins.factories[pluginType]
	if names == nil {
		names = map[string]Factory{}
		plugins.factories[pluginType] = names
	}
	if names[name] != nil {
		panic("plug-in registered twice: " + pluginType + " " + name)
	}
	names[name] = factory
}

// NewPlugin creates the plug-in with the given type and name.
func NewPlugin(pluginType, name string) (any, error) {
	plugins.mu.Lock()
	factory := plugins.factories[pluginType][name]
	plugins.mu.Unlock()
	if factory == nil {
		return nil, fmt.Errorf("unknown %s %q, available: %q", pluginType, name, PluginNames(pluginType))
	}
	return factory(), nil
}

// PluginNames returns the sorted names of all plug-ins of a type.
func PluginNames(pluginType string) []string {
	plugins.mu.Lock()
	defer plugins.mu.Unlock()
	names := make([]string, 0, len(plugins.factories[pluginType]))
	for name := range plugins.factories[pluginType] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
