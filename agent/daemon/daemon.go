// Package daemon assembles the components of an agent.
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

	// Plug-ins that can be selected in the settings.
	_ "magnoliastall.example/magno/model"
	_ "magnoliastall.example/magno/plain"
	_ "magnoliastall.example/magno/sched"
)

const (
	// witnessTimeout bounds a round of requests to the witnesses. It allows for several round
	// trips between data centres, and lets a caller still get its answer in time if one of the
	// data centres is cut off.
	witnessTimeout magno.Millis = 250
	// maxLedgerBytes bounds the text of the answers that are kept for replay.
	maxLedgerBytes = 32 << 20
)

// agent holds the components of the process.
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
	// witnessStart is when the witness started, without any keys.
	witnessStart magno.Millis
}

// Main runs an agent and returns the exit code of the process.
func Main(args []string) int {
	opts := option.Default()
	if code, ok := start.ParseOptions("agent", args, opts); !ok {
		return code
	}
	log := start.NewLogger(os.Stdout, opts.Name)
	a, err := assemble(opts, log)
	if err != nil {
		log.Error("agent failed to start", "error", err)
		return start.ExitFailed
	}
	log.Info("listening", "addr", a.Mesh.Addr(), "pool", opts.Pool, "dc", opts.DataCentre)
	d := start.Daemon{
		Tasks: a.tasks(), Log: log, Leave: a.leave, Busy: a.server.Busy, DrainTimeout: magno.Millis(opts.Drain),
	}
	return d.Run()
}

// assemble creates and connects the components. It binds the port first, which serves as a lock
// on the upstream: a second agent for the same upstream fails here, before it sends an order.
func assemble(opts *option.Option, log *slog.Logger) (*agent, error) {
	a := &agent{opts: opts, Process: &proc.Process{
		Self: magno.Instance{Name: opts.Name, Role: magno.RoleAgent, DataCentre: opts.DataCentre,
			Pool: opts.Pool, Address: opts.Listen},
		Config: opts.Config, List: opts.List, Allow: opts.Allow, Log: log,
	}}
	if err := a.Open(); err != nil {
		return nil, err
	}
	a.OnConfig = a.applyConfig
	// The fence is the time of the start, so that a later start has a higher one unless the clock
	// was set back.
	fence := int64(a.Clock.Now())
	if err := a.openUpstream(fence); err != nil {
		return nil, err
	}
	a.openLedger()
	a.server = &serve.Server{
		Clock: a.Clock, Loop: a.loop, Ledger: a.ledger, Events: a.Events, Suspects: a.Suspects,
		ConfigVersion: a.Store.Version, Retired: a.retired, Ready: a.ready, Build: a.build,
	}
	a.server.Register(a.Mesh)
	a.loop.OnRestCut = a.server.ReportRestCut
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

// build returns the version of the upstream's software by its latest report.
func (a *agent) build() string {
	if last := a.probe.Last(); last != nil {
		return last.Build
	}
	return ""
}

// applyListedState applies the state of this instance in the platform's list. An entry that is
// cut off from the list would go on sending work to an instance that is about to be removed, so
// the agent itself refuses it.
func (a *agent) applyListedState() {
	list, _ := a.Fleet.PlatformList()
	for _, in := range list {
		if in.Name == a.opts.Name {
			a.server.SetListedLeaving(in.State == magno.InstanceLeaving)
		}
	}
}

// openUpstream creates the loop and the probe of the upstream.
func (a *agent) openUpstream(fence int64) error {
	plugin, err := magno.NewPlugin(magno.PluginUpstream, a.opts.Kind)
	if err != nil {
		return err
	}
	up, ok := plugin.(magno.Upstream)
	if !ok {
		return errors.Newf("plug-in %q does not implement magno.Upstream", a.opts.Kind)
	}
	if setter, ok := plugin.(magno.AddressSetter); ok {
		setter.SetAddress(a.opts.Upstream, fence)
	}
	if plugin, err = magno.NewPlugin(magno.PluginScheduler, a.opts.Scheduler); err != nil {
		return err
	}
	sched, ok := plugin.(magno.Scheduler)
	if !ok {
		return errors.Newf("plug-in %q does not implement magno.Scheduler", a.opts.Scheduler)
	}
	if configurable, ok := plugin.(magno.Configurable); ok {
		configurable.SetClock(a.Clock)
		configurable.SetTurns(a.opts.Kind == string(magno.PoolEngine))
	}
	if user, ok := plugin.(interface{ SetSuspects(*crash.Suspects) }); ok {
		user.SetSuspects(a.Suspects)
	}
	a.loop = loop.New()
	a.loop.Clock, a.loop.Scheduler, a.loop.Upstream, a.loop.Fence = a.Clock, sched, up, fence
	a.loop.Events, a.loop.Log, a.loop.Suspects = a.Events, a.Log, a.Suspects
	a.loop.Self, a.loop.Pool = a.opts.Name, a.opts.Pool
	a.probe = &probe.Probe{Upstream: up, Interval: magno.Millis(a.opts.Probe), Log: a.Log, OnRestart: a.upstreamStarted, OnReport: a.loop.Reconcile}
	if source, ok := up.(magno.NoticeSource); ok {
		source.OnNotice(a.Clock, a.takeNotice)
	}
	return nil
}

// upstreamStarted handles a start of the upstream. What it stated before no longer holds.
func (a *agent) upstreamStarted(p magno.Probe) {
	a.server.UpstreamStarted()
	a.loop.Reset(p)
}

// takeNotice takes what the upstream stated in an answer to a request sent at the given time.
func (a *agent) takeNotice(n magno.Notice, sentAt magno.Millis) {
	if a.server.TakeNotice(n, sentAt) {
		a.Log.Info("upstream notice", "leaving", n.Leaving)
	}
	if n.RetryAfter > 0 {
		a.Log.Info("upstream notice", "rest", n.RetryAfter)
	}
	a.loop.TakeNotice(n, sentAt)
}

// openLedger creates the ledger of idempotency keys and the witness. Each key has one home and
// roster.SetSize witnesses, so a witness holds that many times the keys of a ledger.
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

// Load limits of a pool for which the configuration states none, and the load time of an upstream
// that reports none.
const (
	defaultLoadRate              = 1.0
	defaultMaxLoads              = 1
	defaultLoadTime magno.Millis = 500
)

// loadLimits returns the loads per second and the number of concurrent loads that the weight
// store allows the pool.
func (a *agent) loadLimits() (rate float64, width int) {
	if now := a.Store.Current(); now != nil {
		if p, ok := now.Pool(a.opts.Pool); ok && p.LoadRate > 0 {
			return p.LoadRate, max(p.MaxLoads, 1)
		}
	}
	return defaultLoadRate, defaultMaxLoads
}

// loadTime returns the time of a load at full speed, as the upstream reports it.
func (a *agent) loadTime() magno.Millis {
	if p := a.probe.Last(); p != nil && p.Limits.Load > 0 {
		return p.Limits.Load
	}
	return defaultLoadTime
}

// retired reports whether ref must be refused as retired to an entry that has the given version
// of the configuration.
func (a *agent) retired(ref magno.Ref, version int64) bool {
	return a.history.outdated(version, a.Clock.Now()) && a.Store.Retired(ref)
}

// leave starts a planned stop and announces it to the peers, seconds before they learn it from
// the platform's list.
func (a *agent) leave() {
	a.server.Leave()
	a.Node.Leave()
}

// ready reports whether the agent can accept new work.
func (a *agent) ready() bool {
	return a.Node.Synced() && a.probe.Last() != nil
}

// witnessReady reports whether the witness of this process can grant keys that are issued now.
// It has to refuse keys issued before or shortly after its start, because an earlier process of
// the instance may have granted them. If agents were ready sooner, a fleet that starts all at once
// would refuse its first calls.
func (a *agent) witnessReady() bool {
	return a.Clock.Now() > a.witnessStart+2*magno.Millis(a.opts.Skew)
}

func (a *agent) tasks() []magno.Task {
	return append(a.Tasks(), a.probe, a.loop, a.turns, &admin.Server{
		Listen: a.opts.Admin, Allow: a.opts.Allow, Events: a.Events, Status: a.status,
		Ready:   func() bool { return a.ready() && a.witnessReady() && !a.server.Leaving() },
		OnBound: func(addr string) { a.Log.Info("listening", "admin", addr) },
	})
}

// applyConfig passes a new version of the configuration to the components that keep a copy.
func (a *agent) applyConfig(snap *config.Snapshot) {
	a.history.add(snap.Version, a.Clock.Now())
	weights := map[string]float64{}
	for _, b := range snap.Customers() {
		weights[b.Name] = b.Weight
	}
	a.loop.SetWeights(weights)
	drained := snap.Drained(a.opts.Name)
	if drained != a.server.Drained() {
		a.Log.Info("drain state changed", "value", drained)
	}
	a.server.SetDrained(drained)
	a.Events.Add("config", "", fmt.Sprintf("version=%d drained=%t", snap.Version, drained))
}
