package gate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// commands returns the commands to issue for the given names, most urgent first. At most one
// base model is loaded at a time, and nothing else is issued meanwhile: the engine would refuse
// it.
func (inv *inventory) commands(wanted []string, inUse map[string]bool, now magno.Millis) []magno.Command {
	inv.now = now
	if !inv.reported || inv.busy || inv.modelChanging() {
		return nil
	}
	if inv.spec == nil || inv.spec.Replica == "" {
		return inv.commandsWithoutSpec(now)
	}
	if c, ok := inv.modelCommand(wanted, inUse, now); ok {
		return []magno.Command{c}
	}
	var list []magno.Command
	for _, name := range append(wanted, inv.dueUpdates(inUse, now)...) {
		if c, ok := inv.adapterCommand(name, inUse, now); ok {
			list = append(list, c)
		}
	}
	return list
}

// commandsWithoutSpec returns the commands to issue before any spec was received.
//
// After a power failure of all machines, agents and entries have no configuration until the
// platform's instance list is available again. An engine that starts to load its base model
// only then would keep callers waiting for seconds longer. If exactly one model has a copy on
// the engine's disk, it is the one that was loaded before; of several, it is not known which.
func (inv *inventory) commandsWithoutSpec(now magno.Millis) []magno.Command {
	if len(inv.models) > 0 {
		return nil
	}
	only := ""
	for _, name := range inv.onDisk {
		if _, adapter := splitName(name); adapter != "" || name == only {
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
	inv.modelLoadAt = now
	return []magno.Command{inv.markPending(magno.Command{Load: true, Model: only}, now)}
}

func (inv *inventory) modelChanging() bool {
	for _, c := range inv.pending {
		if c.command.Adapter == "" {
			return true
		}
	}
	return false
}

// modelCommand returns the command that makes a requested base model available. An engine
// without any model loads one immediately: after a power failure no engine has one, and waiting
// for requests would only delay the first of them.
func (inv *inventory) modelCommand(wanted []string, inUse map[string]bool, now magno.Millis) (magno.Command, bool) {
	models := inv.spec.Engine.Models
	if len(models) == 0 {
		return magno.Command{}, false
	}
	want := ""
	for _, name := range wanted {
		if model, _ := splitName(name); !inv.models[model] && inv.modelSize(model) > 0 {
			want = model
			break
		}
	}
	if want == "" && len(inv.models) == 0 {
		want = models[xxhash.Sum64String(inv.spec.Replica)%uint64(len(models))].Name
	}
	if want == "" {
		return magno.Command{}, false
	}
	if inv.memoryUsed()+inv.modelSize(want) <= inv.spec.Engine.Memory {
		inv.modelLoadAt = now
		return inv.markPending(magno.Command{Load: true, Model: want}, now), true
	}
	for model := range inv.models {
		if inv.modelIdle(model, inUse, now) {
			return inv.markPending(magno.Command{Model: model}, now), true
		}
	}
	return magno.Command{}, false
}

// modelIdle reports whether a base model may be unloaded for another one.
func (inv *inventory) modelIdle(model string, inUse map[string]bool, now magno.Millis) bool {
	for name := range inUse {
		if m, _ := splitName(name); m == model {
			return false
		}
	}
	for _, name := range inv.demand.Keys() {
		d, _ := inv.demand.Peek(name)
		if m, _ := splitName(name); m == model && now-d.at < modelIdleTime {
			return false
		}
	}
	return true
}

// available reports whether the engine holds a base model or may be ordered to load it.
func (inv *inventory) available(model string) bool {
	return inv.models[model] || slices.ContainsFunc(inv.spec.Engine.Models, func(m magno.Model) bool { return m.Name == model })
}

// modelSize is the size of a base model in megabytes, zero if it is not configured.
func (inv *inventory) modelSize(model string) float64 {
	for _, m := range inv.spec.Engine.Models {
		if m.Name == model {
			return m.Size
		}
	}
	return 0
}

// adapterCommand returns the next command towards making an adapter ready: its load, or the
// eviction that makes room for it.
func (inv *inventory) adapterCommand(name string, inUse map[string]bool, now magno.Millis) (magno.Command, bool) {
	model, adapter := splitName(name)
	if adapter == "" || !inv.models[model] || inv.changing(name) {
		return magno.Command{}, false
	}
	_, held := inv.adapters[name]
	if held && !inv.retired(name) {
		return magno.Command{}, false
	}
	if !inv.mayLoad(name) {
		return magno.Command{}, false
	}
	load := magno.Command{Load: true, Model: model, Adapter: adapter, Version: inv.spec.Pins[name]}
	if held || inv.canFitAdapter() {
		if !held { // an update in place always comes from the store, even if the old version is cached
			inv.loadStarts[name] = loadStart{at: now, rank: inv.rank(name)}
		}
		return inv.markPending(load, now), true
	}
	victim, ok := inv.victim(inUse, now)
	if !ok {
		return magno.Command{}, false
	}
	model, adapter = splitName(victim)
	c := inv.markPending(magno.Command{Model: model, Adapter: adapter}, now)
	return c, true
}

// markPending records a command as issued, so that the same pass does not use its room twice.
func (inv *inventory) markPending(c magno.Command, now magno.Millis) magno.Command {
	inv.pending[QualifiedName(c.Model, c.Adapter)] = pendingCommand{command: c, at: now}
	return c
}

// mayLoad limits the loads in progress to what the engine and the weight store can take.
func (inv *inventory) mayLoad(name string) bool {
	cold, all := 0, 0
	count := func(other string) {
		all++
		if !inv.inMemory(other) {
			cold++
		}
	}
	for other := range inv.loading {
		count(other)
	}
	for other, c := range inv.pending {
		if !inv.loading[other] && c.command.Load {
			if _, held := inv.adapters[other]; !held {
				count(other)
			}
		}
	}
	return all < maxPendingLoads && (inv.inMemory(name) || cold < inv.limiter.limit())
}

// canFitAdapter reports whether there is a free slot and memory for one more adapter.
func (inv *inventory) canFitAdapter() bool {
	adapter := 0.0
	for _, m := range inv.spec.Engine.Models {
		adapter = max(adapter, m.Adapter)
	}
	return inv.slotsUsed() < inv.spec.Engine.Slots && inv.memoryUsed()+adapter <= inv.spec.Engine.Memory
}

// victim returns the adapter to evict: the one with the least recent demand that no request
// uses. Outdated versions go first.
func (inv *inventory) victim(inUse map[string]bool, now magno.Millis) (string, bool) {
	best, least := "", 0.0
	for name := range inv.adapters {
		if inUse[name] || inv.changing(name) {
			continue
		}
		score := inv.demandScore(name, now)
		if inv.outdated(name) {
			score = -1
		}
		if best == "" || score < least || (score == least && name < best) {
			best, least = name, score
		}
	}
	return best, best != ""
}

// dueUpdates lists the adapters in use whose outdated version must be replaced now.
func (inv *inventory) dueUpdates(inUse map[string]bool, now magno.Millis) []string {
	var list []string
	for name := range inv.adapters {
		d, _ := inv.demand.Peek(name)
		if inv.retired(name) && (inUse[name] || now-d.at < updateIdleTime) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
