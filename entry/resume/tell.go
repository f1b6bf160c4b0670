package resume

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/builds"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
)

const (
	// keeperCount is the number of agents that an entry tells where its streams began, other entries if there
	// are fewer agents.
	keeperCount = 2
	// flushInterval is how often records are passed on to agents: a kill of all entries loses those of the
	// streams that began within it. Entries are told with each third flush, for they tell each other as much.
	flushInterval = 40 * magno.Millis(1)
	entryFlushes  = 3
	// buildsInterval is how often keepers are told of the builds, besides when one joins.
	buildsInterval = 2 * magno.Second
	// keepTime is how long a service must have had one build for records not to be passed on, and how long
	// they are kept for the case that another one joins, or a keeper: longer than a stream lasts.
	keepTime = 60 * magno.Second
	// sendTimeout bounds the delivery of records.
	sendTimeout = 500 * magno.Millis(1)
	// maxRecent bounds the records that are kept to be passed on.
	maxRecent = 4096
)

// record is where one stream began.
type record struct {
	origin.Origin
	stream uint64
	at     magno.Millis
}

// recent holds the newest records of this process, in the order in which they were added.
type recent struct {
	list []record
	// services holds when the newest record of each service was added.
	services map[string]magno.Millis
	// end is the number of records that were ever added.
	end uint64
}

// add adds a record, in place of the oldest if there are maxRecent.
func (r *recent) add(x record) {
	if len(r.list) >= 2*maxRecent {
		r.list = slices.Delete(r.list, 0, len(r.list)-maxRecent)
	}
	r.list = append(r.list, x)
	r.end++
	if r.services == nil {
		r.services = map[string]magno.Millis{}
	}
	r.services[x.Service] = x.at
}

// after returns the records that were added after the first n.
func (r *recent) after(n uint64) []record {
	count := min(r.end-n, uint64(len(r.list)), maxRecent)
	return r.list[uint64(len(r.list))-count:]
}

// told is what a keeper was told.
type told struct {
	// records is the number of records that were passed on, of those ever added.
	records uint64
	// change is the change of the builds, buildsAt when they were told, zero if never.
	change   int
	buildsAt magno.Millis
	// shared are the services whose records were passed on.
	shared []string
	// life is that of the keeper's process, zero if it isn't known.
	life uint64
	// conn is the connection over which all of this was told.
	conn uint64
	// sending is true while a message is on its way.
	sending bool
}

// Record records where the stream of a caller's attempt began. It doesn't wait for other processes.
func (m *Manager) Record(attempt string, o origin.Origin) {
	m.remember(origin.StreamID(attempt), o)
}

// remember records where a stream began, to be passed on.
func (m *Manager) remember(stream uint64, o origin.Origin) {
	m.Table.Record(stream, o)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent.add(record{Origin: o, stream: stream, at: m.Clock.Now()})
}

// tell tells each keeper what it lacks.
func (m *Manager) tell(ctx context.Context, sending *sync.WaitGroup) {
	agents := m.holders.of(m.Agents(), m.Self)
	entries := preferred(m.Self, m.others(), keeperCount-len(agents))
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr := range m.keepers {
		if !slices.Contains(agents, addr) && !slices.Contains(entries, addr) {
			delete(m.keepers, addr)
		}
	}
	shared := m.sharedServices()
	for _, addr := range agents {
		m.tellOne(ctx, sending, addr, shared)
	}
	m.flushes++
	if m.flushes%entryFlushes != 0 {
		return
	}
	for _, addr := range entries {
		m.tellOne(ctx, sending, addr, shared)
	}
}

// tellOne tells one keeper what it lacks. The caller holds mu.
func (m *Manager) tellOne(ctx context.Context, sending *sync.WaitGroup, addr string, shared []string) {
	k := m.keepers[addr]
	if k == nil {
		k = &told{}
		m.keepers[addr] = k
	}
	if k.sending {
		return
	}
	n := m.newNews(k, shared)
	if n.isEmpty() {
		*k = n.next
		return
	}
	k.sending = true
	sending.Go(func() { m.send(ctx, addr, k, n) })
}

// news is what a keeper lacks.
type news struct {
	batches []keeper.Records
	builds  *builds.Report
	// next is the state once the keeper has it.
	next told
}

func (n *news) isEmpty() bool { return len(n.batches) == 0 && n.builds == nil }

// newNews returns what a keeper lacks. The caller holds mu.
func (m *Manager) newNews(k *told, shared []string) *news {
	now := m.Clock.Now()
	n := &news{next: told{records: m.recent.end, change: m.Builds.Change(), buildsAt: k.buildsAt, shared: shared, life: k.life, conn: k.conn}}
	if k.buildsAt == 0 || k.change != n.next.change || now-k.buildsAt >= buildsInterval {
		n.builds = m.Builds.Report()
		n.next.buildsAt = now
	}
	from := k.records
	if slices.ContainsFunc(shared, func(service string) bool { return !slices.Contains(k.shared, service) }) {
		from = 0
	}
	for _, x := range m.recent.after(from) {
		if now-x.at <= keepTime && slices.Contains(shared, x.Service) {
			n.batches = keeper.Append(n.batches, x.Origin, x.stream)
		}
	}
	return n
}

// sharedServices returns the services whose records are passed on: those that haven't had one build for
// long. Of the others any entry knows where their streams began. The caller holds mu.
func (m *Manager) sharedServices() []string {
	var shared []string
	for service, at := range m.recent.services {
		if m.Clock.Now()-at > keepTime {
			continue
		}
		if _, sole := m.Builds.Sole(service, keepTime); !sole {
			shared = append(shared, service)
		}
	}
	return shared
}

// send sends a keeper what it lacks. What can't be sent is sent again with the next news.
func (m *Manager) send(ctx context.Context, addr string, k *told, n *news) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	err := m.sendNews(ctx, addr, n)
	n.next.conn = m.Mesh.Connection(addr)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && !exchangesNoBuilds(err):
		m.Log.Debug("origins not passed on", "addr", addr, "error", err)
		k.buildsAt, k.sending = m.Clock.Now(), false
	case k.life != 0 && n.next.life != k.life, n.next.conn != k.conn || n.next.conn == 0:
		// What its earlier process was told is lost, what was sent over an earlier connection may be.
		*k = told{life: n.next.life, conn: n.next.conn}
	default:
		*k = n.next
	}
}

// exchangesNoBuilds reports whether a keeper answered that it lacks the method: it is of an earlier version.
func exchangesNoBuilds(err error) bool {
	var refusal *magno.Refusal
	return errors.As(err, &refusal) && refusal.Kind == magno.KindInternal
}

func (m *Manager) sendNews(ctx context.Context, addr string, n *news) error {
	if len(n.batches) > 0 {
		if err := m.Mesh.Notify(ctx, addr, keeper.MethodRecord, n.batches); err != nil {
			return err
		}
	}
	if n.builds == nil {
		return nil
	}
	var r keeper.BuildsReply
	if err := m.Mesh.Call(ctx, addr, keeper.MethodBuilds, n.builds, &r); err != nil {
		return err
	}
	n.next.life = r.Life
	if r.Builds != nil {
		m.Builds.Merge(r.Builds)
	}
	return nil
}
