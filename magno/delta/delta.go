// Package delta encodes a configuration as its difference from an earlier one, for
// sending changes between processes.
//
//	base, next --Diff--> Delta --Encode--> bytes --Decode--> Delta --Apply(base)--> next
//
// Load pattern: a configuration has thousands of routes, a change affects one or a few
// of them, and it is sent to every process over links of a few megabits a second.
// Sending the whole configuration as plain text would saturate those links and keep
// small machines busy decoding while requests wait.
package delta

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"reflect"
	"sync"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// maxDecodedBytes limits the decompressed size of a delta. A small corrupt value could
// otherwise exhaust the memory of every process.
const maxDecodedBytes = 128 << 20

// ErrBaseMismatch means that a delta has another base than the given configuration.
var ErrBaseMismatch = errors.New("the delta is based on another configuration")

// Delta is the difference of a configuration from an earlier one.
type Delta struct {
	// Base is the revision of the earlier configuration; zero if the delta holds a full
	// one.
	Base magno.Revision
	// Rest is the new configuration without its routes.
	Rest magno.Plan
	// Routes holds the new and changed routes, and Gone the names of removed ones. Both
	// are empty in a full configuration without routes.
	Routes []magno.Route
	Gone   []string
}

// Full returns a delta that needs no earlier configuration.
func Full(next *magno.Plan) *Delta {
	d := &Delta{Rest: *next, Routes: next.Routes}
	d.Rest.Routes = nil
	return d
}

// Diff returns the difference of next from base, which the list had at the given
// revision. If it is no smaller than the full configuration, Diff returns that.
func Diff(base *magno.Plan, revision magno.Revision, next *magno.Plan) *Delta {
	old, unique := routesByName(base)
	if base == nil || revision == 0 || !unique {
		return Full(next)
	}
	d := &Delta{Base: revision, Rest: *next}
	d.Rest.Routes = nil
	for i := range next.Routes {
		r := &next.Routes[i]
		previous := old[r.Name]
		delete(old, r.Name)
		if previous == nil || !reflect.DeepEqual(previous, r) {
			d.Routes = append(d.Routes, *r)
		}
	}
	for name := range old {
		d.Gone = append(d.Gone, name)
	}
	if _, unique = routesByName(next); !unique || len(d.Routes)+len(d.Gone) >= len(next.Routes) {
		return Full(next)
	}
	return d
}

// routesByName maps the routes of a configuration by name; unique is false if two of them
// share a name.
func routesByName(p *magno.Plan) (routes map[string]*magno.Route, unique bool) {
	if p == nil {
		return nil, false
	}
	routes = make(map[string]*magno.Route, len(p.Routes))
	for i := range p.Routes {
		routes[p.Routes[i].Name] = &p.Routes[i]
	}
	return routes, len(routes) == len(p.Routes)
}

// Apply returns the new configuration, made from base, which the list had at the given
// revision and which isn't modified. The order of routes may differ from the sender's.
func (d *Delta) Apply(base *magno.Plan, revision magno.Revision) (*magno.Plan, error) {
	next := d.Rest
	if d.Base == 0 {
		next.Routes = d.Routes
		return &next, nil
	}
	if base == nil || d.Base != revision {
		return nil, errors.Wrapf(ErrBaseMismatch, "delta of revision %d, configuration of revision %d", d.Base, revision)
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

// compressors holds compressors for reuse. Each has more than a megabyte.
var compressors sync.Pool

// Encode returns the delta as compressed bytes.
func (d *Delta) Encode() ([]byte, error) {
	var out bytes.Buffer
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "delta")
		}
	}
	defer compressors.Put(w)
	w.Reset(&out)
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
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes)
	d := &Delta{}
	if err := gob.NewDecoder(decompressed).Decode(d); err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	return d, nil
}
