package magno

import (
	"strconv"
	"strings"
)

// RouteKind tells whether the requests of a route may be repeated.
type RouteKind int

// The kinds of route.
const (
	// RouteOnce requests are executed at most once for each attempt of the caller.
	RouteOnce RouteKind = iota
	// RouteIdempotent requests may be executed more than once.
	RouteIdempotent
	// RouteStream requests are answered by a stream of events. They are handled as
	// RouteOnce unless the route allows to resume them.
	RouteStream
)

// Part is the share of a service in the traffic of a route.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Parts is never empty, and its weights are positive.
	Parts []Part `json:"parts"`
	// Attempts is the maximum number of upstreams to which a request is sent, at least 1.
	Attempts int `json:"attempts"`
	// Timeout is the maximum time until the last byte of the answer.
	Timeout Millis `json:"timeout"`
	// Aim is the target latency of an answer, or of the first event of a stream.
	Aim Millis `json:"aim"`
	// Gap is the target for the longest gap between two events of a stream.
	Gap Millis `json:"gap"`
	// Rank is the priority, 0 highest.
	Rank int `json:"rank"`
	// Resume allows a stream to continue on another upstream.
	Resume bool `json:"resume"`
	// Public requests need no API key.
	Public bool `json:"public,omitempty"`
}

// Repeatable tells whether a request that may have been executed can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resume)
}

// Model is a base model that the upstreams of a service can load.
type Model struct {
	Name string `json:"name"`
	// Size is the size of the weights and Adapter that of one adapter, in megabytes.
	Size    float64 `json:"size"`
	Adapter float64 `json:"adapter"`
	// Load is the time to load the weights from the weight store, Disk from the upstream's
	// own disk.
	Load Millis `json:"load"`
	Disk Millis `json:"disk"`
}

// Engine describes the upstreams of a service that run models.
type Engine struct {
	Models []Model `json:"models"`
	// Slots is the maximum number of loaded adapters, Memory the megabytes for weights and
	// adapters together, Tokens the capacity of the KV cache in tokens.
	Slots  int     `json:"slots"`
	Memory float64 `json:"memory"`
	Tokens int     `json:"tokens"`
	// Batch is the maximum number of running requests.
	Batch int `json:"batch"`
	// Stride is the number of tokens in an event of a stream, zero if the configuration
	// doesn't state it.
	Stride int `json:"stride,omitempty"`
}

// Service is a pool of upstreams.
type Service struct {
	Name string `json:"name"`
	// Conns is the number of connections that one upstream accepts from all callers.
	Conns int `json:"conns"`
	// Engine is nil for a plain service.
	Engine *Engine `json:"engine,omitempty"`
}

// Plan is the complete configuration by the operators.
type Plan struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Customers is empty if callers need no API keys.
	Customers []Customer `json:"customers,omitempty"`
	// Body and Header are the size limits of a request, in bytes.
	Body   int64 `json:"body"`
	Header int   `json:"header"`
}

// Keyed tells whether requests of a route need an API key.
func (p *Plan) Keyed(r *Route) bool { return len(p.Customers) > 0 && !r.Public }

// Service returns the service with the given name, nil if there is none.
func (p *Plan) Service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Replica is an upstream of a service in the platform's list.
type Replica struct {
	// ID and StartedAt identify an incarnation: an upstream that restarts may keep its ID
	// but has lost its state.
	ID        string `json:"id"`
	StartedAt Millis `json:"born"`
	// Service, Address and DataCentre are never empty.
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dc"`
	// Slots is the maximum number of running requests, at least 1.
	Slots int `json:"slots"`
	// Leaving replicas are sent no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Build is the version of its software, empty if not stated. What two builds write doesn't
	// fit into one stream.
	Build string `json:"build,omitempty"`
	// Since is the revision of the list that created the entry. Of two entries with the
	// same address, the one with the higher value is current.
	Since Revision `json:"since"`
}

// Key identifies the incarnation.
func (r *Replica) Key() string { return r.ID + "@" + strconv.FormatInt(int64(r.StartedAt), 10) }

// KeyStart returns the start time in a key, zero if unknown.
func KeyStart(key string) Millis {
	_, text, _ := strings.Cut(key, "@")
	start, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return Millis(start)
}

// Change is the state of an item of the platform's list at a revision. At most one of
// Plan, Replica and Pin is set.
type Change struct {
	// Key is the name of the item and Revision that of its last change. A higher revision
	// of a key replaces a lower one, whichever process it comes from.
	Key      string   `json:"key"`
	Revision Revision `json:"rev"`
	Deleted  bool     `json:"deleted,omitempty"`
	// Fault is the reason why the item is invalid. It is then treated as deleted.
	Fault string `json:"fault,omitempty"`
	Plan  *Plan  `json:"-"`
	// PlanDelta is an encoded delta.Delta that transfers Plan to other processes.
	PlanDelta []byte   `json:"plan,omitempty"`
	Replica   *Replica `json:"replica,omitempty"`
	// Pin sets the newest version of an adapter.
	Pin *Pin `json:"pin,omitempty"`
}

// Empty tells whether a change has no content.
func (c *Change) Empty() bool {
	return !c.Deleted && c.Fault == "" && c.Plan == nil && c.Replica == nil && c.Pin == nil
}

// Pin sets the newest version of an adapter.
type Pin struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Number  int64  `json:"number"`
}
