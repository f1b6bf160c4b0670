// Package relay takes callers' requests and brings them to upstreams.
//
//	caller --> ServeHTTP: route, body --> job.run
//	             choose replica --> permit --> hop: send --> answer or stream
//	                  ^                                        |
//	                  '------ again, if it can't have run <----'
//	                          or may run twice, and the allowance lets it
//
// A request is answered once, whatever happens: with the upstream's whole
// answer, with a refusal that promises it has not run and never will, or with
// a failure that promises nothing.
package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/keys"
	"magnoliastall.example/magno/paths"
	"magnoliastall.example/magno/strain"
	"magnoliastall.example/magno/view"
)

const (
	// defaultTime is how long a request may take where neither caller nor route
	// say.
	defaultTime = 30 * magno.Second
	// bodyLimit bounds a request's body where the configuration doesn't.
	bodyLimit = 4 << 20
	// staleAge is the age of the list from which on an unknown path may be a
	// route that this process hasn't heard of yet.
	staleAge = 1500 * magno.Millis(1)
	// startAfter is the least after which a caller should come back to a process
	// that has no configuration yet, mostAfter the most. Callers come back once or
	// twice, so too soon is worse than a little late.
	startAfter = magno.Second
	mostAfter  = 8 * magno.Second
	// outageTimes is how many times as long as it has lasted an outage is taken to
	// last still.
	outageTimes = 2
	// endSlack is how long before a route's time is over its answer is given, so
	// that it is there in time.
	endSlack = 20 * magno.Millis(1)
)

// Permits decide when a request may begin; desk.Desk implements them.
type Permits interface {
	Acquire(ctx context.Context, key string, ask gate.Request) (*gate.PermitReply, error)
	Release(key string, call gate.EndCall)
	Holds(key, name string) bool
	Down(key string) bool
	// ReportUnreachable tells that an engine couldn't be connected to.
	ReportUnreachable(key string)
}

// Pools choose among the replicas of a service and bound sends beyond the
// first.
type Pools interface {
	Router(service string) magno.Chooser
	// CountRequest counts a request, AllowRetry takes one more send from the allowance.
	CountRequest(service string)
	AllowRetry(service string) bool
}

// Handler is the handler of callers' requests. Fields are set before use.
type Handler struct {
	// Name is this instance's; it makes the IDs of permits unique.
	Name    string
	Clock   *magno.Clock
	Book    *view.Book
	Dialect magno.Dialect
	Conns   *hop.Pool
	Permits Permits
	Pools   Pools
	// Suspects are requests that crash upstreams.
	Suspects *crash.Suspects
	Log      *slog.Logger
	// Quotas is nil where nothing is bounded.
	Quotas magno.Quotas
	// MaxRevokeDelay is how long after its withdrawal a key may still be accepted, zero where
	// that isn't bounded.
	MaxRevokeDelay magno.Millis
	// Started is when this process started.
	Started magno.Millis
	// BodyMemory and ResponseMemory are the bytes of requests' bodies and of upstreams' answers that
	// are held at once; nil where they aren't bounded.
	BodyMemory, ResponseMemory *semaphore.Weighted

	table atomic.Pointer[tabled]
	// tabling is held while table is made: for thousands of routes that takes a small
	// machine some milliseconds, and only one of the requests that come should do it.
	tabling sync.Mutex
	active  atomic.Int64
	// streams and plain are until when such requests are still taken once a
	// planned stop has begun, zero before.
	streams, plain atomic.Int64
	// behind tells how far the processor is behind.
	behind atomic.Int32
	number atomic.Uint64
}

// tabled are the tables of one configuration.
type tabled struct {
	plan  *magno.Plan
	paths *paths.Table
	keys  *keys.Table
}

// Active counts requests that are being answered.
func (h *Handler) Active() int64 { return h.active.Load() }

// Drain begins a planned stop: answers ask callers to close their connections.
// New streams are taken for a while, and requests to plain services, which take
// milliseconds, for longer. Connections go on coming for seconds, and where no
// other instance of the data centre is ready until the end: each refusal costs
// its caller one of few retries.
func (h *Handler) Drain(streams, plain magno.Millis) {
	now := h.Clock.Now()
	h.plain.Store(int64(now + plain))
	h.streams.Store(int64(now + streams))
}

// Draining tells whether a planned stop has begun.
func (h *Handler) Draining() bool { return h.streams.Load() != 0 }

// SetLoadLevel notes how far the processor is behind. While it is, answers ask callers to
// close their connections; their next one finds another instance.
func (h *Handler) SetLoadLevel(level strain.Level) { h.behind.Store(int32(level)) }

// LoadLevel tells how far the processor is behind.
func (h *Handler) LoadLevel() strain.Level { return strain.Level(h.behind.Load()) }

// closed tells whether requests of a kind are no longer taken.
func (h *Handler) closed(kind magno.RouteKind) bool {
	until := h.plain.Load()
	if kind == magno.KindStream {
		until = h.streams.Load()
	}
	return until != 0 && int64(h.Clock.Now()) > until
}

// find returns the configuration's tables, made when it is new.
func (h *Handler) find(plan *magno.Plan) *tabled {
	if t := h.table.Load(); t != nil && t.plan == plan {
		return t
	}
	h.tabling.Lock()
	defer h.tabling.Unlock()
	if t := h.table.Load(); t != nil && t.plan == plan {
		return t // another request made them meanwhile
	}
	t := &tabled{plan: plan, paths: paths.New(plan), keys: keys.New(plan.Customers)}
	h.table.Store(t)
	return t
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	j := &job{Handler: h, w: w, r: r, came: h.Clock.Now(), snap: h.Book.Now()}
	j.bodyRoom.room, j.answerRoom.room = h.BodyMemory, h.ResponseMemory
	defer j.bodyRoom.free()
	defer j.answerRoom.free()
	j.call = h.Dialect.Read(r.Header)
	j.id = j.call.ID
	if refusal := j.prepare(); refusal != nil {
		j.refuse(refusal)
		return
	}
	j.run()
}

// prepare finds the route and reads the body.
func (j *job) prepare() *magno.Refusal {
	if j.snap.Plan == nil {
		return magno.Refuse(magno.KindStarting, "no configuration yet").Later(j.startingAfter())
	}
	j.route = j.find(j.snap.Plan).paths.Find(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		if age := j.Book.Age(); age > staleAge {
			return magno.Refuse(magno.KindStarting, "no route, and the configuration is %d ms old", age).Later(startAfter)
		}
		return magno.Refuse(magno.KindNoProfile, "no route for %s%s", j.r.Host, j.r.URL.Path)
	}
	if j.id == "" {
		return magno.Refuse(magno.KindMalformed, "the request has no id")
	}
	j.limit()
	if j.LoadLevel() == strain.Overloaded {
		return magno.Refuse(magno.KindBusy, "this instance is far behind").Later(busyAfter)
	}
	if j.closed(j.route.Kind) {
		return magno.Refuse(magno.KindLeaving, "this instance stops").Later(0)
	}
	if refusal := j.readBody(); refusal != nil {
		return refusal
	}
	return j.authorize()
}

// startingAfter is when a caller should come back to a process without any
// configuration. One that starts beside others has it within a fraction of a second.
// When it hasn't, the platform's list is away and nobody else has it either; how long
// that goes on isn't known, and most likely it is about as long as it has been. Told a
// second each time, callers come back in the outage, are refused again and give up.
func (h *Handler) startingAfter() magno.Millis {
	return min(max(outageTimes*(h.Clock.Now()-h.Started), startAfter), mostAfter)
}

// limit sets when the request must have its answer.
func (j *job) limit() {
	j.end = j.came + defaultTime
	if j.route.Timeout > 0 {
		j.end = j.came + max(j.route.Timeout-endSlack, 1)
	}
	if j.call.Left > 0 {
		j.end = min(j.end, j.came+j.call.Left)
	}
}

func (j *job) readBody() *magno.Refusal {
	limit := j.snap.Plan.Body
	if limit <= 0 {
		limit = bodyLimit
	}
	if j.r.ContentLength > limit {
		return magno.Refuse(magno.KindTooLarge, "a body of %d bytes", j.r.ContentLength)
	}
	body, err := j.bodyRoom.read(j.r.Body, limit)
	if errors.Is(err, errFull) {
		return magno.Refuse(magno.KindBusy, "this instance holds as many bodies as it can").Later(busyAfter)
	}
	if err != nil {
		return magno.Refuse(magno.KindMalformed, "the body ended early: %v", err)
	}
	if int64(len(body)) > limit {
		return magno.Refuse(magno.KindTooLarge, "a body of over %d bytes", limit)
	}
	j.body = body
	if len(body) > 0 {
		j.print = xxhash.Sum64String(j.r.RequestURI + "\n" + string(body))
	}
	return nil
}

// maybeRan is the status in place of one that would promise that the request
// has not run, where it may have.
const maybeRan = http.StatusBadGateway

// refuse answers with a kind of this system's own.
func (j *job) refuse(refusal *magno.Refusal) {
	status := refusal.Kind.Answer().Status
	if refusal.Kind == magno.KindSuspect {
		status = http.StatusServiceUnavailable // it has not run, and coming back is useless
	}
	if j.ran && promises(status) {
		status = maybeRan
	}
	h := j.w.Header()
	if again := refusal.Kind.Answer().Again; again && !j.ran {
		h.Set("Retry-After", strconv.FormatFloat(float64(refusal.After)/1000, 'f', 3, 64))
	}
	j.closing(h)
	switch refusal.Kind {
	case magno.KindCredential:
		h.Set("WWW-Authenticate", keys.Scheme)
	case magno.KindOutdated:
		h.Set("Connection", "close") // the next one finds another instance
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.note(status, string(refusal.Kind), refusal.Detail)
}

// promises tells whether callers take a status as word that the request has
// not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// closing asks the caller for a new connection while this process stops or has
// too much to do.
func (j *job) closing(h http.Header) {
	if j.Draining() || j.LoadLevel() != strain.Normal {
		h.Set("Connection", "close")
	}
}

// note logs the outcome of a request, in one line with what decided it.
func (j *job) note(status int, outcome, why string) {
	took := j.Clock.Now() - j.came
	metrics.GetOrCreateCounter(`requests_total{outcome="` + outcome + `"}`).Inc()
	metrics.GetOrCreateHistogram("request_seconds").Update(float64(took) / 1000)
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	line := []any{
		"request", j.id, "route", route, "customer", j.owner(), "adapter", gate.QualifiedName(j.call.Model, j.call.Adapter), "status", status, "outcome", outcome, "why", why,
		"replica", j.at, "tries", j.tries, "waited", j.waited, "took", took, "events", j.events, "first", j.first, "pause", j.pause,
		"config", j.version(), "age", j.Book.Age(), "sure", j.sure,
	}
	j.Log.Info("request", append(line, j.waits.LogArgs()...)...)
}

func (j *job) version() int64 {
	if j.snap.Plan == nil {
		return 0
	}
	return j.snap.Plan.Version
}
