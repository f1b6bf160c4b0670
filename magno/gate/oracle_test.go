package gate

import (
	"maps"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// pendingLoad is an adapter load in progress.
type pendingLoad struct {
	end     magno.Millis
	version int64
}

// oracle is a model of the engine with its true state.
type oracle struct {
	born, orders int64
	// modelReadyAt is when the base model is loaded, zero if no load was commanded.
	modelReadyAt magno.Millis
	held         map[string]int64
	loading      map[string]pendingLoad
	newest       map[string]int64
}

func (o *oracle) reset() {
	o.modelReadyAt, o.orders = 0, 0
	o.held, o.loading = map[string]int64{}, map[string]pendingLoad{}
}

// finishLoads completes the loads that are due.
func (o *oracle) finishLoads(now magno.Millis) {
	for name, a := range o.loading {
		if now >= a.end {
			o.held[name] = a.version
			delete(o.loading, name)
		}
	}
}

func (o *oracle) modelLoaded(now magno.Millis) bool {
	return o.modelReadyAt > 0 && now >= o.modelReadyAt
}

// execute carries out a command by the engine's specification, and fails the test where the
// command would crash the engine.
func (o *oracle) execute(t *rapid.T, c magno.Command, used map[string]bool, now magno.Millis) magno.Outcome {
	o.finishLoads(now)
	switch {
	case o.modelReadyAt > now:
		return magno.OrderBusy
	case c.Adapter == "" && o.modelReadyAt > 0:
		return magno.OrderDone
	case c.Adapter == "":
		o.modelReadyAt = now + machineModel
	case !o.modelLoaded(now):
		return magno.OrderMisrouted
	case c.Load:
		version := max(o.newest[c.Adapter], 1)
		o.loading[c.Adapter] = pendingLoad{now + machineLoad, version}
		names := maps.Clone(o.held)
		for name := range o.loading {
			names[name] = 0
		}
		if len(names) > machineSlots {
			t.Fatalf("commanded to hold %v in %d slots", names, machineSlots)
		}
	case used[c.Adapter]:
		t.Fatalf("commanded to unload %s, which is in use", c.Adapter)
	default:
		delete(o.held, c.Adapter)
	}
	o.orders++
	return magno.OrderAccepted
}

// report returns the engine's report.
func (o *oracle) report(now magno.Millis) *magno.Report {
	o.finishLoads(now)
	r := &magno.Report{StartedAt: magno.Millis(o.born), Orders: o.orders, Busy: o.modelReadyAt > now, Loaded: map[string]map[string]int64{}}
	if o.modelLoaded(now) {
		r.Loaded[model] = maps.Clone(o.held)
	}
	for name, a := range o.loading {
		r.Loading = append(r.Loading, magno.Pin{Model: model, Adapter: name, Number: a.version})
	}
	return r
}
