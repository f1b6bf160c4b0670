// Package paths finds the route of a request by its host and path, and picks the
// service where a route splits its traffic.
//
// Load pattern: every request is matched, against a few to several hundred routes. A
// lookup costs one map access for each slash of the path, however many routes there
// are; a linear scan of the prefixes took time in proportion to their number.
package paths

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// Table maps hosts and path prefixes to routes. It is immutable.
type Table struct {
	routes map[key]*magno.Route
}

type key struct {
	host, prefix string
}

// New builds the table of a configuration.
func New(p *magno.Plan) *Table {
	t := &Table{routes: make(map[key]*magno.Route, len(p.Routes))}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[key{strings.ToLower(r.Host), r.Prefix}] = r
	}
	return t
}

// Find returns the route with the longest prefix of path, or nil when there is none. A
// port in host is ignored.
func (t *Table) Find(host, path string) *magno.Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := t.routes[key{host, path[:slash+1]}]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// PickService picks the service of a request by the hash of its attempt ID, so that all
// copies of one attempt go to the same service.
func PickService(r *magno.Route, attempt string) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	var total float64
	for _, p := range r.Parts {
		total += p.Weight
	}
	point := float64(xxhash.Sum64String(attempt)>>11) / (1 << 53) * total
	for _, p := range r.Parts {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return r.Parts[len(r.Parts)-1].Service
}
