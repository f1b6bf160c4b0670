// Package conf is a stand-in of the platform's configuration service. The
// system reads and watches it and can write nothing; operators publish on a
// handler of their own. Its rate is limited, a waiting watch counts as a call,
// and it may be down or stale for long.
package conf

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
)

// Limits of a service.
const (
	DefaultRate   = 2000.0 // calls a second over all readers
	MaxValueBytes = 1 << 20
	MaxWait       = magno.Minute // a watch waits at most
	maxKeyBytes   = 512          // bytes
	// lookStale is how often a watch on a stale service looks whether a
	// change has become visible.
	stalePollInterval = 20 * time.Millisecond
)

// Service is a stand-in configuration service. Fields are set before Run and
// Handler; a zero field takes its default.
type Service struct {
	Title string
	// Rate is how many calls a second are answered; more get 429.
	Rate  float64
	Clock *magno.Clock

	once    sync.Once
	faults  fault.Injector
	limiter *rate.Limiter
	values  *values

	mu sync.Mutex
	// changed is closed and replaced when a value or a fault changes.
	changed chan struct{}
	counts  Counts
}

// Counts is the stand-in's own record.
type Counts struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	// Refused counts calls over the rate, Failed those during an outage.
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// Revision counts the values published.
	Revision int64 `json:"revision"`
}

// News answers a watch.
type WatchResponse struct {
	// Revision is to be watched after next.
	Revision int64 `json:"revision"`
	// Keys changed since; empty when the wait ended without a change.
	Keys []string `json:"keys"`
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
		if s.Rate == 0 {
			s.Rate = DefaultRate
		}
		s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(int(s.Rate), 1))
		s.values = newValues()
		s.changed = make(chan struct{})
		s.faults.Kinds = map[string]bool{fault.Outage: false, fault.Stale: false}
		s.faults.OnChange = s.wakeWatches
	})
}

// Handler returns the readers' routes.
func (s *Service) Handler() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	r.GET("/v1/value/*", s.read, s.limitCalls)
	r.GET("/v1/watch", s.watch, s.limitCalls)
	return r
}

// Admin returns the operators' routes.
func (s *Service) Admin() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	s.faults.Register(r)
	r.PUT("/v1/value/*", s.publish)
	r.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	return r
}

// Counts returns the record of calls.
func (s *Service) Counts() Counts {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Revision = s.values.revision
	return counts
}

// gate counts a reader's call against the rate and refuses it in an outage.
func (s *Service) limitCalls(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.inOutage() {
			s.updateCounts(func(n *Counts) { n.Failed++ })
			return errOutage()
		}
		if !s.limiter.AllowN(time.UnixMilli(int64(s.Clock.Now())), 1) {
			s.updateCounts(func(n *Counts) { n.Refused++ })
			return echo.NewHTTPError(http.StatusTooManyRequests, "over the rate of calls")
		}
		return next(c)
	}
}

func errOutage() error { return echo.NewHTTPError(http.StatusServiceUnavailable, "outage") }

func (s *Service) inOutage() bool {
	_, out := s.faults.Active(fault.Outage, "")
	return out
}

func (s *Service) updateCounts(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

// wake lets every waiting watch look again.
func (s *Service) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// asOf is the time whose state readers are shown.
func (s *Service) visibleTime() magno.Millis {
	return s.Clock.Now() - s.faults.Delay(fault.Stale, 0)
}

// Put publishes a value, as operators do.
func (s *Service) Put(key string, value []byte) (int64, error) {
	s.prepare()
	if key == "" || len(key) > maxKeyBytes {
		return 0, errors.New("key: wants 1 to " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	if len(value) > MaxValueBytes {
		return 0, errors.New("value: over a megabyte")
	}
	s.mu.Lock()
	revision := s.values.put(s.Clock.Now(), key, append([]byte(nil), value...))
	s.mu.Unlock()
	s.wakeWatches()
	return revision, nil
}

func (s *Service) publish(c echo.Context) error {
	data, err := serve.ReadBody(c, MaxValueBytes)
	if err != nil {
		return err
	}
	revision, err := s.Put(c.Param("*"), data)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, map[string]int64{"revision": revision})
}

func (s *Service) read(c echo.Context) error {
	s.mu.Lock()
	s.counts.Reads++
	t := s.visibleTime()
	value, ok := s.values.get(t, c.Param("*"))
	revision := s.values.revisionAt(t)
	s.mu.Unlock()
	c.Response().Header().Set("X-Revision", strconv.FormatInt(revision, 10))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no such key")
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}
