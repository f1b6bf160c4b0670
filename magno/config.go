package magno

// Config is one version of the configuration that operators publish. A process applies
// a version as a whole or keeps the one in force.
type Config struct {
	// Version increases with each publication; a lower one is never applied.
	Version int64 `json:"version"`
	// Customers have unique names.
	Customers []Customer `json:"customers"`
	// Pools have unique names.
	Pools []Pool `json:"pools"`
	// Adapters have unique names.
	Adapters []Adapter `json:"adapters"`
	// Profiles have unique names. Each refers to a customer and a pool of this
	// configuration and, unless the pool is plain, to a version of one of its adapters.
	Profiles []Profile `json:"profiles"`
	// Drained lists instances that accept no new work.
	Drained []string `json:"drained,omitempty"`
	// Rosters are sorted by Since; see package once.
	Rosters []Roster `json:"rosters,omitempty"`
}

// Customer is an organisation whose callers send requests.
type Customer struct {
	Name string `json:"name"`
	// Weight is its relative share of engine time, greater than zero.
	Weight float64 `json:"weight"`
	// Keys are the digests of its callers' API keys; no two customers share one.
	Keys []Digest `json:"keys,omitempty"`
	// Rank is its priority on the operators' platform, 0 highest. It overrides the rank of
	// a route; nil if not set.
	Rank *int `json:"-"`
	// Limit is nil if its requests aren't limited.
	Limit *Limit `json:"limit,omitempty"`
}

// Limit is the rate limit of a customer over all processes.
type Limit struct {
	// Rate is the allowance per second and Burst the additional amount allowed at once.
	// Both are greater than zero.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Tokens is true if the limit counts the tokens of prompt and answer, false if it counts
	// requests. Plain is the number of tokens charged for a request that states none.
	Tokens bool    `json:"tokens,omitempty"`
	Plain  float64 `json:"plain,omitempty"`
}

// Cost returns the cost of a request with a stated number of tokens, zero if it states none.
func (l *Limit) Cost(tokens int) float64 {
	switch {
	case !l.Tokens:
		return 1
	case tokens == 0:
		return l.Plain
	}
	return float64(tokens)
}

// PoolKind is the type of the upstreams in a pool.
type PoolKind string

// The kinds of pool.
const (
	PoolEngine PoolKind = "engine" // model engines that serve adapters
	PoolPlain  PoolKind = "plain"  // plain HTTP services
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Base is the base model of an engine pool, empty for a plain pool.
	Base string `json:"base,omitempty"`
	// LoadRate is the number of adapter loads per second that the weight store allows the
	// pool.
	LoadRate float64 `json:"loadrate,omitempty"`
	// MaxLoads is the number of concurrent loads that still run at full speed.
	MaxLoads int `json:"loadwidth,omitempty"`
}

// Adapter is a LoRA adapter with its versions.
type Adapter struct {
	Name string `json:"name"`
	Base string `json:"base"`
	// Versions are those that a profile may use.
	Versions []string `json:"versions"`
	// Retired versions are rejected; none of them is in Versions.
	Retired []string `json:"retired,omitempty"`
}

// Profile describes a class of requests. Callers select it by the model name.
type Profile struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	Pool     string `json:"pool"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version,omitempty"`
	// Urgency orders requests of one customer, from 0 (least urgent) to 9.
	Urgency int `json:"urgency,omitempty"`
	// Idempotent requests may be executed more than once.
	Idempotent bool `json:"repeat,omitempty"`
	// Deadline is the default if the caller states none.
	Deadline Millis `json:"deadline,omitempty"`
	// Stall weighs delays by adapter loads against batch efficiency, from 0 to 1: with 0
	// requests wait for full batches, with 1 they never do.
	Stall float64 `json:"stall,omitempty"`
	// Retired profiles are rejected with KindRetired.
	Retired bool `json:"retired,omitempty"`
}

// KeyRetention is the default time for which an idempotency key is remembered. A roster
// may be removed once it ended that long ago, since its keys are then rejected as stale.
const KeyRetention = Hour

// Roster lists the instances whose agents are the witnesses of idempotency keys issued
// from Since until Until. Rosters don't overlap, so that a process with an outdated
// configuration rejects a key instead of asking other witnesses than its peers do; see
// package roster.
type Roster struct {
	// Since is the first key time that the roster covers.
	Since Millis `json:"since"`
	// Until is the first key time after the roster. It may be moved to a later time, never
	// to an earlier one.
	Until Millis `json:"until"`
	// Members are names of instances. A name is a slot that outlives the process in it.
	Members []string `json:"members"`
	// DataCentres maps a member to its data centre. It is part of the roster because the
	// lists of live instances differ between processes.
	DataCentres map[string]string `json:"places,omitempty"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Role is the type of a process.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is an entry of the platform's instance list, which may be outdated.
type Instance struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	DataCentre string `json:"dc"`
	// Pool is empty for entry processes.
	Pool string `json:"pool,omitempty"`
	// Address is the IP and port for calls between processes.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// Ref identifies a version of an adapter; its zero value means none.
type Ref struct {
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// String returns adapter@version, the notation of engines.
func (r Ref) String() string {
	if r.Adapter == "" {
		return ""
	}
	return r.Adapter + "@" + r.Version
}
