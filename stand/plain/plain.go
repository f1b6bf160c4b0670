// Package plain is a stand-in of a plain service, such as one that records a
// receipt or confirms a seat. Some of its calls may not be repeated, so it
// counts each run: a test finds a doubled call there and nowhere else.
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

// Defaults of a plain service.
const (
	DefaultConcurrency = 16
	DefaultQueueLimit  = 1024 // calls that wait; more are refused

	DefaultWorkTime    magno.Millis = 10
	DefaultRestartTime magno.Millis = 500
)

// maxRuns bounds the record of runs, to some tens of megabytes; further ones
// are counted as dropped.
const maxRunRecords = 1 << 18

// Plain is a stand-in plain service. Fields are set before Run and Handler; a
// zero field takes its default.
type Service struct {
	Title string
	// Work is the time of a call in milliseconds.
	WorkTime magno.Millis
	// Batch is how many calls run at once; Queue is how many more may wait.
	Concurrency int
	QueueLimit  int
	// Restart is how long the service is down after a crash.
	RestartTime magno.Millis
	Clock       *magno.Clock

	once   sync.Once
	faults fault.Injector
	slots  chan struct{}

	mu sync.Mutex
	// boot changes with each restart.
	boot int64
	upAt magno.Millis
	// life ends with a restart; every call in progress holds it.
	processCtx    context.Context //nolint:containedctx // the life of a simulated process
	cancelProcess context.CancelFunc
	// running is how many calls run; at most Batch.
	running int
	// waiting is how many calls wait; at most Queue.
	waiting int
	runs    []*Run
	dropped int64
	refused int64
}

// Run is the record of one call that ran.
type Run struct {
	ID   string `json:"request_id"`
	Call string `json:"call"`
	// Body is the hash of the body in hexadecimal.
	Body string `json:"body"`
	// Ended is true once the call's work was done, whether or not its answer
	// reached anyone.
	Ended bool `json:"ended"`
}

// Answer is the body of an answer.
type Answer struct {
	Call string `json:"call"`
	// Sum is the hash of the body in hexadecimal, Number a value that stands
	// for the service's result. Both follow from call and body.
	Sum    string `json:"sum"`
	Number int    `json:"number"`
}

// Report is what the service tells of itself.
type Report struct {
	Boot    int64 `json:"boot"`
	Batch   int   `json:"batch"`
	Running int   `json:"running"`
}

// Counts is the stand-in's own record over all boots, to check others by.
type Counts struct {
	Runs []Run `json:"runs"`
	// Refused counts calls that were never run.
	Refused int64 `json:"refused"`
	// Dropped counts runs that Runs has no room for.
	Dropped int64 `json:"dropped"`
}

// Expect returns the answer to a call.
func Expect(call string, body []byte) Answer {
	const numbers = 1_000_000
	sum := xxhash.Sum64(body)
	return Answer{Call: call, Sum: strconv.FormatUint(sum, 16), Number: int((sum ^ xxhash.Sum64String(call)) % numbers)}
}

// Name returns the title, for the kernel.
func (s *Service) Name() string { return s.Title }

// Fault carries out an order as POST /fault does.
func (s *Service) Fault(spec fault.Spec) error {
	s.prepare()
	return s.faults.Set(spec)
}

// Run ends with ctx; the service has no duty besides its handlers.
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
			fault.Slow: true, fault.Fail: true, fault.Lost: true, fault.Crash: true,
		}
		s.faults.OnRestart = s.restart
	})
}

// restart cuts every call in progress; the service answers again after down.
func (s *Service) restart(down magno.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelProcess()
	now := s.Clock.Now()
	s.boot = max(s.boot+1, int64(now))
	s.upAt = now + down
	s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
}

// Handler returns the routes of the service.
func (s *Service) Handler() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	r.POST("/call/:name", s.handleCall, s.checkAvailable)
	r.GET("/report", s.report, s.checkAvailable)
	r.GET("/counts", s.counts)
	return r
}

// Admin returns the operators' routes.
func (s *Service) Admin() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	s.faults.Register(r)
	r.GET("/counts", s.counts)
	return r
}

// gate answers for a service that is down: a restarting one drops the
// connection as a dead process would, an outage answers 503.
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
