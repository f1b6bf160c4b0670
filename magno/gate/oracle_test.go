package gate

import (
	"maps"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// arriving is an adapter that an engine loads.
type arriving struct {
	end     magno.Millis
	version int64
}

// oracle is an engine with all that is true of it.
type oracle struct {
	born, orders int64
	// ready is when the base model is there, zero when it wasn't ordered.
	ready   magno.Millis
	held    map[string]int64
	loading map[string]arriving
	newest  map[string]int64
}

func (o *oracle) empty() {
	o.ready, o.orders = 0, 0
	o.held, o.loading = map[string]int64{}, map[string]arriving{}
}

// settle ends the loads that are due.
func (o *oracle) settle(now magno.Millis) {
	for name, a := range o.loading {
		if now >= a.end {
			o.held[name] = a.version
			delete(o.loading, name)
		}
	}
}

func (o *oracle) there(now magno.Millis) bool { return o.ready > 0 && now >= o.ready }

// obey carries out a command as the sheets tell, and fails where it would crash
// the engine.
func (o *oracle) obey(t *rapid.T, c magno.Command, used map[string]bool, now magno.Millis) magno.Outcome {
	o.settle(now)
	switch {
	case o.ready > now:
		return magno.OrderBusy
	case c.Adapter == "" && o.ready > 0:
		return magno.OrderDone
	case c.Adapter == "":
		o.ready = now + machineModel
	case !o.there(now):
		return magno.OrderElse
	case c.Load:
		version := max(o.newest[c.Adapter], 1)
		o.loading[c.Adapter] = arriving{now + machineLoad, version}
		names := maps.Clone(o.held)
		for name := range o.loading {
			names[name] = 0
		}
		if len(names) > machineSlots {
			t.Fatalf("ordered to hold %v in %d slots", names, machineSlots)
		}
	case used[c.Adapter]:
		t.Fatalf("ordered to drop %s, which runs use", c.Adapter)
	default:
		delete(o.held, c.Adapter)
	}
	o.orders++
	return magno.OrderAccepted
}

// state is the engine's report.
func (o *oracle) state(now magno.Millis) *magno.Report {
	o.settle(now)
	r := &magno.Report{Born: magno.Millis(o.born), Orders: o.orders, Busy: o.ready > now, Held: map[string]map[string]int64{}}
	if o.there(now) {
		r.Held[model] = maps.Clone(o.held)
	}
	for name, a := range o.loading {
		r.Coming = append(r.Coming, magno.Pin{Model: model, Adapter: name, Number: a.version})
	}
	return r
}
