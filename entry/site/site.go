// Package site assembles an entry on a platform whose API a plug-in implements.
//
//	platform's list --> reads --> Book <--> peers (other entries)
//	                               |
//	             pools (routers) <-+-> desk <--> agents
//	                    |                |
//	callers --> relay --+----------------+--> connections --> upstreams
package site

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/entry/desk"
	"magnoliastall.example/entry/ended"
	"magnoliastall.example/entry/hop"
	"magnoliastall.example/entry/lease"
	"magnoliastall.example/entry/limit"
	"magnoliastall.example/entry/peers"
	"magnoliastall.example/entry/queues"
	"magnoliastall.example/entry/reads"
	"magnoliastall.example/entry/relay"
	"magnoliastall.example/entry/resume"
	"magnoliastall.example/entry/trial"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/budget"
	"magnoliastall.example/magno/builds"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/start"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"

	// Registers the site plug-in that deployments name.
	_ "magnoliastall.example/platform"
)

// Main runs an entry on the named site and returns its exit code.
func Main(name string) int { return start.RunSite("entry", name, run) }

func run(site magno.Site, settings *magno.SiteSettings, out *lines.Writer) int {
	log := start.NewLogger(out, settings.Name)
	e := assemble(site, settings, log)
	if err := e.mesh.Open(); err != nil {
		log.Error("start", "error", err)
		return start.ExitFailed
	}
	log.Info("start", "dc", settings.DataCentre, "callers", settings.CallerAddress, "ready", settings.ReadyAddress, "peers", settings.PeerAddress,
		"seeds", len(settings.Seeds), "list", settings.ListAddress)
	watch := &start.Watch{
		Site: site, Settings: settings, Log: log,
		Applied: []string{"Seeds"}, Apply: func(set *magno.SiteSettings) { e.peers.SetSeeds(set.Seeds) },
	}
	d := start.Daemon{
		Tasks: append(e.tasks(), watch, out), Log: log, Leave: e.front.leave, Busy: e.front.busy, DrainTimeout: settings.Grace,
		Reload: watch.Reload,
	}
	return d.Run()
}

// entry holds the components of the process.
type entry struct {
	settings *magno.SiteSettings
	mesh     *wire.Mesh
	book     *view.Store
	conns    *hop.Pool
	notices  *notice.Board
	peers    *peers.Peers
	pools    *pools
	reader   *reads.Reader
	desk     *desk.Client
	queues   *queues.Manager
	lease    *lease.Manager
	limit    *limit.Manager
	builds   *builds.History
	ended    *ended.Manager
	resume   *resume.Manager
	front    *front
	log      *slog.Logger
}

func assemble(site magno.Site, settings *magno.SiteSettings, log *slog.Logger) *entry {
	clock := magno.NewMonotonic()
	e := &entry{settings: settings, log: log}
	e.mesh = &wire.Mesh{Listen: settings.PeerAddress, Allow: []string{start.AnyAddress}, Clock: clock, Log: log}
	e.book = &view.Store{Clock: magno.NewBootTime(), OnChange: changeLogger(log), Log: log, Heartbeat: settings.Heartbeat}
	e.conns = &hop.Pool{Clock: clock}
	e.notices = &notice.Board{Clock: clock}
	metrics.GetOrCreateGauge("upstreams_limited", func() float64 { return float64(e.notices.Limited()) })
	suspects := &crash.Suspects{Clock: clock, PoolSize: func(pool uint64) int { return poolSize(e.book.Current(), pool) }}
	e.peers = &peers.Peers{
		Self: settings.Name, Addr: settings.PeerAddress, LinkMbps: settings.LinkMbps, DataCentre: settings.DataCentre, Seeds: settings.Seeds, Mesh: e.mesh, Book: e.book, Suspects: suspects, Clock: clock, Log: log,
	}
	e.peers.Open()
	e.pools = &pools{clock: clock, book: e.book, notices: e.notices, peers: e.peers, settings: settings, log: log, startedAt: clock.Now()}
	e.reader = &reads.Reader{
		List: site.Lister(settings.ListAddress), Book: e.book, ShouldRead: e.peers.ShouldRead, IsReader: e.peers.IsReader, Broadcast: e.peers.Broadcast, ReportReachable: e.peers.SetListReachable, FreshFirst: settings.MaxRevokeDelay > 0, Log: log,
	}
	e.desk = &desk.Client{
		Self: settings.Name, Mesh: e.mesh, Book: e.book, Clock: clock, Log: log, Engine: site.Engine, AgentPort: settings.InternalPort, OnBacklog: e.pools.report, OnUsable: e.pools.wakeWaiting, OnRestEnded: e.pools.endRest, FetchRevision: e.peers.FetchRevision, Notices: e.notices,
		Addr: settings.PeerAddress, Entries: e.peers.DataCentreEntries,
	}
	e.desk.Open()
	e.lease = &lease.Manager{
		Self: settings.PeerAddress, Mesh: e.mesh, Homes: e.peers.Homes, Count: e.peers.Count, Window: settings.QuotaWindow, Clock: clock, Log: log,
		Limit: func(customer string) *magno.Limit { return customerLimit(e.book.Current().Plan, customer) },
	}
	e.lease.Open()
	e.limit = &limit.Manager{
		Self: settings.PeerAddress, Mesh: e.mesh, Homes: e.peers.Homes, Entries: e.peers.Entries, Count: e.peers.Count, Notices: e.notices, Clock: clock, Log: log,
	}
	e.limit.Open()
	e.ended = &ended.Manager{Self: settings.PeerAddress, Mesh: e.mesh, Entries: e.peers.Entries, Agents: e.desk.Addresses, Suspects: suspects, Clock: clock, Log: log}
	trials := &trial.Manager{Self: settings.PeerAddress, Mesh: e.mesh, Homes: e.peers.Homes, Suspects: suspects, Clock: clock, Log: log}
	trials.Open()
	e.builds = &builds.History{Clock: clock}
	e.resume = &resume.Manager{
		Self: settings.PeerAddress, Mesh: e.mesh, Entries: e.peers.Entries, Agents: e.desk.Addresses, Current: func() bool { return e.book.Age() <= maxListAge },
		Table: &origin.Table{}, Builds: e.builds, Clock: clock, Log: log,
	}
	e.resume.Open()
	e.queues = &queues.Manager{
		Enabled: settings.QueuePlain, Clock: clock, Book: e.book, Leaving: e.notices.Leaving, Count: e.entryCount, DemandShare: e.peers.DemandShare, Seed: settings.Name, Log: log,
	}
	e.peers.Demand = e.queues.Demand
	handler := &relay.Handler{
		Name: settings.Name, Clock: clock, Book: e.book, Dialect: site.Dialect(), Conns: e.conns, Permits: e.desk, Pools: e.pools, Queues: e.queues,
		Suspects: suspects, Trials: trials, Notices: e.notices, Limits: e.limit, Origins: e.resume, Log: log, Started: clock.Now(), MaxRevokeDelay: settings.MaxRevokeDelay, Quotas: e.lease, Entries: e.aliveCount,
		BodyMemory: memoryBudget(settings.MemoryLimit), ResponseMemory: memoryBudget(settings.MemoryLimit),
	}
	e.peers.Leaving = handler.Draining
	e.front = &front{settings: settings, path: site.ReadyPath(), relay: handler, book: e.book, clock: clock, log: log}
	return e
}

// aliveCount returns how many entries are alive, this one included.
func (e *entry) aliveCount() int {
	alive, _ := e.peers.Count()
	return alive
}

// entryCount returns how many entries are alive and how many may be, at least as many as there are seeds.
func (e *entry) entryCount() (alive, known int) { return e.aliveCount(), e.peers.Processes(0) }

const (
	// memoryShare is the divisor of the memory limit that gives the budget for bodies, and
	// as much for answers: an eighth each.
	memoryShare = 8
	// minMemoryBudget is the minimum budget in bytes: the longest answer fits.
	minMemoryBudget = 16 << 20
)

// memoryBudget bounds the bytes that requests hold at the same time; nil if memory isn't
// limited.
func memoryBudget(memory int64) *budget.Budget {
	if memory <= 0 {
		return nil
	}
	return &budget.Budget{Size: max(memory/memoryShare, minMemoryBudget)}
}

func (e *entry) tasks() []magno.Task {
	return []magno.Task{
		e.mesh, e.reader, e.peers, e.desk, e.lease, e.limit, e.resume, e.ended, e.queues, &follower{e}, e.front, &e.front.callers, &readiness{e.front}, &lagMonitor{e.front},
		&admin.Server{
			Listen: net.JoinHostPort(e.settings.IP, strconv.Itoa(start.MetricsPort)), Allow: []string{start.AnyAddress},
			Ready: e.front.ready, Status: func() any { return e.book.Current() }, Events: &event.Ring{Process: e.settings.Name, Size: 1},
		},
	}
}

// maxListAge is the age of the list from which on other builds may serve than those it names.
const maxListAge = 1500 * magno.Millis(1)

// buildsOf returns the builds of each service, those of upstreams that leave too.
func buildsOf(listed map[string]*magno.Replica) map[string][]string {
	builds := map[string][]string{}
	for _, r := range listed {
		if !slices.Contains(builds[r.Service], r.Build) {
			builds[r.Service] = append(builds[r.Service], r.Build)
		}
	}
	return builds
}

// poolSize returns the number of upstreams of the service with the given magno.PoolID.
func poolSize(snap *view.Snapshot, pool uint64) int {
	n := 0
	for _, r := range snap.Replicas {
		if magno.PoolID(r.Service) == pool {
			n++
		}
	}
	return n
}

// customerLimit returns a customer's limit, nil if it has none.
func customerLimit(plan *magno.Plan, customer string) *magno.Limit {
	if plan == nil {
		return nil
	}
	for i := range plan.Customers {
		if plan.Customers[i].Name == customer {
			return plan.Customers[i].Limit
		}
	}
	return nil
}

// changeLogger returns a function that logs each change of the list once.
func changeLogger(log *slog.Logger) func(magno.Change) {
	limits := map[string]magno.Limit{}
	return func(c magno.Change) {
		if c.Plan != nil {
			logLimitChanges(log, c.Plan, limits)
		}
		switch {
		case c.Fault != "":
			log.Warn("item left out", "key", c.Key, "rev", c.Revision, "why", c.Fault)
		case c.Plan != nil:
			log.Info("config", "version", c.Plan.Version, "rev", c.Revision, "routes", len(c.Plan.Routes))
		case c.Pin != nil:
			log.Info("pin", "key", c.Key, "rev", c.Revision, "version", c.Pin.Number)
		case c.Deleted:
			log.Info("item deleted", "key", c.Key, "rev", c.Revision)
		case c.Replica != nil:
			log.Debug("replica", "key", c.Key, "rev", c.Revision, "leaving", c.Replica.Leaving)
		}
	}
}

// logLimitChanges logs each customer whose limit differs from that in limits, which it
// updates.
func logLimitChanges(log *slog.Logger, plan *magno.Plan, limits map[string]magno.Limit) {
	for i := range plan.Customers {
		c := &plan.Customers[i]
		var now magno.Limit
		if c.Limit != nil {
			now = *c.Limit
		}
		was, known := limits[c.Name]
		if known && was != now {
			log.Info("limit", "customer", c.Name, "version", plan.Version, "rate", now.Rate, "burst", now.Burst, "was", was.Rate)
		}
		limits[c.Name] = now
	}
}

// follower passes changes of the list, and of the upstreams that state that they leave, to the
// components that keep a copy.
type follower struct {
	*entry
}

// Name implements magno.Task.
func (f *follower) Name() string { return "follow" }

// Run follows the list until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	known := lives{clock: f.notices.Clock}
	for {
		changed, noticed := f.book.Changed(), f.notices.Changed()
		listed := map[string]*magno.Replica{}
		snap := f.book.Current()
		for _, r := range snap.Replicas {
			listed[r.Key()] = r
		}
		f.conns.Prune(func(key string) bool { return listed[key] != nil })
		f.notices.Prune(known.update(listed))
		f.pools.update()
		f.queues.Update()
		if snap.Plan != nil {
			f.builds.Update(buildsOf(listed))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-noticed:
		}
	}
}
