package sim

import (
	"fmt"
	"reflect"

	"magnoliastall.example/magno"
)

// Policy names the router and scheduler plug-ins of a run.
type Policy struct {
	Name, Router, Scheduler string
	// IgnoreHomes routes requests with an idempotency key by the router's preference
	// instead of to the home of the key. It shows what routing to homes costs.
	IgnoreHomes bool
}

// Policies maps the policy names of the command line to plug-ins.
var Policies = map[string]Policy{
	"random":    {Name: "random", Router: "random", Scheduler: "fifo"},
	"least":     {Name: "least", Router: "least", Scheduler: "fifo"},
	"hash":      {Name: "hash", Router: "hash", Scheduler: "fifo"},
	PolicyOurs:  {Name: PolicyOurs, Router: "near", Scheduler: "fair"},
	"free":      {Name: "free", Router: "near", Scheduler: "fair", IgnoreHomes: true},
	PolicyBound: {Name: PolicyBound},
}

// Names of the project's own policy and of the theoretical bound, which is calculated and
// not simulated.
const (
	PolicyOurs  = "ours"
	PolicyBound = "bound"
)

// env holds the values that plug-ins can receive. Each exported field of a plug-in with
// the name and type of a field of env is set before the plug-in is used, as in the
// daemons.
type env struct {
	Clock   *magno.Clock
	Limits  magno.Limits
	Weights map[string]float64
	Seed    uint64
	// Name is the name of the instance.
	Name       string
	DataCentre string
	// Turns is true where loads need a turn granted by the coordinator of the pool.
	Turns bool
}

// setPluginFields sets the fields of a plug-in that match a field of env.
func setPluginFields(plugin any, e env) {
	from := reflect.ValueOf(e)
	into := reflect.ValueOf(plugin).Elem()
	for i := range from.NumField() {
		field := into.FieldByName(from.Type().Field(i).Name)
		if field.IsValid() && field.CanSet() && field.Type() == from.Field(i).Type() {
			field.Set(from.Field(i))
		}
	}
}

func newRouter(name string, e env) (magno.Router, error) {
	p, err := magno.NewPlugin(magno.PluginRouter, name)
	if err != nil {
		return nil, err
	}
	r, ok := p.(magno.Router)
	if !ok {
		return nil, fmt.Errorf("plug-in %q does not implement magno.Router", name)
	}
	setPluginFields(p, e)
	return r, nil
}

func newScheduler(name string, e env) (magno.Scheduler, error) {
	p, err := magno.NewPlugin(magno.PluginScheduler, name)
	if err != nil {
		return nil, err
	}
	s, ok := p.(magno.Scheduler)
	if !ok {
		return nil, fmt.Errorf("plug-in %q does not implement magno.Scheduler", name)
	}
	setPluginFields(p, e)
	return s, nil
}
