// Package conf simulates the configuration service of the platform. The system can
// only read and watch values; operators publish them on the administration API.
// Calls are rate-limited, and a watch counts as a call. Faults make the service
// unavailable or return stale values.
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

// Limits and defaults of a service.
const (
	DefaultRate   = 2000.0 // calls per second of all readers
	MaxValueBytes = 1 << 20
	MaxWait       = magno.Minute // longest wait of a watch
	maxKeyBytes   = 512
	// stalePollInterval is how often a watch on a stale service checks whether a
	// change has become visible.
	stalePollInterval = 20 * time.Millisecond
)

// Service simulates a configuration service. Fields must be set before Run and
// Handler are called; a zero field takes its default.
type Service struct {
	Title string
	// Rate is the limit of calls per second; more are answered with 429.
	Rate  float64
	Clock *magno.Clock

	once    sync.Once
	faults  fault.Injector
	limiter *rate.Limiter
	values  *values

	mu sync.Mutex
	// changed is closed and replaced when a value or fault changes.
	changed chan struct{}
	counts  Counts
}

// Counts is the service's own record.
type Counts struct {
	Reads   int64 `json:"reads"`
	Watches int64 `json:"watches"`
	// Refused counts calls over the rate, Failed those during an outage.
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// Revision counts the values published.
	Revision int64 `json:"revision"`
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	// Revision is the one to pass as after in the next watch.
	Revision int64 `json:"revision"`
	// Keys has the changed keys. It is empty when the wait timed out.
	Keys []string `json:"keys"`
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

// Handler returns the API for readers.
func (s *Service) Handler() http.Handler {
	s.prepare()
	r := serve.NewRouter()
	r.GET("/v1/value/*", s.read, s.limitCalls)
	r.GET("/v1/watch", s.watch, s.limitCalls)
	return r
}

// Admin returns the administration API.
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

// limitCalls is middleware that applies the rate limit to calls of readers and
// rejects them during an outage.
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

// wakeWatches makes every waiting watch check for changes again.
func (s *Service) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// visibleTime returns the time as of which readers see the values.
func (s *Service) visibleTime() magno.Millis {
	return s.Clock.Now() - s.faults.Delay(fault.Stale, 0)
}

// Put publishes a value, as operators do.
func (s *Service) Put(key string, value []byte) (int64, error) {
	s.prepare()
	if key == "" || len(key) > maxKeyBytes {
		return 0, errors.New("key: must have 1 to " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	if len(value) > MaxValueBytes {
		return 0, errors.New("value: longer than 1 MiB")
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
