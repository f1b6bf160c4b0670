// Package plain simulates a service that is not an engine, such as one that records
// a receipt or confirms a seat. Some of its calls are not idempotent, so it records
// each run: only this record shows whether a call ran twice.
package plain

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
)

// Defaults of the fields of Service.
const (
	DefaultConcurrency = 16
	DefaultQueueLimit  = 1024 // waiting calls; more are rejected

	DefaultWorkTime    magno.Millis = 10
	DefaultRestartTime magno.Millis = 500
)

// maxRunRecords bounds the recorded runs to some tens of megabytes of memory.
// Further runs are only counted, as dropped.
const maxRunRecords = 1 << 18

// Service simulates a plain service. Fields must be set before Run and Handler are
// called; a zero field takes its default.
type Service struct {
	Title string
	// WorkTime is the duration of a call in milliseconds.
	WorkTime magno.Millis
	// Concurrency is how many calls run at once, QueueLimit how many more may
	// wait.
	Concurrency int
	QueueLimit  int
	// RestartTime is how long the service is down after a crash.
	RestartTime magno.Millis
	Clock       *magno.Clock

	once   sync.Once
	faults fault.Injector
	slots  chan struct{}

	mu sync.Mutex
	// boot identifies an incarnation. It increases with each restart.
	boot int64
	// upAt is the time from which the service answers after a restart.
	upAt magno.Millis
	// processCtx ends with a restart, which aborts all calls in progress.
	processCtx    context.Context //nolint:containedctx // lifetime of a simulated process
	cancelProcess context.CancelFunc
	// running is the number of running calls, at most Concurrency.
	running int
	// waiting is the number of waiting calls, at most QueueLimit.
	waiting int
	runs    []*Run
	dropped int64
	refused int64
}

// Run records one call that ran.
type Run struct {
	ID   string `json:"request_id"`
	Call string `json:"call"`
	// Body is the hash of the body in hexadecimal.
	Body string `json:"body"`
	// Ended is true once the work of the call was completed, whether or not the
	// caller got the answer.
	Ended bool `json:"ended"`
}

// Answer is the body of the answer to a call.
type Answer struct {
	Call string `json:"call"`
	// Sum is the hash of the body in hexadecimal. Number represents the result
	// of the service. Both depend only on call and body.
	Sum    string `json:"sum"`
	Number int    `json:"number"`
}

// Report is the state that the service reports.
type Report struct {
	Boot    int64 `json:"boot"`
	Batch   int   `json:"batch"`
	Running int   `json:"running"`
}

// Counts is the service's own record over all boots. Tests compare it with what
// agents, entries and callers report.
type Counts struct {
	Runs []Run `json:"runs"`
	// Refused counts calls that never ran.
	Refused int64 `json:"refused"`
	// Dropped counts runs missing from Runs because the record was full.
	Dropped int64 `json:"dropped"`
}

// Expect returns the expected answer to a call.
func Expect(call string, body []byte) Answer {
	const numbers = 1_000_000
	sum := xxhash.Sum64(body)
	return Answer{Call: call, Sum: strconv.FormatUint(sum, 16), Number: int((sum ^ xxhash.Sum64String(call)) % numbers)}
}

// Name implements magno.Task.
func (s *Service) Name() string { return s.Title }

// Fault activates a fault, as POST /fault does.
func (s *Service) Fault(spec fault.Spec) error {
	s.prepare()
	return s.faults.Set(spec)
}

// Run waits until ctx ends; all work is done by the handlers.
func (s *Service) Run(ctx context.Context) error {
	s.prepare()
	<-ctx.Done()
	return nil
}

func (s *Service) prepare() {
	s.once.Do(func() {
		if s.WorkTime == 0 {
			s.WorkTime = DefaultWorkTime
		}
		if s.Concurrency == 0 {
			s.Concurrency = DefaultConcurrency
		}
		if s.QueueLimit == 0 {
			s.QueueLimit = DefaultQueueLimit
		}
		if s.RestartTime == 0 {
			s.RestartTime = DefaultRestartTime
		}
		s.slots = make(chan struct{}, s.Concurrency)
		s.boot = max(int64(s.Clock.Now()), 1)
		s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
		s.faults.Kinds = map[string]bool{
			fault.Outage: false, fault.Restart: false,
			fault.Limit: false, fault.Leaving: false, fault.Rest: false,
			fault.Slow: true, fault.Fail: true, fault.Lost: true, fault.Crash: true,
		}
		s.faults.OnRestart = s.restart
	})
}

// restart aborts every call in progress and makes the service unavailable for the
// time down.
func (s *Service) restart(down magno.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelProcess()
	now := s.Clock.Now()
	s.boot = max(s.boot+1, int64(now))
	s.upAt = now + down
	s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
}

// Handler returns the service's API.
func (s *Service) Handler() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	r.POST("/call/:name", s.handleCall, s.checkAvailable)
	r.GET("/report", s.report, s.checkAvailable)
	r.GET("/counts", s.counts)
	return r
}

// Admin returns the administration API.
func (s *Service) Admin() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	s.faults.Register(r)
	r.GET("/counts", s.counts)
	return r
}

// checkAvailable is middleware that rejects calls while the service is down: a
// restarting service drops the connection, as a dead process would, and an outage
// is answered with 503.
func (s *Service) checkAvailable(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		down := s.Clock.Now() < s.upAt
		s.mu.Unlock()
		if down {
			return serve.ErrAborted
		}
		if _, out := s.faults.Active(fault.Outage, ""); out {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "outage")
		}
		s.faults.WriteNotice(c.Response().Header())
		return next(c)
	}
}

func (s *Service) report(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, Report{Boot: s.boot, Batch: s.Concurrency, Running: s.running})
}

func (s *Service) counts(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) }

// Counts returns the record of what ran.
func (s *Service) Counts() Counts {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Runs: make([]Run, 0, len(s.runs)), Refused: s.refused, Dropped: s.dropped}
	for _, r := range s.runs {
		c.Runs = append(c.Runs, *r)
	}
	return c
}
