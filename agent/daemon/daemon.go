// Package daemon assembles an agent.
//
//	platform --> reader, fleet --> Store ---------------+
//	                                                    v
//	entries --> mesh --> serve --> ledger --> loop --> upstream
//	agents  --> mesh --> ask (witness)          ^
//	upstream --> probe -------------------------+
package daemon

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnoliastall.example/agent/ask"
	"magnoliastall.example/agent/loop"
	"magnoliastall.example/agent/option"
	"magnoliastall.example/agent/probe"
	"magnoliastall.example/agent/serve"
	"magnoliastall.example/agent/turns"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/once"
	"magnoliastall.example/magno/proc"
	"magnoliastall.example/magno/roster"
	"magnoliastall.example/magno/start"
	"magnoliastall.example/magno/witns"

	// Plug-ins that settings name.
	_ "magnoliastall.example/magno/model"
	_ "magnoliastall.example/magno/plain"
	_ "magnoliastall.example/magno/sched"
)

// Figures of an agent.
const (
	// witnessTimeout bounds a round of asking witnesses, in milliseconds: several
	// round trips between data centres, and short enough that a caller on
	// the line still gets its answer when one of them is cut off.
	witnessTimeout magno.Millis = 250
	// maxLedgerBytes is the most text of answers kept for replay.
	maxLedgerBytes = 32 << 20
)

// agent is the process, put together.
type agent struct {
	*proc.Process
	opts    *option.Option
	loop    *loop.Loop
	probe   *probe.Probe
	server  *serve.Server
	ledger  *once.Ledger
	witness *witns.Witness
	turns   *turns.Turns
	history history
	// witnessStart is when the witness's memory was empty.
	witnessStart magno.Millis
}

// Main runs an agent and returns its exit code.
func Main(args []string) int {
	opts := option.Default()
	if code, ok := start.Options("agent", args, opts); !ok {
		return code
	}
	log := start.Log(os.Stdout, opts.Name)
	a, err := assemble(opts, log)
	if err != nil {
		log.Error("start", "error", err)
		return start.ExitFailed
	}
	log.Info("listening", "addr", a.Mesh.Addr(), "pool", opts.Pool, "dc", opts.DataCentre)
	d := start.Daemon{
		Duties: a.duties(), Log: log, Leave: a.leave, Busy: a.server.Busy, Drain: magno.Millis(opts.Drain),
	}
	return d.Run()
}

// assemble puts the parts together. The port is bound first: whoever holds it
// commands the upstream, so a second agent for the same upstream ends here,
// before it sends a single order.
func assemble(opts *option.Option, log *slog.Logger) (*agent, error) {
	a := &agent{opts: opts, Process: &proc.Process{
		Self: magno.Instance{Name: opts.Name, Role: magno.RoleAgent, DataCentre: opts.DataCentre,
			Pool: opts.Pool, Address: opts.Listen},
		Config: opts.Config, List: opts.List, Allow: opts.Allow, Log: log,
	}}
	if err := a.Open(); err != nil {
		return nil, err
	}
	a.Follow = a.applyConfig
	// Each start gets a higher fence than the one before, as clocks go.
	fence := int64(a.Clock.Now())
	if err := a.openUpstream(fence); err != nil {
		return nil, err
	}
	a.openLedger()
	a.server = &serve.Server{
		Clock: a.Clock, Loop: a.loop, Ledger: a.ledger, Events: a.Events, Suspects: a.Suspects,
		ConfigVersion: a.Store.Version, Retired: a.retired, Ready: a.ready,
	}
	a.server.Register(a.Mesh)
	a.Fleet.OnChange = a.applyListedState
	a.turns = &turns.Turns{
		Self: opts.Name, Pool: opts.Pool, Clock: a.Clock, Loop: a.loop, Mesh: a.Mesh, Fleet: a.Fleet, Log: log,
		LoadLimits: a.loadLimits, LoadTime: a.loadTime,
	}
	a.turns.Register()
	asker := &ask.Asker{Mesh: a.Mesh, Fleet: a.Fleet, Witness: a.witness}
	asker.Register()
	a.ledger.Asker = asker
	return a, nil
}

// applyListedState takes what the platform's list says of this instance. An entry that
// is cut off from the list would go on sending work to an instance that is
// about to be taken away; the agent itself refuses it.
func (a *agent) applyListedState() {
	list, _ := a.Fleet.PlatformList()
	for _, in := range list {
		if in.Name == a.opts.Name {
			a.server.SetListedLeaving(in.State == magno.InstanceLeaving)
		}
	}
}

// openUpstream makes the loop and the probe of the openUpstream.
func (a *agent) openUpstream(fence int64) error {
	made, err := magno.Plugin(magno.SortUpstream, a.opts.Kind)
	if err != nil {
		return err
	}
	up, ok := made.(magno.Upstream)
	if !ok {
		return errors.Newf("plug-in %q is no upstream", a.opts.Kind)
	}
	if addressed, ok := made.(magno.Addressed); ok {
		addressed.SetAddress(a.opts.Upstream, fence)
	}
	if made, err = magno.Plugin(magno.SortScheduler, a.opts.Scheduler); err != nil {
		return err
	}
	sched, ok := made.(magno.Scheduler)
	if !ok {
		return errors.Newf("plug-in %q is no scheduler", a.opts.Scheduler)
	}
	if tuner, ok := made.(magno.Tuner); ok {
		tuner.SetClock(a.Clock)
		tuner.SetTurns(a.opts.Kind == string(magno.PoolEngine))
	}
	if sharer, ok := made.(interface{ SetSuspects(*crash.Suspects) }); ok {
		sharer.SetSuspects(a.Suspects)
	}
	a.loop = loop.New()
	a.loop.Clock, a.loop.Scheduler, a.loop.Upstream, a.loop.Fence = a.Clock, sched, up, fence
	a.loop.Events, a.loop.Log, a.loop.Suspects = a.Events, a.Log, a.Suspects
	a.probe = &probe.Probe{Upstream: up, Interval: magno.Millis(a.opts.Probe), Log: a.Log, OnRestart: a.loop.Reset, OnReport: a.loop.Reconcile}
	return nil
}

// openLedger makes the memory of idempotency openLedger. Each key has several witnesses and
// one home, so a witness holds as many times the openLedger of a ledger.
func (a *agent) openLedger() {
	retention, skew := magno.Millis(a.opts.Retention), magno.Millis(a.opts.Skew)
	a.witness = &witns.Witness{Self: a.opts.Name, Clock: a.Clock, Retention: retention, MaxSkew: skew,
		MaxKeys: roster.SetSize * a.opts.Ledger}
	a.witness.Open()
	a.witnessStart = a.Clock.Now()
	a.ledger = &once.Ledger{
		Clock: a.Clock, Self: a.opts.Name, Incarnation: uuid.NewString(),
		Rosters: a.Store.Rosters, Retention: retention, MaxSkew: skew,
		RoundTimeout: witnessTimeout, MaxKeys: a.opts.Ledger, MaxBytes: maxLedgerBytes,
	}
}

// Terms that hold where the configuration names none.
const (
	defaultLoadRate              = 1.0
	defaultMaxLoads              = 1
	defaultLoadTime magno.Millis = 500
)

// loadLimits is what the weight store allows the pool.
func (a *agent) loadLimits() (rate float64, width int) {
	if now := a.Store.Current(); now != nil {
		if p, ok := now.Pool(a.opts.Pool); ok && p.LoadRate > 0 {
			return p.LoadRate, max(p.LoadWidth, 1)
		}
	}
	return defaultLoadRate, defaultMaxLoads
}

// loadTime is the time of a load at full speed, as the upstream states it.
func (a *agent) loadTime() magno.Millis {
	if p := a.probe.Last(); p != nil && p.Limits.Load > 0 {
		return p.Limits.Load
	}
	return defaultLoadTime
}

// retired tells whether ref is retired for an entry with that version.
func (a *agent) retired(ref magno.Ref, version int64) bool {
	return a.history.outdated(version, a.Clock.Now()) && a.Store.Retired(ref)
}

// leave begins a planned stop. Peers hear of it from here, seconds before the
// platform's list tells them.
func (a *agent) leave() {
	a.server.Leave()
	a.Node.Leave()
}

// ready tells whether new work can be taken.
func (a *agent) ready() bool {
	return a.Node.Synced() && a.probe.Last() != nil
}

// witnessReady tells whether keys issued now are ones that this process's witness
// can give: those issued before or shortly after its start it must refuse,
// for an earlier process in the slot may have given them away. A fleet that
// starts all at once would refuse its first calls if it were ready sooner.
func (a *agent) witnessReady() bool {
	return a.Clock.Now() > a.witnessStart+2*magno.Millis(a.opts.Skew)
}

func (a *agent) duties() []magno.Duty {
	return append(a.Duties(), a.probe, a.loop, a.turns, &admin.Server{
		Listen: a.opts.Admin, Allow: a.opts.Allow, Events: a.Events, Status: a.status,
		Ready: func() bool { return a.ready() && a.witnessReady() && !a.server.Leaving() },
		Bound: func(addr string) { a.Log.Info("listening", "admin", addr) },
	})
}

// applyConfig brings a new version to the parts that keep a copy.
func (a *agent) applyConfig(snap *config.Snapshot) {
	a.history.add(snap.Version, a.Clock.Now())
	weights := map[string]float64{}
	for _, b := range snap.Customers() {
		weights[b.Name] = b.Weight
	}
	a.loop.SetWeights(weights)
	drained := snap.Drained(a.opts.Name)
	if drained != a.server.Drained() {
		a.Log.Info("drained", "value", drained)
	}
	a.server.SetDrained(drained)
	a.Events.Add("config", "", fmt.Sprintf("version=%d drained=%t", snap.Version, drained))
}
