package gate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// commands returns what to order for what waits, the most pressing first. At
// most one model is loaded at a time, and nothing is ordered meanwhile: the
// engine refuses it.
func (s *shelf) commands(wanted []string, inUse map[string]bool, now magno.Millis) []magno.Command {
	s.at = now
	if !s.told || s.busy || s.modelMoving() {
		return nil
	}
	if s.spec == nil || s.spec.Replica == "" {
		return s.untold(now)
	}
	if c, ok := s.model(wanted, inUse, now); ok {
		return []magno.Command{c}
	}
	var list []magno.Command
	for _, name := range append(wanted, s.renewals(inUse, now)...) {
		if c, ok := s.adapter(name, inUse, now); ok {
			list = append(list, c)
		}
	}
	return list
}

// untold returns what to order while nobody has told what the engine is to hold.
//
// Load pattern: all machines lose power while the platform's list is away. Agents and
// entries then know of no configuration until it is back, and an engine that begins to
// load its base model only then keeps callers waiting for seconds longer. The one model
// whose copy is on its disk is the one that it held before; which of several it was
// isn't known.
func (s *shelf) untold(now magno.Millis) []magno.Command {
	if len(s.models) > 0 {
		return nil
	}
	only := ""
	for _, name := range s.disk {
		if _, adapter := split(name); adapter != "" || name == only {
			continue
		}
		if only != "" {
			return nil
		}
		only = name
	}
	if only == "" {
		return nil
	}
	s.modelAt = now
	return []magno.Command{s.take(magno.Command{Load: true, Model: only}, now)}
}

func (s *shelf) modelMoving() bool {
	for _, o := range s.taken {
		if o.command.Adapter == "" {
			return true
		}
	}
	return false
}

// model returns the order that brings a base model that is asked for. An
// engine that holds none is given one at once: after a loss of power nobody
// holds any, and waiting for requests would only make the first ones late.
func (s *shelf) model(wanted []string, inUse map[string]bool, now magno.Millis) (magno.Command, bool) {
	models := s.spec.Engine.Models
	if len(models) == 0 {
		return magno.Command{}, false
	}
	want := ""
	for _, name := range wanted {
		if model, _ := split(name); !s.models[model] && s.size(model) > 0 {
			want = model
			break
		}
	}
	if want == "" && len(s.models) == 0 {
		want = models[xxhash.Sum64String(s.spec.Replica)%uint64(len(models))].Name
	}
	if want == "" {
		return magno.Command{}, false
	}
	if s.megabytes()+s.size(want) <= s.spec.Engine.Memory {
		s.modelAt = now
		return s.take(magno.Command{Load: true, Model: want}, now), true
	}
	for model := range s.models {
		if s.idle(model, inUse, now) {
			return s.take(magno.Command{Model: model}, now), true
		}
	}
	return magno.Command{}, false
}

// idle tells whether a base model may make way.
func (s *shelf) idle(model string, inUse map[string]bool, now magno.Millis) bool {
	for name := range inUse {
		if m, _ := split(name); m == model {
			return false
		}
	}
	for _, name := range s.demands.Keys() {
		d, _ := s.demands.Peek(name)
		if m, _ := split(name); m == model && now-d.at < idleModel {
			return false
		}
	}
	return true
}

// size is a base model's in megabytes, zero for one that isn't configured.
func (s *shelf) size(model string) float64 {
	for _, m := range s.spec.Engine.Models {
		if m.Name == model {
			return m.Size
		}
	}
	return 0
}

// adapter returns the order that brings an adapter nearer to being ready: its
// load, or the eviction that makes room for it.
func (s *shelf) adapter(name string, inUse map[string]bool, now magno.Millis) (magno.Command, bool) {
	model, adapter := split(name)
	if adapter == "" || !s.models[model] || s.moving(name) {
		return magno.Command{}, false
	}
	_, held := s.adapters[name]
	if held && !s.stale(name) {
		return magno.Command{}, false
	}
	if !s.mayLoad(name) {
		return magno.Command{}, false
	}
	load := magno.Command{Load: true, Model: model, Adapter: adapter, Version: s.spec.Pins[name]}
	if held || s.fits() {
		if !held { // a newer version in its place comes from the store, however lately the old one was held
			s.began[name] = loading{at: now, rank: s.rank(name)}
		}
		return s.take(load, now), true
	}
	victim, ok := s.victim(inUse, now)
	if !ok {
		return magno.Command{}, false
	}
	model, adapter = split(victim)
	c := s.take(magno.Command{Model: model, Adapter: adapter}, now)
	return c, true
}

// take marks an order as given, so that the same pass doesn't use its room
// twice.
func (s *shelf) take(c magno.Command, now magno.Millis) magno.Command {
	s.taken[QualifiedName(c.Model, c.Adapter)] = order{command: c, at: now}
	return c
}

// mayLoad keeps the loads under way within what engine and store bear.
func (s *shelf) mayLoad(name string) bool {
	cold, all := 0, 0
	count := func(other string) {
		all++
		if !s.inMemory(other) {
			cold++
		}
	}
	for other := range s.coming {
		count(other)
	}
	for other, o := range s.taken {
		if !s.coming[other] && o.command.Load {
			if _, held := s.adapters[other]; !held {
				count(other)
			}
		}
	}
	return all < mostLoads && (s.inMemory(name) || cold < s.width.limit())
}

// fits tells whether one more adapter has a slot and memory.
func (s *shelf) fits() bool {
	adapter := 0.0
	for _, m := range s.spec.Engine.Models {
		adapter = max(adapter, m.Adapter)
	}
	return s.used() < s.spec.Engine.Slots && s.megabytes()+adapter <= s.spec.Engine.Memory
}

// victim is the adapter with the least recent demand that nobody uses.
func (s *shelf) victim(inUse map[string]bool, now magno.Millis) (string, bool) {
	best, least := "", 0.0
	for name := range s.adapters {
		if inUse[name] || s.moving(name) {
			continue
		}
		score := s.score(name, now)
		if s.old(name) {
			score = -1
		}
		if best == "" || score < least || (score == least && name < best) {
			best, least = name, score
		}
	}
	return best, best != ""
}

// renewals lists adapters in use whose new version is due.
func (s *shelf) renewals(inUse map[string]bool, now magno.Millis) []string {
	var list []string
	for name := range s.adapters {
		d, _ := s.demands.Peek(name)
		if s.stale(name) && (inUse[name] || now-d.at < renewAfter) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
