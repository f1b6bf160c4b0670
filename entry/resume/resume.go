// Package resume tells a stream's entry at which build it began, when a caller takes it up at another
// one than before.
//
//	first event --> Record --> Table
//	                  '--> pending --once builds serve side by side--> a few other entries, each its own
//	taken up --> Find --> Table, or else asked at once: all entries; or else the only build of the service
//
// Load pattern: an entry is killed, and within a second the callers of all its streams take them up
// at others. What it knew must be known elsewhere by then, without a first event waiting for that. Streams
// begin all the while and are seldom taken up, so telling is what must cost little: each entry tells the
// same few, many streams in one message, and who wants to know asks all.
package resume

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/wire"
)

// RPC methods between entries.
const (
	MethodRecord = "began"  // []batch, a notification
	MethodFind   = "origin" // call, answered with a reply
)

const (
	// keeperCount is the number of other entries that an entry tells where its streams began.
	keeperCount = 2
	// flushInterval is how often records are passed on: a kill loses those of the streams that began
	// within it.
	flushInterval = 100 * magno.Millis(1)
	// pendingTime is how long a service must have had one build for records not to be passed on, and how
	// long they are kept for the case that another one joins: longer than a stream lasts.
	pendingTime = 60 * magno.Second
	// askTimeout bounds the calls to other entries, some of which may have just been killed.
	askTimeout = 200 * magno.Millis(1)
	// sendTimeout bounds the delivery of records.
	sendTimeout = 500 * magno.Millis(1)
	// maxPending bounds the records that wait to be passed on.
	maxPending = 4096
)

// batch holds streams with the same origin.
type batch struct {
	origin.Origin
	// Streams holds their IDs, of origin.StreamIDBytes each.
	Streams []byte `json:"streams"`
}

// add adds a stream.
func (b *batch) add(stream uint64) {
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], stream)
	b.Streams = append(b.Streams, id[8-origin.StreamIDBytes:]...)
}

// ids returns the IDs of the streams.
func (b *batch) ids() (list []uint64) {
	for rest := b.Streams; len(rest) >= origin.StreamIDBytes; rest = rest[origin.StreamIDBytes:] {
		var id [8]byte
		copy(id[8-origin.StreamIDBytes:], rest)
		list = append(list, binary.BigEndian.Uint64(id[:]))
	}
	return list
}

type call struct {
	Stream  uint64 `json:"stream"`
	Service string `json:"service"`
	// Lasts is how long a stream of the service lasts at most, with all tries of its caller.
	Lasts magno.Millis `json:"lasts"`
}

type reply struct {
	// Origin is nil if it isn't recorded, Sole if the service hasn't had one build for long.
	Origin *origin.Origin `json:"origin,omitempty"`
	Sole   *origin.Origin `json:"sole,omitempty"`
	// Several is true if the service had several builds while the stream may have begun.
	Several bool `json:"several,omitempty"`

	// asked and answered count the entries whose answers this one joins.
	asked, answered int
}

// Manager records and finds the origins of streams. Exported fields are set before Open.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Entries lists the addresses of the live entries.
	Entries func() []string
	// Current reports whether the list of upstreams is up to date.
	Current func() bool
	Table   *origin.Table
	Log     *slog.Logger

	mu      sync.Mutex
	pending map[uint64]record
}

// record is one that hasn't been passed on.
type record struct {
	origin.Origin
	at magno.Millis
}

// Open registers the methods on the mesh. It must be called before the mesh runs.
func (m *Manager) Open() {
	m.pending = map[uint64]record{}
	m.Mesh.Handle(MethodRecord, m.handleRecord)
	m.Mesh.Handle(MethodFind, m.handleFind)
}

// Name implements magno.Task.
func (m *Manager) Name() string { return "resume" }

// Run passes records on until ctx ends.
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
			m.Table.Forget()
		}
		batches := m.takePending()
		if len(batches) == 0 {
			continue
		}
		for _, addr := range m.keepers() {
			sending.Go(func() { m.send(ctx, addr, batches) })
		}
	}
}

// Record records where the stream of a caller's attempt began. It doesn't wait for other entries.
func (m *Manager) Record(attempt string, o origin.Origin) {
	stream := origin.StreamID(attempt)
	m.Table.Record(stream, o)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) < maxPending {
		m.pending[stream] = record{o, m.Table.Clock.Now()}
	}
}

// takePending returns the records to pass on. Those of services that have had one build for long stay: any
// entry knows where their streams began.
func (m *Manager) takePending() []batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	var batches []batch
	stays := map[string]bool{}
	now := m.Table.Clock.Now()
	for stream, r := range m.pending {
		stay, known := stays[r.Service]
		if !known {
			stay = m.Table.Sole(r.Service, pendingTime) != nil
			stays[r.Service] = stay
		}
		switch {
		case !stay:
			batches = appendRecord(batches, stream, r.Origin)
			delete(m.pending, stream)
		case now-r.at > pendingTime:
			delete(m.pending, stream)
		}
	}
	return batches
}

func appendRecord(list []batch, stream uint64, o origin.Origin) []batch {
	i := slices.IndexFunc(list, func(b batch) bool { return b.Origin == o })
	if i < 0 {
		i, list = len(list), append(list, batch{Origin: o})
	}
	list[i].add(stream)
	return list
}

// others returns the addresses of the other live entries.
func (m *Manager) others() []string {
	return slices.DeleteFunc(m.Entries(), func(addr string) bool { return addr == m.Self })
}

// keepers returns the entries that this one tells where its streams began, by rendezvous hashing: they are
// spread over the data centres, and stay the same as others join or leave.
func (m *Manager) keepers() []string {
	entries := m.others()
	score := func(addr string) uint64 { return xxhash.Sum64String(m.Self + addr) }
	slices.SortFunc(entries, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
	return entries[:min(len(entries), keeperCount)]
}

func (m *Manager) send(ctx context.Context, addr string, batches []batch) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	if err := m.Mesh.Notify(ctx, addr, MethodRecord, batches); err != nil {
		m.Log.Debug("origins not passed on", "addr", addr, "error", err)
	}
}

func (m *Manager) handleRecord(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var batches []batch
	if err := json.Unmarshal(params, &batches); err != nil {
		m.Log.Warn("malformed origins", "error", err)
		return nil, err
	}
	for _, b := range batches {
		for _, stream := range b.ids() {
			m.Table.Record(stream, b.Origin)
		}
	}
	return nil, nil
}

// Find returns where a stream began that a caller takes up, nil if no entry knows.
//
// A caller may not state the attempt. Its stream began at the only build of the service if none of the
// entries that are asked has seen another one.
func (m *Manager) Find(ctx context.Context, q origin.Query) *origin.Origin {
	start := m.Table.Clock.Now()
	var r reply
	o, how := m.find(ctx, q.Attempt, call{Service: q.Service, Lasts: q.Lasts}, &r)
	if o == nil {
		how = "unknown"
	}
	metrics.GetOrCreateCounter(`streams_taken_up_total{origin="` + how + `"}`).Inc()
	m.logFind(&q, o, how, &r, m.Table.Clock.Now()-start)
	return o
}

// logFind logs how it was found out where a stream began. Asked and answered count other processes, several is
// true if this one or another one has seen several builds, took is in ms.
func (m *Manager) logFind(q *origin.Query, o *origin.Origin, how string, r *reply, took magno.Millis) {
	build := ""
	if o != nil {
		build = o.Build
	}
	m.Log.Info("stream taken up", "request", q.Request, "resumes", q.Attempt, "service", q.Service, "origin", how, "build", build,
		"asked", r.asked, "answered", r.answered, "several", r.Several || m.Table.Several(q.Service, q.Lasts), "took", took)
}

// find is Find, and tells how the origin is known. It stores what others answered in r.
func (m *Manager) find(ctx context.Context, attempt string, c call, r *reply) (o *origin.Origin, how string) {
	if attempt != "" {
		c.Stream = origin.StreamID(attempt)
		if o := m.Table.Find(c.Stream); o != nil {
			return o, "recorded"
		}
	} else if o := m.sole(&c); o != nil {
		return o, "sole"
	}
	// This process may not have heard yet of a build that joined a moment ago, so others go before what
	// it takes for the only one.
	*r = m.ask(ctx, &c)
	switch {
	case r.Origin != nil:
		return r.Origin, "asked"
	case r.Several, m.Table.Several(c.Service, c.Lasts):
		return nil, ""
	}
	if o := m.sole(&c); o != nil {
		return o, "sole"
	}
	if r.Sole != nil {
		return r.Sole, "sole"
	}
	if attempt == "" && m.Current() {
		return m.Table.Present(c.Service, c.Lasts), "present"
	}
	return nil, ""
}

// sole returns the build that a service has had alone for as long as a stream lasts, nil if there is none
// or the list may be out of date.
func (m *Manager) sole(c *call) *origin.Origin {
	if !m.Current() {
		return nil
	}
	return m.Table.Sole(c.Service, c.Lasts)
}

// ask asks all other entries. It returns the first answer with the origin of the stream, or else what they
// say about the builds of its service.
func (m *Manager) ask(ctx context.Context, c *call) reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	entries := m.others()
	answers := make(chan reply, len(entries))
	for _, addr := range entries {
		go func() {
			r := reply{answered: 1}
			if err := m.Mesh.Call(ctx, addr, MethodFind, c, &r); err != nil {
				m.Log.Debug("origin not asked", "addr", addr, "error", err)
				r.answered = 0
			}
			answers <- r
		}()
	}
	all := reply{asked: len(entries)}
	for range entries {
		r := <-answers
		all.answered += r.answered
		if r.Origin != nil {
			all.Origin = r.Origin
			return all
		}
		all.Several = all.Several || r.Several
		if r.Sole != nil {
			all.Sole = r.Sole
		}
	}
	return all
}

func (m *Manager) handleFind(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var c call
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	r := reply{Sole: m.sole(&c), Several: m.Table.Several(c.Service, c.Lasts)}
	if c.Stream != 0 {
		r.Origin = m.Table.Find(c.Stream)
	}
	return r, nil
}
