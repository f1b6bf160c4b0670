package sim

import (
	"fmt"
	"reflect"

	"magnoliastall.example/magno"
)

// Policy names the plug-ins that decide in a run.
type Policy struct {
	Name, Router, Scheduler string
	// IgnoreHomes sends work with a key first where the router says, not to the
	// key's home; it shows what homes cost.
	IgnoreHomes bool
}

// Policies maps the name on the command line to plug-ins.
var Policies = map[string]Policy{
	"random":    {Name: "random", Router: "random", Scheduler: "fifo"},
	"least":     {Name: "least", Router: "least", Scheduler: "fifo"},
	"hash":      {Name: "hash", Router: "hash", Scheduler: "fifo"},
	PolicyOurs:  {Name: PolicyOurs, Router: "near", Scheduler: "fair"},
	"free":      {Name: "free", Router: "near", Scheduler: "fair", IgnoreHomes: true},
	PolicyBound: {Name: PolicyBound},
}

// The names of the project's own policy, and of the one that is worked out
// and not run.
const (
	PolicyOurs  = "ours"
	PolicyBound = "bound"
)

// env is what a plug-in may be given; each exported field of a plug-in with
// one of these names and types is set before its use, as the daemons do.
type env struct {
	Clock   *magno.Clock
	Limits  magno.Limits
	Weights map[string]float64
	Seed    uint64
	// Name is the instance's own.
	Name       string
	DataCentre string
	// Turns is true where loads wait for turns of the pool's keeper.
	Turns bool
}

// equip sets the fields of a plug-in that env knows.
func equip(plugin any, e env) {
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
	p, err := magno.Plugin(magno.SortRouter, name)
	if err != nil {
		return nil, err
	}
	r, ok := p.(magno.Router)
	if !ok {
		return nil, fmt.Errorf("plug-in %q is no router", name)
	}
	equip(p, e)
	return r, nil
}

func newScheduler(name string, e env) (magno.Scheduler, error) {
	p, err := magno.Plugin(magno.SortScheduler, name)
	if err != nil {
		return nil, err
	}
	s, ok := p.(magno.Scheduler)
	if !ok {
		return nil, fmt.Errorf("plug-in %q is no scheduler", name)
	}
	equip(p, e)
	return s, nil
}
