package magno

import "strconv"

// RouteKind tells what may be repeated of a route's requests.
type RouteKind int

// The kinds of route.
const (
	// KindOnce requests run at most once for each attempt of the caller.
	RouteOnce RouteKind = iota
	// KindRepeat requests are idempotent.
	RouteIdempotent
	// KindStream answers come as events; they count as KindOnce unless the
	// route allows to resume them.
	RouteStream
)

// Part is a share of a route's traffic.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route maps requests of a host and path to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Parts has at least one element; weights are positive.
	Parts []Part `json:"parts"`
	// Attempts is the most upstreams that one request is sent to, at least 1.
	Attempts int `json:"attempts"`
	// Timeout is how long a request may be kept waiting for its last byte.
	Timeout Millis `json:"timeout"`
	// Aim is the time within which an answer, or a stream's first event, is
	// worth most.
	Aim Millis `json:"aim"`
	// Gap is the longest pause between events of a stream that is on time.
	Gap Millis `json:"gap"`
	// Rank is the urgency, 0 first.
	Rank int `json:"rank"`
	// Resume allows a stream to go on at another upstream.
	Resume bool `json:"resume"`
	// Public requests need no key.
	Public bool `json:"public,omitempty"`
}

// Repeatable is true when a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resume)
}

// Model is a base model that upstreams of a service can hold.
type Model struct {
	Name string `json:"name"`
	// Size and Adapter are megabytes, of the weights and of one adapter.
	Size    float64 `json:"size"`
	Adapter float64 `json:"adapter"`
	// Load is how long the weights take from the weight store, Disk from the
	// upstream's own disk.
	Load Millis `json:"load"`
	Disk Millis `json:"disk"`
}

// Engine is what the upstreams of a service are, when they run models.
type Engine struct {
	Models []Model `json:"models"`
	// Slots is how many adapters an upstream holds, Memory the megabytes for
	// weights and adapters together, Tokens its room for prompts.
	Slots  int     `json:"slots"`
	Memory float64 `json:"memory"`
	Tokens int     `json:"tokens"`
	// Batch is how many requests run at once.
	Batch int `json:"batch"`
	// Stride is how many tokens an event of a stream holds, zero when the
	// configuration doesn't say.
	Stride int `json:"stride,omitempty"`
}

// Service is a pool of upstreams.
type Service struct {
	Name string `json:"name"`
	// Conns is how many connections one upstream accepts from all callers.
	Conns int `json:"conns"`
	// Engine is nil for a plain service.
	Engine *Engine `json:"engine,omitempty"`
}

// Plan is the operators' whole configuration.
type Plan struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Customers are empty where callers need no keys.
	Customers []Customer `json:"customers,omitempty"`
	// Body and Header bound a request, in bytes.
	Body   int64 `json:"body"`
	Header int   `json:"header"`
}

// Keyed tells whether requests of a route need a key.
func (p *Plan) Keyed(r *Route) bool { return len(p.Customers) > 0 && !r.Public }

// Service returns the service of that name, nil when there is none.
func (p *Plan) Service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Replica is one upstream of a service as the platform lists it.
type Replica struct {
	// ID and Born together name one incarnation: an upstream that starts again
	// may keep its ID and has forgotten everything.
	ID        string `json:"id"`
	StartedAt Millis `json:"born"`
	// Service, Address and DataCentre are never empty.
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dc"`
	// Slots is how many requests run at once, at least 1.
	Slots int `json:"slots"`
	// Leaving replicas get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Since is the list's revision at which the entry was made. Of two entries
	// with one address, the later names who is there.
	Since int64 `json:"since"`
}

// Key names the incarnation.
func (r *Replica) Key() string { return r.ID + "@" + strconv.FormatInt(int64(r.StartedAt), 10) }

// Change is one item of the platform's list, as it was written or removed at a
// revision. At most one of Plan, Replica and Pin is set.
type Change struct {
	// Key is the item's name and Revision its last change. A higher revision
	// of a key replaces a lower one, whoever brings it.
	Key      string `json:"key"`
	Revision int64  `json:"rev"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Fault is why the item could not be used; the key is then as if deleted.
	Fault string `json:"fault,omitempty"`
	Plan  *Plan  `json:"-"`
	// Packed is how other processes are told of Plan: an encoded delta.Delta.
	PlanDelta []byte   `json:"plan,omitempty"`
	Replica   *Replica `json:"replica,omitempty"`
	// Pin declares the newest version of an adapter.
	Pin *Pin `json:"pin,omitempty"`
}

// Empty tells whether a change says nothing of its item.
func (c *Change) Empty() bool {
	return !c.Deleted && c.Fault == "" && c.Plan == nil && c.Replica == nil && c.Pin == nil
}

// Pin is the newest version of an adapter.
type Pin struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Number  int64  `json:"number"`
}
