// Package delta encodes a configuration as its difference from an earlier one, for
// processes that tell each other what changed.
//
//	base, next --Diff--> Delta --Encode--> bytes --Decode--> Delta --Apply(base)--> next
//
// Load pattern: a configuration of thousands of routes, of which a change touches
// one or a few, told to every process over links of a few megabits a second. Sent
// whole and as plain text, each change fills those links and keeps small machines
// decoding while callers' requests wait.
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"reflect"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// maxPlain bounds a decoded delta, in bytes: a small damaged value could
// otherwise fill the memory of every process.
const maxPlain = 128 << 20

// ErrBase tells that a delta starts from another configuration than the one at hand.
var ErrBaseMismatch = errors.New("the delta starts from another configuration")

// Delta is how a configuration differs from an earlier one.
type Delta struct {
	// Base is the revision of the configuration that it starts from, zero when it
	// holds a whole one.
	Base int64
	// Rest is the new configuration without its routes.
	Rest magno.Plan
	// Routes are those that are new or changed; Gone names those that were removed.
	// Both are empty in a whole configuration without routes.
	Routes []magno.Route
	Gone   []string
}

// Whole returns a delta that needs no earlier configuration.
func Full(next *magno.Plan) *Delta {
	d := &Delta{Rest: *next, Routes: next.Routes}
	d.Rest.Routes = nil
	return d
}

// Diff returns the difference of next from base, which the list had at the given
// revision. It is whole where that is no larger.
func Diff(base *magno.Plan, revision int64, next *magno.Plan) *Delta {
	old, unique := byName(base)
	if base == nil || revision == 0 || !unique {
		return Full(next)
	}
	d := &Delta{Base: revision, Rest: *next}
	d.Rest.Routes = nil
	for i := range next.Routes {
		r := &next.Routes[i]
		was := old[r.Name]
		delete(old, r.Name)
		if was == nil || !reflect.DeepEqual(was, r) {
			d.Routes = append(d.Routes, *r)
		}
	}
	for name := range old {
		d.Gone = append(d.Gone, name)
	}
	if _, unique = byName(next); !unique || len(d.Routes)+len(d.Gone) >= len(next.Routes) {
		return Full(next)
	}
	return d
}

// byName maps the routes of a configuration; unique is false when two share a name.
func byName(p *magno.Plan) (routes map[string]*magno.Route, unique bool) {
	if p == nil {
		return nil, false
	}
	routes = make(map[string]*magno.Route, len(p.Routes))
	for i := range p.Routes {
		routes[p.Routes[i].Name] = &p.Routes[i]
	}
	return routes, len(routes) == len(p.Routes)
}

// Apply returns the new configuration. Base is the one at hand, which the list had at
// the given revision; it isn't changed. The order of routes may differ from the
// sender's.
func (d *Delta) Apply(base *magno.Plan, revision int64) (*magno.Plan, error) {
	next := d.Rest
	if d.Base == 0 {
		next.Routes = d.Routes
		return &next, nil
	}
	if base == nil || d.Base != revision {
		return nil, errors.Wrapf(ErrBaseMismatch, "%d, not %d", d.Base, revision)
	}
	replaced := make(map[string]bool, len(d.Routes)+len(d.Gone))
	for i := range d.Routes {
		replaced[d.Routes[i].Name] = true
	}
	for _, name := range d.Gone {
		replaced[name] = true
	}
	next.Routes = make([]magno.Route, 0, len(base.Routes)+len(d.Routes))
	for i := range base.Routes {
		if !replaced[base.Routes[i].Name] {
			next.Routes = append(next.Routes, base.Routes[i])
		}
	}
	next.Routes = append(next.Routes, d.Routes...)
	return &next, nil
}

// Encode returns the delta as compressed bytes.
func (d *Delta) Encode() ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	if err := gob.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	return out.Bytes(), nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (*Delta, error) {
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxPlain)
	d := &Delta{}
	if err := gob.NewDecoder(plain).Decode(d); err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	return d, nil
}
