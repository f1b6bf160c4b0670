// Package relay is the HTTP handler that forwards callers' requests to upstreams.
//
//	caller --> ServeHTTP: route, body --> job.run
//	             choose replica --> permit --> hop: send --> response or stream
//	                  ^                                        |
//	                  '------ retry, if it can't have run <----'
//	                          or may run twice, and the retry budget allows it
//
// Each request gets exactly one response: the upstream's complete response, a refusal which
// guarantees that the request has not run and never will, or an error that guarantees nothing.
package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/budget"
	"magnoliastall.example/magno/caller"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/keys"
	"magnoliastall.example/magno/notice"
	"magnoliastall.example/magno/paths"
	"magnoliastall.example/magno/shed"
	"magnoliastall.example/magno/strain"
	"magnoliastall.example/magno/took"
	"magnoliastall.example/magno/view"
)

const (
	// defaultTimeout applies where neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * magno.Second
	// defaultMaxBody bounds a request's body, in bytes, where the configuration doesn't.
	defaultMaxBody = 4 << 20
	// staleConfigAge is the age of the configuration from which on an unknown path or key may
	// be one that this process hasn't received yet.
	staleConfigAge = 1500 * magno.Millis(1)
	// minStartRetry and maxStartRetry bound the Retry-After of a process that has no
	// configuration yet. Callers retry once or twice, so too early is worse than a little late.
	minStartRetry = magno.Second
	maxStartRetry = 8 * magno.Second
	// outageFactor is the Retry-After during an outage, as a multiple of its duration so far.
	outageFactor = 2
	// deadlineMargin is how long before the route's timeout the response is due, so that it
	// reaches the caller in time.
	deadlineMargin = 20 * magno.Millis(1)
)

// Permits decides when a request may start. desk.Client implements it.
type Permits interface {
	// Acquire waits for the decision on a permit to start at the replica with the key. Release
	// ends a permit, or the wait for one.
	Acquire(ctx context.Context, key string, req gate.Request) (*gate.PermitReply, error)
	Release(key string, call gate.EndCall)
	// ReportNotice passes on what the answer of an engine stated.
	ReportNotice(key string, call gate.NoticeCall)
	// Holds reports whether an engine was last known to hold a model or adapter.
	Holds(key, name string) bool
	// Responds reports whether an engine answers though its agent doesn't. It may wait for the answer.
	Responds(ctx context.Context, key string) bool
	// Down reports whether an engine is known to be down or to have restarted, Restarted whether it is known to
	// have restarted.
	Down(key string) bool
	Restarted(key string) bool
	// ReportUnreachable reports that a connection to an engine failed.
	ReportUnreachable(key string)
}

// Pools chooses among the replicas of a service and limits retries.
type Pools interface {
	// Router returns the router of a service.
	Router(service string) magno.Chooser
	// CountRequest counts a request towards the retry budget.
	CountRequest(service string)
	// ReserveRetry sets one retry aside in the retry budget, or returns false if that is used up.
	// Each reserved retry ends with SpendRetry right before it is sent, which returns false if it
	// must not be, or with ReturnRetry. Unanswered is the upstream of the send before if that gave no sign.
	ReserveRetry(service string) bool
	SpendRetry(service, unanswered string) bool
	ReturnRetry(service string)
	// RetryUnanswered records that a retry got no sign of the upstream to which it was sent, Answered that an
	// upstream answered.
	RetryUnanswered(service, upstream string)
	Answered(service, upstream string)
	// Listed returns the number of request slots of the listed upstreams of a service that don't
	// leave, and a channel that is closed when one of them may have become usable.
	Listed(service string) (slots int, usable <-chan struct{})
}

// Limits grants the requests to upstreams that name a limit and have no agent to grant them.
type Limits interface {
	// Take asks for a request to an upstream that accepts rate requests per second from all
	// entries together.
	Take(ctx context.Context, key string, rate float64) magno.LimitGrant
	// Report passes on what the answer to a request stated. The grant is zero if the request was
	// sent without one.
	Report(key string, n magno.Notice, g magno.LimitGrant)
}

// Trials decides whether a request that upstreams ended under may be sent.
type Trials interface {
	// Ask reports whether a request that is refused because of these fingerprints may be sent once. MayTry
	// returns false if it surely may not.
	Ask(ctx context.Context, prints []uint64) bool
	MayTry(prints []uint64) bool
	// AskUnproven reports whether a request may be sent now with fingerprints that may be the cause. MayAsk
	// returns false if it surely may not.
	AskUnproven(ctx context.Context, prints []uint64) bool
	MayAsk(prints []uint64) bool
}

// Handler handles callers' requests. Exported fields are set before use.
type Handler struct {
	// Name is the name of this instance. It makes the IDs of permits unique.
	Name    string
	Clock   *magno.Clock
	Book    *view.Store
	Dialect magno.Dialect
	Conns   *hop.Pool
	Permits Permits
	Pools   Pools
	// Queues is nil where requests to plain services are sent at once.
	Queues Queues
	// Suspects records the requests under which upstreams ended.
	Suspects *crash.Suspects
	// Trials is nil where refused requests aren't tried.
	Trials Trials
	// Notices holds what upstreams state about themselves.
	Notices *notice.Board
	Limits  Limits
	// Origins is nil where streams aren't taken up.
	Origins Origins
	Log     *slog.Logger
	// Entries returns how many entries are alive, this one included. It may be nil, for one.
	Entries func() int
	// Quotas is nil where no customer has a limit.
	Quotas magno.Quotas
	// MaxRevokeDelay is how long a key may still be accepted after its revocation, zero if that
	// isn't limited.
	MaxRevokeDelay magno.Millis
	// Started is when this process started.
	Started magno.Millis
	// BodyMemory and ResponseMemory limit the bytes of request bodies and of upstreams'
	// responses that are held in memory at the same time. They are nil where memory isn't
	// limited.
	BodyMemory, ResponseMemory *budget.Budget

	tables atomic.Pointer[configTables]
	// tablesMu is held while tables are built. For thousands of routes this takes a small
	// machine some milliseconds, and only one of the concurrent requests should do it.
	tablesMu sync.Mutex
	active   atomic.Int64
	// streamsUntil and plainUntil are the times until which requests of each kind are accepted
	// during a planned shutdown, zero before it.
	streamsUntil, plainUntil atomic.Int64
	// exit is the end of that shutdown.
	exit exit
	// times are how long requests take, by route.
	times took.Times
	// loadLevel is a strain.Level.
	loadLevel atomic.Int32
	permitSeq atomic.Uint64
	// sendCount counts the sends to upstreams. Their order can't be told from times in milliseconds.
	sendCount atomic.Uint64
	ends      endChecks
	returns   returns
	// waiting counts the requests that wait for an upstream by service, configWaiting those that
	// wait for the first configuration.
	waiting       waitCounts
	configWaiting atomic.Int64
}

// configTables holds the lookup tables of one configuration.
type configTables struct {
	plan  *magno.Plan
	paths *paths.Table
	keys  *keys.Table
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Drain begins a planned shutdown that leaves answers the time end: responses ask callers to close their connections. New
// streams are still accepted for a while, and requests to plain services, which take
// milliseconds, for longer. New connections arrive for some more seconds, or until the end if
// no other instance of the data centre is ready, and each refusal costs its caller one of few
// retries. What can't end in time is refused.
func (h *Handler) Drain(streams, plain, end magno.Millis) {
	now := h.Clock.Now()
	h.exit.begin(now+end, end)
	h.plainUntil.Store(int64(now + plain))
	h.streamsUntil.Store(int64(now + streams))
}

// Draining reports whether a planned shutdown has begun.
func (h *Handler) Draining() bool { return h.streamsUntil.Load() != 0 }

// SetLoadLevel sets the load level of the processor. Unless it is normal, responses ask callers
// to close their connections, so that their next one goes to another instance.
func (h *Handler) SetLoadLevel(level strain.Level) { h.loadLevel.Store(int32(level)) }

// LoadLevel returns the load level of the processor.
func (h *Handler) LoadLevel() strain.Level { return strain.Level(h.loadLevel.Load()) }

// drained reports whether requests of a kind are no longer accepted.
func (h *Handler) drained(kind magno.RouteKind) bool {
	until := h.plainUntil.Load()
	if kind == magno.RouteStream {
		until = h.streamsUntil.Load()
	}
	return until != 0 && int64(h.Clock.Now()) > until
}

// tablesFor returns the tables of a configuration, and builds them if it is new.
func (h *Handler) tablesFor(plan *magno.Plan) *configTables {
	if t := h.tables.Load(); t != nil && t.plan == plan {
		return t
	}
	h.tablesMu.Lock()
	defer h.tablesMu.Unlock()
	if t := h.tables.Load(); t != nil && t.plan == plan {
		return t // built by another request meanwhile
	}
	t := &configTables{plan: plan, paths: paths.New(plan), keys: keys.New(plan.Customers)}
	h.tables.Store(t)
	return t
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	j := &job{Handler: h, w: w, r: r, received: h.Clock.Now(), snap: h.Book.Current()}
	j.bodyMem.budget, j.responseMem.budget = h.BodyMemory, h.ResponseMemory
	defer j.bodyMem.release()
	defer j.responseMem.release()
	j.call = h.Dialect.Read(r.Header)
	j.id = j.call.ID
	refusal := j.prepare()
	if !j.bodyLate && caller.Left(j.r.Context()) { // the server takes a late body for a caller that left
		j.logOutcome(0, "cancelled", "the caller left before the request was read")
		panic(http.ErrAbortHandler) // one that still reads must not get an empty success
	}
	if refusal != nil {
		j.refuse(refusal)
		return
	}
	j.run()
}

// prepare finds the route, reads the body and authorizes the caller.
func (j *job) prepare() *magno.Refusal {
	if refusal := j.waitForConfig(); refusal != nil {
		return refusal
	}
	if j.snap.Plan == nil {
		return magno.Refuse(magno.KindStarting, "no configuration yet").WithRetryAfter(j.startRetryAfter())
	}
	j.route = j.tablesFor(j.snap.Plan).paths.Find(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		if why := j.configDoubt(); why != "" {
			return magno.Refuse(magno.KindStarting, "no route, and the configuration %s", why).WithRetryAfter(minStartRetry)
		}
		return magno.Refuse(magno.KindNoProfile, "no route for %s%s", j.r.Host, j.r.URL.Path)
	}
	if j.id == "" {
		return magno.Refuse(magno.KindMalformed, "the request has no id")
	}
	j.setDeadline()
	if j.LoadLevel() == strain.Overloaded || isRefused(j.r.Context()) {
		return magno.Refuse(magno.KindBusy, "this instance is far behind").WithRetryAfter(shed.RetryAfter)
	}
	if j.drained(j.route.Kind) || !j.endsBeforeExit() {
		return refuseLeaving()
	}
	if refusal := j.readBody(); refusal != nil {
		return refusal
	}
	if refusal := j.authorize(); refusal != nil {
		return refusal
	}
	j.prints = j.computePrints()
	return nil
}

// setDeadline sets the time by which the request must be answered.
func (j *job) setDeadline() {
	j.deadline = j.received + defaultTimeout
	if j.route.Timeout > 0 {
		j.deadline = j.received + max(j.route.Timeout-deadlineMargin, 1)
	}
	if j.call.Left > 0 {
		j.deadline = min(j.deadline, j.received+j.call.Left)
	}
}

// statusMayHaveRun replaces a status that would guarantee that the request has not run, where
// it may have.
const statusMayHaveRun = http.StatusBadGateway

// refuse responds with a refusal made by this system.
func (j *job) refuse(refusal *magno.Refusal) {
	status := refusal.Kind.Answer().Status
	if refusal.Kind == magno.KindSuspect {
		status = http.StatusServiceUnavailable // it has not run, and a retry is useless
	}
	if j.mayHaveRun && promisesNotRun(status) {
		status = statusMayHaveRun
	}
	h := j.w.Header()
	if again := refusal.Kind.Answer().Retryable; again && !j.mayHaveRun {
		h.Set("Retry-After", strconv.FormatFloat(float64(j.returnAfter(refusal))/1000, 'f', 3, 64))
	}
	j.setConnectionClose(h)
	switch refusal.Kind {
	case magno.KindCredential:
		h.Set("WWW-Authenticate", keys.Scheme)
	case magno.KindOutdated:
		h.Set("Connection", "close") // the next connection goes to another instance
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.logOutcome(status, string(refusal.Kind), refusal.Detail)
}

// promisesNotRun reports whether callers take a status as a guarantee that the request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// setConnectionClose asks the caller to close the connection while this process is draining or
// strained, or refuses what comes over it.
func (j *job) setConnectionClose(h http.Header) {
	if j.Draining() || j.LoadLevel() != strain.Normal || isRefused(j.r.Context()) {
		h.Set("Connection", "close")
	}
}

// logOutcome logs the outcome of a request in one line, with the reasons for it.
func (j *job) logOutcome(status int, outcome, why string) {
	took := j.Clock.Now() - j.received
	metrics.GetOrCreateCounter(`requests_total{outcome="` + outcome + `"}`).Inc()
	metrics.GetOrCreateHistogram("request_seconds").Update(float64(took) / 1000)
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	line := []any{
		"request", j.id, "route", route, "customer", j.customerName(), "adapter", gate.QualifiedName(j.call.Model, j.call.Adapter), "status", status, "outcome", outcome, "why", why,
		"replica", j.lastReplica, "tries", j.sends, "waited", j.permitWait, "held", j.upstreamWait, "took", took, "events", j.events, "from", j.call.From, "build", j.requiredBuild(), "first", j.firstEvent, "pause", j.longestPause,
		"config", j.configVersion(), "age", j.Book.Age(), "sure", j.configAge,
	}
	j.Log.Info("request", append(line, j.waitCauses.LogArgs()...)...)
}

func (j *job) configVersion() int64 {
	if j.snap.Plan == nil {
		return 0
	}
	return j.snap.Plan.Version
}
