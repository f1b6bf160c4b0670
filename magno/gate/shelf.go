package gate

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

const (
	// mostLoads is how many adapters may be on their way to an engine at once;
	// it takes no more.
	mostLoads = 4
	// priorCold is the time of a load from the store in ms, priorWarm of one that
	// the engine held lately, until loads show.
	priorCold = 250.0
	priorWarm = 25.0
	// keepPart is by what part of the difference one load corrects how many
	// adapters an engine keeps: a report that comes late makes one load look slow.
	keepPart = 4
	// loadGain weighs a further load in either.
	loadGain = 0.2
	// orderedLife is how long an order without a clear outcome counts as taken.
	orderedLife = magno.Second
	// orderPause is how long an order that was refused isn't given again.
	orderPause = 200 * magno.Millis(1)
	// mostKnown bounds the adapters that may count as held lately. How many an
	// engine keeps in its memory shows by the times of loads.
	mostKnown = 128
	// mostDemand bounds the adapters whose demand is known.
	mostDemand = 4096
	// demandHalf is the time in which demand counts half. Popularity moves
	// within tens of seconds.
	demandHalf = 10 * magno.Second
	// renewSpread is the time over which the engines of a pool replace an
	// adapter by a new version. A replacement waits for its runs, and if all
	// engines began at once no one could take new requests meanwhile.
	renewSpread = 2500 * magno.Millis(1)
	// renewAfter is how long an adapter must be without requests to be replaced
	// only when it is asked for again.
	renewAfter = 2 * magno.Second
	// idleModel is how long a base model must be without requests to make way
	// for another.
	idleModel = 5 * magno.Second
)

// shelf is what an engine holds and what is on its way.
type shelf struct {
	spec *Spec
	// told is true once a report came. born and orders are the last one's.
	told   bool
	born   magno.Millis
	orders int64
	// at is the time of the last look.
	at magno.Millis
	// running counts the engine's requests, busy is true while it loads a
	// model.
	running int
	busy    bool
	// modelAt is when the last order to load a base model was given.
	modelAt magno.Millis
	// adapters maps names to the versions that are held, models tells which
	// base models are, coming which adapters are on their way.
	adapters map[string]int64
	models   map[string]bool
	coming   map[string]bool
	disk     []string
	// taken maps the names of orders to when they were answered; the report
	// may not show them yet.
	taken map[string]order
	// width bounds loads from the store; began is when those under way were
	// ordered.
	width width
	began map[string]loading
	// known are adapters that the engine held lately, ranks their places by the
	// last report, the newest first; it keeps the first keeps of them.
	known *simplelru.LRU[string, struct{}]
	ranks map[string]int
	keeps int
	// coldTime and warmTime are what loads took, zero before the first.
	coldTime, warmTime float64
	// demands counts requests, decayed.
	demands *simplelru.LRU[string, demand]
	// renew maps a name to when its old version is no longer given out.
	renew map[string]magno.Millis
	seen  map[string]int64
}

type order struct {
	command magno.Command
	at      magno.Millis
	// sure is false when no answer came.
	sure bool
}

// loading is a load that was ordered. Rank is how many other adapters the engine
// held since it held this one, mostKnown when it isn't known to have.
type loading struct {
	at   magno.Millis
	rank int
}

type demand struct {
	score float64
	at    magno.Millis
}

func (s *shelf) setup() {
	s.keeps = mostKnown
	s.demands, _ = simplelru.NewLRU[string, demand](mostDemand, nil) // fails for sizes under 1 only
	s.renew, s.seen = map[string]magno.Millis{}, map[string]int64{}
	s.forget()
}

// forget drops what only this incarnation of the engine held.
func (s *shelf) forget() {
	s.adapters, s.models, s.coming = map[string]int64{}, map[string]bool{}, map[string]bool{}
	s.taken, s.began = map[string]order{}, map[string]loading{}
	s.known, _ = simplelru.NewLRU[string, struct{}](mostKnown, nil)
	s.ranks = nil
	s.busy, s.running, s.disk, s.modelAt = false, 0, nil, 0
}

// restarted tells whether the report is of another start of the engine: it
// says so, or counts its orders anew.
func (s *shelf) restarted(r *magno.Report) bool {
	return s.told && (r.Born != s.born || r.Orders < s.orders)
}

func (s *shelf) report(r *magno.Report, asked magno.Millis) {
	s.told, s.born, s.orders = true, r.Born, r.Orders
	s.busy, s.running, s.disk = r.Busy, r.Running+r.Queued, r.Warm
	s.adapters, s.models, s.coming = map[string]int64{}, map[string]bool{}, map[string]bool{}
	for model, held := range r.Held {
		s.models[model] = true
		for adapter, version := range held {
			name := QualifiedName(model, adapter)
			s.adapters[name] = version
			if l, ok := s.began[name]; ok {
				delete(s.began, name)
				s.loaded(l, asked-l.at)
			}
			s.known.Add(name, struct{}{})
		}
	}
	s.rankAll()
	for _, p := range r.Coming {
		s.coming[QualifiedName(p.Model, p.Adapter)] = true
	}
	for name, o := range s.taken {
		if (o.sure && asked >= o.at) || asked > o.at+orderedLife {
			delete(s.taken, name)
		}
	}
}

// setSpec notes newer versions. An adapter that is held in an old one is still
// given out for a time of its own within renewSpread.
func (s *shelf) setSpec(spec *Spec, now magno.Millis) {
	s.spec = spec
	for name, version := range spec.Pins {
		if s.seen[name] == version {
			continue
		}
		s.seen[name] = version
		part := magno.Millis(xxhash.Sum64String(spec.Replica+name) % uint64(renewSpread))
		s.renew[name] = now + part
	}
}

// old tells whether an adapter is held in a version that was replaced.
func (s *shelf) old(name string) bool {
	held, ok := s.adapters[name]
	return ok && held != 0 && s.spec != nil && held < s.spec.Pins[name]
}

// ready tells whether a request may begin: its adapter is there, in a version
// that may still be given out, and isn't being replaced.
func (s *shelf) ready(a *Request) bool {
	if !s.models[a.Model] || s.stale(a.name()) {
		return false
	}
	if a.Adapter == "" {
		return true
	}
	_, ok := s.adapters[a.name()]
	return ok && !s.moving(a.name())
}

// moving tells whether an order for the adapter is under way.
func (s *shelf) moving(name string) bool {
	_, taken := s.taken[name]
	return taken || s.coming[name]
}

// stale tells whether an old version is no longer given out.
func (s *shelf) stale(name string) bool { return s.old(name) && s.at >= s.renew[name] }

func (s *shelf) version(a *Request) int64 { return s.adapters[a.name()] }

// wanted counts a request for an adapter.
func (s *shelf) wanted(name string, now magno.Millis) {
	s.demands.Add(name, demand{score: s.score(name, now) + 1, at: now})
}

func (s *shelf) score(name string, now magno.Millis) float64 {
	d, ok := s.demands.Peek(name)
	if !ok {
		return 0
	}
	return d.score * math.Exp2(-float64(now-d.at)/float64(demandHalf))
}

// ordered takes what became of a command.
func (s *shelf) ordered(c magno.Command, o magno.Outcome, now magno.Millis) {
	name := QualifiedName(c.Model, c.Adapter)
	switch o {
	case magno.OrderAccepted, magno.OrderDone:
		s.taken[name] = order{command: c, at: now, sure: true}
	case magno.OrderUnknown:
		s.taken[name] = order{command: c, at: now}
	default:
		// Refused. Given again at once, an order that can't be obeyed is given
		// a hundred times a second.
		s.taken[name] = order{command: c, at: now - orderedLife + orderPause}
	}
}

// modelWait is how long a base model takes to load.
func (s *shelf) modelWait(model string) magno.Millis {
	for _, m := range s.spec.Engine.Models {
		if m.Name != model {
			continue
		}
		if slices.Contains(s.disk, model) {
			return m.Disk
		}
		return m.Load
	}
	return 0
}

// baseWait is how long the base model takes to load where none is held.
func (s *shelf) baseWait() magno.Millis {
	if s.spec == nil || len(s.models) > 0 || len(s.spec.Engine.Models) == 0 {
		return 0
	}
	wait := s.modelWait(s.spec.Engine.Models[0].Name)
	if s.modelAt > 0 {
		wait = max(wait-(s.at-s.modelAt), 0)
	}
	return wait
}

// warm lists the hashes of what is held and may be given out, in ascending
// order.
func (s *shelf) warm() []uint32 {
	list := make([]uint32, 0, len(s.adapters)+len(s.models))
	for name := range s.adapters {
		if !s.stale(name) && !s.moving(name) {
			list = append(list, magno.Ref{Adapter: name}.Hash())
		}
	}
	for name := range s.models {
		list = append(list, magno.Ref{Adapter: name}.Hash())
	}
	slices.Sort(list)
	return list
}

// used counts the adapters that take a slot or will.
func (s *shelf) used() int {
	n := len(s.adapters)
	for name := range s.coming {
		if _, held := s.adapters[name]; !held {
			n++
		}
	}
	for name, o := range s.taken {
		if _, held := s.adapters[name]; !held && !s.coming[name] && o.command.Adapter != "" && o.command.Load {
			n++
		}
	}
	return n
}

// megabytes is the memory of all that is held or will be.
func (s *shelf) megabytes() float64 {
	sum, adapter := 0.0, 0.0
	for _, m := range s.spec.Engine.Models {
		if _, taken := s.taken[m.Name]; taken || s.models[m.Name] {
			sum += m.Size
		}
		adapter = max(adapter, m.Adapter)
	}
	return sum + float64(s.used())*adapter
}

// split parts a name into model and adapter.
func split(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
