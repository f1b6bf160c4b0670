package peers

import (
	"math"
	"testing"

	"magnoliastall.example/magno"
)

// TestDemandShare guards against entries whose shares of a service add up to much more than one.
func TestDemandShare(t *testing.T) {
	demand := func(d float64) map[string]float64 { return map[string]float64{"s": d} }
	for _, c := range []struct {
		name  string
		own   float64
		peers []map[string]float64
		want  float64
	}{
		{"no peers", 5, nil, 1},
		{"equal demand", 9, []map[string]float64{demand(9), demand(9), demand(9)}, 0.25},
		{"nobody has measured any", 0, []map[string]float64{{}, {}, {}}, 0.25},
		{"most of the demand", 79, []map[string]float64{demand(9), demand(9)}, 0.8},
		{"an older version doesn't state it", 9, []map[string]float64{nil, nil, demand(29)}, 0.125},
		{"a negative demand", 9, []map[string]float64{demand(-50)}, 10.0 / 11},
	} {
		p := &Peers{Clock: magno.NewClock(magno.Hour), known: map[string]*peer{}}
		for i, d := range c.peers {
			p.known[string(rune('a'+i))] = &peer{alive: true, hello: Hello{Demand: d}}
		}
		p.known["lost"] = &peer{hello: Hello{Demand: demand(1000)}}
		if got := p.DemandShare("s", c.own); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestHelloCarriesDemand guards against entries that never hear of each other's demand.
func TestHelloCarriesDemand(t *testing.T) {
	f := newHelloFleet(t, 3)
	for i, p := range f.peers {
		p.Demand = func() map[string]float64 { return map[string]float64{"s": float64(10*i) + 9} }
	}
	f.run(t, 3*magno.Second, func() bool { return false })
	for i, p := range f.peers {
		if got, want := p.DemandShare("s", float64(10*i)+9), float64(10*i+10)/60; math.Abs(got-want) > 1e-9 {
			t.Errorf("entry %d has the share %v, want %v", i, got, want)
		}
	}
}
