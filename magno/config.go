package magno

// Config is one version of what operators publish. A process takes a whole
// version or keeps the one it has.
type Config struct {
	// Version only grows; a lower one is never put in force.
	Version int64 `json:"version"`
	// Customers have unique names.
	Customers []Customer `json:"customers"`
	// Pools have unique names.
	Pools []Pool `json:"pools"`
	// Adapters have unique names.
	Adapters []Adapter `json:"adapters"`
	// Profiles have unique names; each names a known customer and pool, and
	// a known version of a known adapter unless its pool is plain.
	Profiles []Profile `json:"profiles"`
	// Drained lists instances that take no new work.
	Drained []string `json:"drained,omitempty"`
	// Rosters are in order of Since; see the package once.
	Rosters []Roster `json:"rosters,omitempty"`
}

// Customer is one of the organisations whose callers send requests.
type Customer struct {
	Name string `json:"name"`
	// Weight is its share of engine time against the others', over zero.
	Weight float64 `json:"weight"`
	// Keys are the digests of its callers' keys; no two customers share one.
	Keys []Digest `json:"keys,omitempty"`
	// Rank is its urgency on the users' platform, 0 first. It goes before that of a
	// route; nil for none.
	Rank *int `json:"-"`
	// Limit is nil where its requests aren't limited.
	Limit *Limit `json:"limit,omitempty"`
}

// Limit is how much a customer may have run, over all processes.
type Limit struct {
	// Rate is so much a second, Burst what may come at once beside it; both are over
	// zero.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens is true where tokens count, of prompt and answer together, and false where
	// requests do. Plain is what a request counts that names no tokens.
	Tokens bool    `json:"tokens,omitempty"`
	Plain  float64 `json:"plain,omitempty"`
}

// Cost is what a request counts that names so many tokens, zero for none.
func (l *Limit) Cost(tokens int) float64 {
	switch {
	case !l.Tokens:
		return 1
	case tokens == 0:
		return l.Plain
	}
	return float64(tokens)
}

// PoolKind says what stands behind a pool.
type PoolKind string

// The kinds of pool.
const (
	PoolEngine PoolKind = "engine" // model engines that run adapters
	PoolPlain  PoolKind = "plain"  // plain services
)

// Pool is a set of like upstreams.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Base is the base model of an engine pool, empty for a plain one.
	Base string `json:"base,omitempty"`
	// LoadRate is how many adapter loads a second the weight store allows
	// the pool.
	LoadRate float64 `json:"loadrate,omitempty"`
	// LoadWidth is how many loads run at once at full speed.
	MaxLoads int `json:"loadwidth,omitempty"`
}

// Adapter is a LoRA adapter and its versions.
type Adapter struct {
	Name string `json:"name"`
	Base string `json:"base"`
	// Versions that may be named by a profile.
	Versions []string `json:"versions"`
	// Retired versions are refused; none is in Versions as well.
	Retired []string `json:"retired,omitempty"`
}

// Profile states what a kind of work needs. Callers name it as the model.
type Profile struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Pool     string `json:"pool"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version,omitempty"`
	// Urgency orders work within a customer; 0 is the least urgent, 9 the
	// most.
	Urgency int `json:"urgency,omitempty"`
	// Repeat is true when the work is idempotent and may be run again.
	Idempotent bool `json:"repeat,omitempty"`
	// Deadline in milliseconds holds where the caller states none.
	Deadline Millis `json:"deadline,omitempty"`
	// Stall is how heavily load stalls count against batch efficiency, 0 to
	// 1: 0 waits for full batches, 1 never waits for one.
	Stall float64 `json:"stall,omitempty"`
	// Retired profiles are refused with their own kind.
	Retired bool `json:"retired,omitempty"`
}

// KeyRetention is how long an idempotency key is remembered unless settings say
// otherwise, in milliseconds. A roster may be dropped once it ended that long
// ago, for its keys are then refused as stale.
const KeyRetention = Hour

// Roster names the instances whose agents witness keys issued from Since until
// Until. No two rosters cover the same time, so that a process with an old
// configuration refuses a key rather than ask other witnesses for it than its
// peers do; see the package roster.
type Roster struct {
	// Since is the first key time, in milliseconds, that the roster covers.
	Since Millis `json:"since"`
	// Until is the first key time that it no longer covers. It may be moved
	// ahead but never back.
	Until Millis `json:"until"`
	// Members are names of instances, each a slot that outlives the process
	// in it.
	Members []string `json:"members"`
	// Places maps a member to its data centre. It is published with the
	// roster because lists of live instances differ between processes.
	DataCentres map[string]string `json:"places,omitempty"`
}

// InstanceState is what the platform's list says of an instance.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Role is what a process of the system is.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is one row of the platform's lagging list.
type Instance struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"dc"`
	// Pool is empty for an entry.
	Pool string `json:"pool,omitempty"`
	// Address is the process's own port, IP and port.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// Ref names one version of one adapter; its zero value means none.
type Ref struct {
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// String returns adapter@version, the form that engines use.
func (r Ref) String() string {
	if r.Adapter == "" {
		return ""
	}
	return r.Adapter + "@" + r.Version
}
