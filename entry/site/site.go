// Package site assembles an entry on a platform that a plug-in speaks for.
//
//	platform's list --> reads --> Book <--> peers (other entries)
//	                               |
//	             pools (routers) <-+-> desk <--> agents
//	                    |                |
//	callers --> relay --+----------------+--> hops --> upstreams
package site

import (
	"context"
	"log/slog"
	"net"
	"strconv"

	"golang.org/x/sync/semaphore"

	"magnoliastall.example/entry/desk"
	"magnoliastall.example/entry/hop"
	"magnoliastall.example/entry/lease"
	"magnoliastall.example/entry/peers"
	"magnoliastall.example/entry/reads"
	"magnoliastall.example/entry/relay"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/admin"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/event"
	"magnoliastall.example/magno/lines"
	"magnoliastall.example/magno/start"
	"magnoliastall.example/magno/view"
	"magnoliastall.example/magno/wire"

	// The site that deployments name.
	_ "magnoliastall.example/platform"
)

// Main runs an entry on the named site and returns its exit code.
func Main(name string) int { return start.Site("entry", name, run) }

func run(site magno.Site, set *magno.SiteSettings, out *lines.Writer) int {
	log := start.Log(out, set.Name)
	e := assemble(site, set, log)
	if err := e.mesh.Open(); err != nil {
		log.Error("start", "error", err)
		return start.ExitFailed
	}
	log.Info("start", "dc", set.DataCentre, "callers", set.Callers, "ready", set.Ready, "peers", set.Peers,
		"seeds", len(set.Seeds), "list", set.List)
	d := start.Daemon{
		Duties: append(e.duties(), out), Log: log, Leave: e.front.leave, Busy: e.front.busy, Drain: set.Grace,
		Reload: start.Reload(site, set, log),
	}
	return d.Run()
}

// entry is the process, put together.
type entry struct {
	set   *magno.SiteSettings
	mesh  *wire.Mesh
	book  *view.Store
	hops  *hop.Pool
	peers *peers.Peers
	pools *pools
	reads *reads.Reader
	desk  *desk.Client
	lease *lease.Manager
	front *front
	log   *slog.Logger
}

func assemble(site magno.Site, set *magno.SiteSettings, log *slog.Logger) *entry {
	clock := magno.NewSteady()
	e := &entry{set: set, log: log}
	e.mesh = &wire.Mesh{Listen: set.Peers, Allow: []string{start.Anyone}, Clock: clock, Log: log}
	e.book = &view.Store{Clock: magno.NewBoot(), OnChange: noted(log), Log: log}
	e.hops = &hop.Pool{Clock: clock}
	suspects := &crash.Suspects{Clock: &magno.Clock{}}
	e.peers = &peers.Peers{
		Self: set.Name, Addr: set.Peers, LinkMbps: set.Link, DataCentre: set.DataCentre, Seeds: set.Seeds, Mesh: e.mesh, Book: e.book, Suspects: suspects, Clock: clock, Log: log,
	}
	e.peers.Open()
	e.pools = &pools{clock: clock, book: e.book, peers: e.peers, set: set, since: clock.Now()}
	e.reads = &reads.Reader{
		List: site.Lister(set.List), Book: e.book, ShouldRead: e.peers.ShouldRead, Broadcast: e.peers.Broadcast, ReportReachable: e.peers.SetListReachable, FreshFirst: set.Revoke > 0, Log: log,
	}
	e.desk = &desk.Client{
		Self: set.Name, Mesh: e.mesh, Book: e.book, Clock: clock, Log: log, AgentPort: set.Inner, OnBacklog: e.pools.report,
		Addr: set.Peers, Entries: e.peers.DataCentreEntries,
	}
	e.desk.Open()
	e.lease = &lease.Manager{
		Self: set.Peers, Mesh: e.mesh, Homes: e.peers.Homes, Count: e.peers.Count, Window: set.QuotaWindow, Clock: clock, Log: log,
		Limit: func(customer string) *magno.Limit { return limit(e.book.Current().Plan, customer) },
	}
	e.lease.Open()
	handler := &relay.Handler{
		Name: set.Name, Clock: clock, Book: e.book, Dialect: site.Dialect(), Conns: e.hops, Permits: e.desk, Pools: e.pools,
		Suspects: suspects, Log: log, Started: clock.Now(), MaxRevokeDelay: set.Revoke, Quotas: e.lease,
		BodyMemory: room(set.Memory), ResponseMemory: room(set.Memory),
	}
	e.peers.Leaving = handler.Draining
	e.front = &front{set: set, path: site.ReadyPath(), relay: handler, book: e.book, clock: clock, log: log}
	return e
}

const (
	// roomShare is the part of the memory limit that bodies may take, and answers as
	// much: an eighth.
	roomShare = 8
	// leastRoom is the least, in bytes: the longest answer fits.
	leastRoom = 16 << 20
)

// room bounds the bytes that requests hold at once, nil where memory isn't limited.
func room(memory int64) *semaphore.Weighted {
	if memory <= 0 {
		return nil
	}
	return semaphore.NewWeighted(max(memory/roomShare, leastRoom))
}

func (e *entry) duties() []magno.Duty {
	return []magno.Duty{
		e.mesh, e.reads, e.peers, e.desk, e.lease, &follow{e}, e.front, &ready{e.front}, &watch{e.front},
		&admin.Server{
			Listen: net.JoinHostPort(e.set.IP, strconv.Itoa(start.MetricsPort)), Allow: []string{start.Anyone},
			Ready: e.front.ready, Status: func() any { return e.book.Current() }, Events: &event.Ring{Process: e.set.Name, Size: 1},
		},
	}
}

// limit is a customer's, nil where it has none.
func limit(plan *magno.Plan, customer string) *magno.Limit {
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

// noted logs each change of the list once.
func noted(log *slog.Logger) func(magno.Change) {
	limits := map[string]magno.Limit{}
	return func(c magno.Change) {
		if c.Plan != nil {
			changed(log, c.Plan, limits)
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

// changed logs each customer whose limit isn't what it was, and notes it in limits.
func changed(log *slog.Logger, plan *magno.Plan, limits map[string]magno.Limit) {
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

// follow brings changes of the list to the parts that keep a copy.
type follow struct {
	*entry
}

// Name implements magno.Duty.
func (f *follow) Name() string { return "follow" }

// Run follows the list until ctx ends.
func (f *follow) Run(ctx context.Context) error {
	for {
		changed := f.book.Changed()
		f.pools.update()
		keys := map[string]bool{}
		for _, r := range f.book.Current().Replicas {
			keys[r.Key()] = true
		}
		f.hops.Prune(func(key string) bool { return keys[key] })
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
