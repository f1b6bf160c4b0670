// Package weight is a stand-in of the weight store, from which engines load
// adapters. It allows so many loads a second and runs so many at once at full
// speed; more share that speed, so that loading everything at once makes every
// load slow.
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

// Defaults of a store: the smaller of the two deployments.
const (
	DefaultRate           = 2.0 // loads a second
	DefaultFullSpeedLoads = 1

	DefaultLoadTime magno.Millis = 500
)

// Store is a stand-in weight store. Fields are set before Run and Handler; a
// zero field takes its default.
type Store struct {
	Title string
	// Rate is how many loads a second may begin; more are answered 429.
	Rate float64
	// Width is how many loads run at full speed at once.
	FullSpeedLoads int
	// Load is the time of a load at full speed in milliseconds.
	LoadTime magno.Millis
	Clock    *magno.Clock

	once    sync.Once
	faults  fault.Injector
	limiter *rate.Limiter

	mu sync.Mutex
	// active are the loads in progress; all go at the same speed.
	active map[*load]struct{}
	// last is when active loads were last moved on.
	lastAdvance magno.Millis
	counts      Counts
}

// load is one load in progress.
type load struct {
	// left is the time that it still takes at full speed, in milliseconds.
	remaining float64
	// factor is how many times as long it takes by a fault.
	slowdown float64
}

// Counts is the stand-in's own record.
type Counts struct {
	// Loads maps adapter@version to how often it was delivered.
	Loads map[string]int64 `json:"loads"`
	// Refused counts calls over the rate, Failed those that a fault failed.
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// Most is how many loads ran at once at most.
	MaxConcurrent int `json:"most"`
}

// Name returns the title, for the kernel.
func (s *Store) Name() string { return s.Title }

// Fault carries out an order as POST /fault does.
func (s *Store) Fault(spec fault.Spec) error {
	s.prepare()
	return s.faults.Set(spec)
}

// Run ends with ctx; the store has no duty besides its handlers.
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

// Handler returns the routes of the store.
func (s *Store) Handler() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	r.GET("/v1/weights/:adapter/:version", s.serveWeights)
	r.GET("/counts", s.serveCounts)
	return r
}

// Admin returns the operators' routes.
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

// weights delivers one adapter after the time that its load takes.
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

// admit refuses a load that the store can't begin.
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

// deliver waits until a load has had its time. Its end moves when others come
// and go, so it is looked at anew after each wait.
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

// advance moves every active load on to the present. The caller holds mu.
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
