package gate

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// maxPendingLoads bounds the adapter loads in progress; the engine accepts no more.
	maxPendingLoads = 4
	// initialColdLoad is the assumed time, in ms, of a load from the weight store, and
	// initialWarmLoad of one from the engine's host memory, until a load has been measured.
	initialColdLoad = 250.0
	initialWarmLoad = 25.0
	// cacheSizeDamping divides the correction that one load makes to the estimated cache size:
	// a late report makes a single load look slow.
	cacheSizeDamping = 4
	// loadTimeWeight is the weight of a new sample in the average load times.
	loadTimeWeight = 0.2
	// commandTTL is how long a command without a known outcome counts as carried out.
	commandTTL = magno.Second
	// refusedRetryDelay is the time before a refused command is issued again.
	refusedRetryDelay = 200 * magno.Millis(1)
	// maxRecentAdapters bounds the adapters that may count as cached in the engine's memory.
	// How many it really caches is learned from load times.
	maxRecentAdapters = 128
	// maxDemandEntries bounds the names whose demand is tracked.
	maxDemandEntries = 4096
	// demandHalfLife is the half-life of demand. Popularity shifts within tens of seconds.
	demandHalfLife = 10 * magno.Second
	// updateSpread is the time over which the engines of a pool replace an adapter by a new
	// version. The replacement waits for the adapter's running requests; if all engines started
	// at once, none could take new requests meanwhile.
	updateSpread = 2500 * magno.Millis(1)
	// maxDeclarations bounds the versions of an adapter that an engine didn't load. Beyond it the
	// oldest two switch as one.
	maxDeclarations = 8
	// updateIdleTime is how long an adapter must have had no requests for its update to be
	// deferred until the next request.
	updateIdleTime = 2 * magno.Second
	// modelIdleTime is how long a base model must have had no requests before it may be
	// unloaded for another one.
	modelIdleTime = 5 * magno.Second
)

// declaration is a new version of an adapter.
type declaration struct {
	version int64
	// switchAt is the time after which older versions take no new requests.
	switchAt magno.Millis
}

// inventory tracks what an engine has loaded and is loading, and decides what it loads next.
type inventory struct {
	spec *Spec
	// reported is true after the first report. engineStart and commandCount are from the last
	// one.
	reported     bool
	engineStart  magno.Millis
	commandCount int64
	// now is the time of the current evaluation.
	now magno.Millis
	// running counts the engine's requests; busy is true while it loads a model.
	running int
	busy    bool
	// usedTokens is the token memory that is in use by the latest report.
	usedTokens int
	// modelLoadAt is when the last command to load a base model was issued.
	modelLoadAt magno.Millis
	// adapters maps the loaded adapters to their versions, models holds the loaded base models,
	// and loading the adapters being loaded.
	adapters map[string]int64
	models   map[string]bool
	loading  map[string]bool
	onDisk   []string
	// pending maps names to commands whose effect the report may not show yet.
	pending map[string]pendingCommand
	// limiter bounds concurrent loads from the weight store; loadStarts are the loads in
	// progress.
	limiter    loadLimiter
	loadStarts map[string]loadStart
	// recent holds adapters that the engine had loaded recently, and ranks their positions as
	// of the last report, most recent first. The engine is taken to cache the first cacheSize
	// of them.
	recent    *simplelru.LRU[string, struct{}]
	ranks     map[string]int
	cacheSize int
	// coldMean and warmMean are average load times, zero before the first load.
	coldMean, warmMean float64
	// demand counts requests with exponential decay.
	demand *simplelru.LRU[string, demand]
	// declared holds the versions of each name that were declared later than the first spec, the
	// oldest first, without those that the engine has replaced.
	declared map[string][]declaration
	pinned   map[string]int64
}

type pendingCommand struct {
	command magno.Command
	at      magno.Millis
	// confirmed is false if no reply came.
	confirmed bool
}

// loadStart is a load in progress. rank is the number of other adapters loaded since this one
// was last loaded, maxRecentAdapters if that is not known.
type loadStart struct {
	at   magno.Millis
	rank int
}

type demand struct {
	score float64
	at    magno.Millis
}

func (inv *inventory) setup() {
	inv.cacheSize = maxRecentAdapters
	inv.demand, _ = simplelru.NewLRU[string, demand](maxDemandEntries, nil) // fails only for sizes under 1
	inv.declared, inv.pinned = map[string][]declaration{}, map[string]int64{}
	inv.reset()
}

// reset drops the state of the engine's current incarnation.
func (inv *inventory) reset() {
	inv.adapters, inv.models, inv.loading = map[string]int64{}, map[string]bool{}, map[string]bool{}
	inv.pending, inv.loadStarts = map[string]pendingCommand{}, map[string]loadStart{}
	inv.recent, _ = simplelru.NewLRU[string, struct{}](maxRecentAdapters, nil)
	inv.ranks = nil
	inv.busy, inv.running, inv.usedTokens, inv.onDisk, inv.modelLoadAt = false, 0, 0, nil, 0
}

// restarted reports whether the report comes from a new start of the engine: its start time
// differs, or its command count fell.
func (inv *inventory) restarted(r *magno.Report) bool {
	return inv.reported && (r.StartedAt != inv.engineStart || r.Orders < inv.commandCount)
}

func (inv *inventory) applyReport(r *magno.Report, asked magno.Millis) {
	inv.reported, inv.engineStart, inv.commandCount = true, r.StartedAt, r.Orders
	inv.busy, inv.running, inv.usedTokens, inv.onDisk = r.Busy, r.Running+r.Queued, r.Used, r.LocalModels
	inv.adapters, inv.models, inv.loading = map[string]int64{}, map[string]bool{}, map[string]bool{}
	for model, held := range r.Loaded {
		inv.models[model] = true
		for adapter, version := range held {
			inv.adapters[QualifiedName(model, adapter)] = version
		}
	}
	// Sorted, as averages and ranks depend on the order.
	for _, name := range slices.Sorted(maps.Keys(inv.adapters)) {
		if l, ok := inv.loadStarts[name]; ok {
			delete(inv.loadStarts, name)
			inv.recordLoad(l, asked-l.at)
		}
		inv.recent.Add(name, struct{}{})
	}
	inv.updateRanks()
	for _, p := range r.Loading {
		inv.loading[QualifiedName(p.Model, p.Adapter)] = true
	}
	for name, c := range inv.pending {
		if (c.confirmed && asked >= c.at) || asked > c.at+commandTTL {
			delete(inv.pending, name)
		}
	}
}

// setSpec takes the spec and notes new versions. This engine admits requests to the version before
// until a time of its own within updateSpread, which later versions don't put off. Those of the first
// spec may have been declared long before this process started, and are in force.
func (inv *inventory) setSpec(spec *Spec, now magno.Millis) {
	first := inv.spec == nil
	inv.spec = spec
	for name, version := range spec.Pins {
		if inv.pinned[name] == version {
			continue
		}
		inv.pinned[name] = version
		if first {
			continue
		}
		delay := magno.Millis(xxhash.Sum64String(spec.Replica+name) % uint64(updateSpread))
		list := slices.DeleteFunc(inv.declared[name], func(d declaration) bool { return !inv.precedes(name, d.version) })
		list = append(list, declaration{version, now + delay})
		if len(list) > maxDeclarations {
			list[1].switchAt = list[0].switchAt
			list = slices.Delete(list, 0, 1)
		}
		inv.declared[name] = list
	}
}

// precedes reports whether the loaded version of an adapter is older than the given one.
func (inv *inventory) precedes(name string, version int64) bool {
	held, ok := inv.adapters[name]
	return ok && held != 0 && held < version
}

// outdated reports whether an adapter is loaded in a version older than the pinned one.
func (inv *inventory) outdated(name string) bool {
	return inv.spec != nil && inv.precedes(name, inv.spec.Pins[name])
}

// ready reports whether a request may start: its model and adapter are loaded, in a version
// that may still be used, and are not being replaced.
func (inv *inventory) ready(req *Request) bool {
	if !inv.models[req.Model] || inv.retired(req.qualifiedName()) {
		return false
	}
	if req.Adapter == "" {
		return true
	}
	_, ok := inv.adapters[req.qualifiedName()]
	return ok && !inv.changing(req.qualifiedName())
}

// changing reports whether a load or unload of the adapter is in progress.
func (inv *inventory) changing(name string) bool {
	_, isPending := inv.pending[name]
	return isPending || inv.loading[name]
}

// retired reports whether an adapter's loaded version takes no new requests.
func (inv *inventory) retired(name string) bool {
	if !inv.outdated(name) {
		return false
	}
	for _, d := range inv.declared[name] {
		if inv.precedes(name, d.version) {
			return inv.now >= d.switchAt
		}
	}
	return true
}

func (inv *inventory) version(req *Request) int64 { return inv.adapters[req.qualifiedName()] }

// recordDemand counts a request for a model or adapter.
func (inv *inventory) recordDemand(name string, now magno.Millis) {
	inv.demand.Add(name, demand{score: inv.demandScore(name, now) + 1, at: now})
}

func (inv *inventory) demandScore(name string, now magno.Millis) float64 {
	d, ok := inv.demand.Peek(name)
	if !ok {
		return 0
	}
	return d.score * math.Exp2(-float64(now-d.at)/float64(demandHalfLife))
}

// applyOutcome takes the outcome of a command.
func (inv *inventory) applyOutcome(c magno.Command, o magno.Outcome, now magno.Millis) {
	name := QualifiedName(c.Model, c.Adapter)
	switch o {
	case magno.OrderAccepted, magno.OrderDone:
		inv.pending[name] = pendingCommand{command: c, at: now, confirmed: true}
	case magno.OrderUnknown:
		inv.pending[name] = pendingCommand{command: c, at: now}
	default:
		// Refused. Without the delay, a command that cannot be carried out is issued a hundred
		// times a second.
		inv.pending[name] = pendingCommand{command: c, at: now - commandTTL + refusedRetryDelay}
	}
}

// modelLoadTime is how long a base model takes to load.
func (inv *inventory) modelLoadTime(model string) magno.Millis {
	for _, m := range inv.spec.Engine.Models {
		if m.Name != model {
			continue
		}
		if slices.Contains(inv.onDisk, model) {
			return m.Disk
		}
		return m.Load
	}
	return 0
}

// baseModelWait is how long until the base model is loaded, zero if one is loaded.
func (inv *inventory) baseModelWait() magno.Millis {
	if inv.spec == nil || len(inv.models) > 0 || len(inv.spec.Engine.Models) == 0 {
		return 0
	}
	wait := inv.modelLoadTime(inv.spec.Engine.Models[0].Name)
	if inv.modelLoadAt > 0 {
		wait = max(wait-(inv.now-inv.modelLoadAt), 0)
	}
	return wait
}

// warmHashes lists the hashes of what is loaded and may be used, in ascending order.
func (inv *inventory) warmHashes() []uint32 {
	list := make([]uint32, 0, len(inv.adapters)+len(inv.models))
	for name := range inv.adapters {
		if !inv.retired(name) && !inv.changing(name) {
			list = append(list, magno.Ref{Adapter: name}.Hash())
		}
	}
	for name := range inv.models {
		list = append(list, magno.Ref{Adapter: name}.Hash())
	}
	slices.Sort(list)
	return list
}

// slotsUsed counts the adapters that occupy a slot, loads in progress included.
func (inv *inventory) slotsUsed() int {
	n := len(inv.adapters)
	for name := range inv.loading {
		if _, held := inv.adapters[name]; !held {
			n++
		}
	}
	for name, c := range inv.pending {
		if _, held := inv.adapters[name]; !held && !inv.loading[name] && c.command.Adapter != "" && c.command.Load {
			n++
		}
	}
	return n
}

// memoryUsed is the memory, in megabytes, of what is loaded or being loaded.
func (inv *inventory) memoryUsed() float64 {
	sum, adapter := 0.0, 0.0
	for _, m := range inv.spec.Engine.Models {
		if _, isPending := inv.pending[m.Name]; isPending || inv.models[m.Name] {
			sum += m.Size
		}
		adapter = max(adapter, m.Adapter)
	}
	return sum + float64(inv.slotsUsed())*adapter
}

// splitName splits a qualified name into model and adapter.
func splitName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
