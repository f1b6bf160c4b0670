// Package resume tells a stream's entry at which build it began, when a caller takes it up at another
// one than before.
//
//	first event --> Record --> Table
//	                  '--> recent --once builds serve side by side--> keepers: a few entries, a few agents
//	list --> builds.History <------------- each second ---------------> keepers
//	taken up --> Find --> Table, or else asked at once: agents, then all entries; or else the only build
//
// Load pattern: an entry is killed, or all are, and within a second the callers of all its streams take
// them up at others. What it knew must be known elsewhere by then, without a first event waiting for that.
// Streams begin all the while and are seldom taken up, so telling is what must cost little: each entry
// tells the same few, many streams in one message.
package resume

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/builds"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/wire"
)

// Manager records and finds the origins of streams. Exported fields are set before Open.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Entries lists the addresses of the live entries, Agents those of the agents of all engines in the list.
	Entries, Agents func() []string
	// Current reports whether the list of upstreams is up to date.
	Current func() bool
	Table   *origin.Table
	Builds  *builds.History
	Clock   *magno.Clock
	// AskTimeout bounds the calls to other processes, some of which may have just been killed; zero for 200 ms.
	AskTimeout magno.Millis
	Log        *slog.Logger

	mu      sync.Mutex
	recent  recent
	keepers map[string]*told
	// flushes counts the calls of tell.
	flushes int
	holders holders
	// questions are those for other processes.
	questions questions
}

// Open registers the methods on the mesh. It must be called before the mesh runs.
func (m *Manager) Open() {
	if m.AskTimeout == 0 {
		m.AskTimeout = defaultAskTimeout
	}
	m.keepers = map[string]*told{}
	k := &keeper.Keeper{Mesh: m.Mesh, Table: m.Table, Builds: m.Builds, Log: m.Log}
	k.Open()
}

// Name implements magno.Task.
func (m *Manager) Name() string { return "resume" }

// Run tells the keepers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticks := time.NewTicker(flushInterval.Duration())
	defer ticks.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		if !m.Current() {
			m.Builds.Forget()
		}
		m.tell(ctx, &sending)
	}
}

// Find returns where a stream began that a caller takes up, nil if no process knows.
//
// A caller may not state the attempt. Its stream began at the only build of the service if there was no
// other one as long as it may have lasted.
func (m *Manager) Find(ctx context.Context, q origin.Query) *origin.Origin {
	start := m.Clock.Now()
	var a asked
	o, how := m.find(ctx, &q, &a)
	if o == nil {
		how = "unknown"
	}
	metrics.GetOrCreateCounter(`streams_taken_up_total{origin="` + how + `"}`).Inc()
	m.logFind(&q, o, how, &a, m.Clock.Now()-start)
	return o
}

// logFind logs how it was found out where a stream began. Asked and answered count other processes, builds
// are those within the time that a stream lasts, watched is for how long they are known, took is in ms.
func (m *Manager) logFind(q *origin.Query, o *origin.Origin, how string, a *asked, took magno.Millis) {
	build := ""
	if o != nil {
		build = o.Build
	}
	watched, versions := m.Builds.Watched(q.Service, q.Lasts)
	m.Log.Info("stream taken up", "request", q.Request, "resumes", q.Attempt, "service", q.Service, "origin", how, "build", build,
		"asked", a.processes, "answered", a.answers, "builds", versions, "watched", watched, "current", m.Current(), "took", took)
}

// find is Find, and tells how the origin is known. It stores what others answered in a.
func (m *Manager) find(ctx context.Context, q *origin.Query, a *asked) (o *origin.Origin, how string) {
	stream := uint64(0)
	if q.Attempt != "" {
		stream = origin.StreamID(q.Attempt)
		if o := m.Table.Find(stream); o != nil {
			return o, "recorded"
		}
	} else if o := m.sole(q); o != nil && m.Builds.Follows(q.Lasts) {
		return o, "sole"
	} else if m.Builds.Several(q.Service, q.Lasts) {
		return nil, ""
	}
	// This process may not have heard yet of a build that joined a moment ago, so others go before what
	// it takes for the only one.
	m.ask(ctx, stream, m.holders.ofAll(m.Agents()), a)
	if a.origin == nil {
		m.ask(ctx, stream, m.others(), a)
	}
	if a.origin != nil {
		m.remember(stream, *a.origin)
		return a.origin, "asked"
	}
	if o := m.sole(q); o != nil {
		return o, "sole"
	}
	if q.Attempt == "" && a.watched && m.Current() {
		if version, ok := m.Builds.SoleAsSeen(q.Service, q.Lasts); ok {
			return &origin.Origin{Service: q.Service, Build: version}, "sole"
		}
	}
	return nil, ""
}

// sole returns the build that a service has had alone for as long as a stream lasts, nil if that isn't known
// or the list may be out of date.
func (m *Manager) sole(q *origin.Query) *origin.Origin {
	if !m.Current() {
		return nil
	}
	version, ok := m.Builds.Sole(q.Service, q.Lasts)
	if !ok {
		return nil
	}
	return &origin.Origin{Service: q.Service, Build: version}
}
