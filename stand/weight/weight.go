// Package weight simulates the weight store from which engines load adapters. It
// limits the rate at which loads start, and the bandwidth: beyond FullSpeedLoads
// concurrent loads, all share it, so that many loads at once are all slow.
package weight

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
	"magnoliastall.example/stand/wait"
)

// Defaults of a store: the limits of the smaller of the two deployments.
const (
	DefaultRate           = 2.0 // loads per second
	DefaultFullSpeedLoads = 1

	DefaultLoadTime magno.Millis = 500
)

// Store simulates a weight store. Fields must be set before Run and Handler are
// called; a zero field takes its default.
type Store struct {
	Title string
	// Rate is how many loads per second may start; more are answered with 429.
	Rate float64
	// FullSpeedLoads is how many concurrent loads run at full speed.
	FullSpeedLoads int
	// LoadTime is the duration of a load at full speed in milliseconds.
	LoadTime magno.Millis
	Clock    *magno.Clock

	once    sync.Once
	faults  fault.Injector
	limiter *rate.Limiter

	mu sync.Mutex
	// active has the loads in progress. All run at the same speed.
	active map[*load]struct{}
	// lastAdvance is when the progress of active loads was last updated.
	lastAdvance magno.Millis
	counts      Counts
}

// load is a load in progress.
type load struct {
	// remaining is the time that it still takes at full speed, in milliseconds.
	remaining float64
	// slowdown is the factor by which a fault makes it take longer.
	slowdown float64
}

// Counts is the store's own record. Tests compare it with what engines report.
type Counts struct {
	// Loads maps adapter@version to the number of completed loads.
	Loads map[string]int64 `json:"loads"`
	// Refused counts calls over the rate, Failed those that failed by a fault.
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// MaxConcurrent is the highest number of concurrent loads.
	MaxConcurrent int `json:"most"`
}

// Name implements magno.Task.
func (s *Store) Name() string { return s.Title }

// Fault activates a fault, as POST /fault does.
func (s *Store) Fault(spec fault.Spec) error {
	s.prepare()
	return s.faults.Set(spec)
}

// Run waits until ctx ends; all work is done by the handlers.
func (s *Store) Run(ctx context.Context) error {
	s.prepare()
	<-ctx.Done()
	return nil
}

func (s *Store) prepare() {
	s.once.Do(func() {
		if s.Rate == 0 {
			s.Rate = DefaultRate
		}
		if s.FullSpeedLoads == 0 {
			s.FullSpeedLoads = DefaultFullSpeedLoads
		}
		if s.LoadTime == 0 {
			s.LoadTime = DefaultLoadTime
		}
		s.faults.Kinds = map[string]bool{fault.Outage: false, fault.Slow: true, fault.Fail: true}
		s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(s.FullSpeedLoads, int(s.Rate)))
		s.active = map[*load]struct{}{}
		s.counts.Loads = map[string]int64{}
	})
}

// Handler returns the store's API.
func (s *Store) Handler() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	r.GET("/v1/weights/:adapter/:version", s.serveWeights)
	r.GET("/counts", s.serveCounts)
	return r
}

// Admin returns the administration API.
func (s *Store) Admin() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	s.faults.Register(r)
	r.GET("/counts", s.serveCounts)
	return r
}

func (s *Store) serveCounts(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) }

// Counts returns the record of loads.
func (s *Store) Counts() Counts {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Loads = make(map[string]int64, len(s.counts.Loads))
	for name, n := range s.counts.Loads {
		counts.Loads[name] = n
	}
	return counts
}

// serveWeights answers with the weights of an adapter after the load time.
func (s *Store) serveWeights(c echo.Context) error {
	name := c.Param("adapter") + "@" + c.Param("version")
	if err := s.admit(name); err != nil {
		return err
	}
	l := s.startLoad(name)
	err := s.waitLoad(c.Request().Context(), l)
	s.endLoad(l, name, err == nil)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, []byte("weights of "+name))
}

// admit rejects a load that a fault fails or that exceeds the rate.
func (s *Store) admit(name string) error {
	_, out := s.faults.Active(fault.Outage, "")
	failed := out || s.faults.Hit(fault.Fail, name)
	over := !failed && !s.limiter.AllowN(time.UnixMilli(int64(s.Clock.Now())), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed {
		s.counts.Failed++
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the load failed")
	}
	if over {
		s.counts.Refused++
		return echo.NewHTTPError(http.StatusTooManyRequests, "over "+strconv.FormatFloat(s.Rate, 'g', -1, 64)+" loads a second")
	}
	return nil
}

func (s *Store) startLoad(name string) *load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	l := &load{remaining: float64(s.LoadTime), slowdown: s.faults.Slowdown(name)}
	s.active[l] = struct{}{}
	s.counts.MaxConcurrent = max(s.counts.MaxConcurrent, len(s.active))
	return l
}

// waitLoad waits until a load has ended. The time of its end changes whenever
// another load starts or ends, so the remaining time is computed again each
// millisecond.
func (s *Store) waitLoad(ctx context.Context, l *load) error {
	for {
		s.mu.Lock()
		s.advance()
		remaining := l.remaining
		s.mu.Unlock()
		if remaining <= 0 {
			return nil
		}
		if err := wait.Until(ctx, s.Clock, s.Clock.Now()+1); err != nil {
			return err
		}
	}
}

// advance updates the progress of all active loads. The caller holds mu.
func (s *Store) advance() {
	now := s.Clock.Now()
	elapsed := float64(now - s.lastAdvance)
	s.lastAdvance = now
	speed := min(1, float64(s.FullSpeedLoads)/float64(max(len(s.active), 1)))
	for l := range s.active {
		l.remaining -= elapsed * speed / l.slowdown
	}
}

func (s *Store) endLoad(l *load, name string, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	delete(s.active, l)
	if delivered {
		s.counts.Loads[name]++
	}
}
