package delta

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// planWithRoutes returns a configuration with routes of the given names and timeouts.
func planWithRoutes(version int64, routes map[string]int) *magno.Plan {
	p := &magno.Plan{Version: version, Body: 1 << 20, Services: []magno.Service{
		{Name: "engines", Engine: &magno.Engine{Slots: 4, Models: []magno.Model{{Name: "m"}}}}, {Name: "plain"},
	}}
	for name, timeout := range routes {
		p.Routes = append(p.Routes, magno.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Timeout: magno.Millis(timeout), Parts: []magno.Part{{Service: "plain", Weight: 1}},
		})
	}
	sortRoutes(p)
	return p
}

func sortRoutes(p *magno.Plan) {
	slices.SortFunc(p.Routes, func(a, b magno.Route) int { return strings.Compare(a.Name, b.Name) })
}

// roundTrip encodes a delta, decodes it and applies it.
func roundTrip(t interface{ Fatal(...any) }, d *Delta, base *magno.Plan, revision magno.Revision) (*magno.Plan, error) {
	data, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	next, err := got.Apply(base, revision)
	if next != nil {
		sortRoutes(next)
	}
	return next, err
}

func TestAnyChangeSurvivesARoundTrip(t *testing.T) {
	draw := rapid.MapOf(rapid.StringMatching(`[a-f]`), rapid.IntRange(1, 3))
	rapid.Check(t, func(t *rapid.T) {
		base, next := planWithRoutes(1, draw.Draw(t, "base")), planWithRoutes(2, draw.Draw(t, "next"))
		got, err := roundTrip(t, Diff(base, 7, next), base, 7)
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Routes)+len(next.Routes) > 0 && !reflect.DeepEqual(got, next) {
			t.Fatalf("got %+v, want %+v", got, next)
		}
	})
}

func TestOneRouteOfManyIsSmall(t *testing.T) {
	routes := map[string]int{}
	for i := range 1700 {
		routes[fmt.Sprint("r", i)] = 1000
	}
	base := planWithRoutes(1, routes)
	routes["r7"] = 2000
	d := Diff(base, 3, planWithRoutes(2, routes))
	data, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Routes) != 1 || len(data) > 2048 {
		t.Errorf("%d routes in %d bytes for a change of one route", len(d.Routes), len(data))
	}
}

// A process that missed a change must not apply the next one to what it has.
func TestDeltaForAnotherBaseIsRejected(t *testing.T) {
	base := planWithRoutes(1, map[string]int{"a": 1, "b": 1, "c": 1})
	d := Diff(base, 3, planWithRoutes(2, map[string]int{"a": 1, "b": 1, "c": 2}))
	for _, c := range []struct {
		base     *magno.Plan
		revision magno.Revision
	}{{base, 2}, {nil, 3}} {
		if _, err := roundTrip(t, d, c.base, c.revision); !errors.Is(err, ErrBaseMismatch) {
			t.Errorf("base at %d: %v", c.revision, err)
		}
	}
}

// With duplicate names it is unknown which route changed.
func TestRoutesWithOneNameAreSentWhole(t *testing.T) {
	base := planWithRoutes(1, map[string]int{"a": 1, "b": 1, "c": 1})
	next := planWithRoutes(2, map[string]int{"a": 1, "b": 1, "c": 1})
	next.Routes[1].Name = "a"
	if d := Diff(base, 3, next); d.Base != 0 {
		t.Error("a partial delta to a configuration with duplicate names")
	}
	if d := Diff(next, 3, base); d.Base != 0 {
		t.Error("a partial delta from a configuration with duplicate names")
	}
}

func TestDamagedBytesAreAnError(t *testing.T) {
	data, err := Full(planWithRoutes(1, map[string]int{"a": 1})).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][]byte{nil, data[:len(data)/2], bytes.Repeat([]byte{0xff}, 64)} {
		if _, err := Decode(bad); err == nil {
			t.Errorf("%d corrupt bytes were decoded", len(bad))
		}
	}
}
