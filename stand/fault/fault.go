// Package fault injects faults into simulated services. Each service consults its
// Injector wherever a real upstream or platform could fail, so that tests
// activate faults of all services in the same way.
package fault

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/endless"
	"magnoliastall.example/stand/past"
	"magnoliastall.example/stand/serve"
)

// The kinds of fault.
const (
	Outage      = "outage"      // every call is answered with 503
	Stale       = "stale"       // reads return the state of Value ms ago
	Lag         = "lag"         // reports and lists lag by Value ms
	Slow        = "slow"        // work takes Value times as long
	Fail        = "fail"        // a fraction Value of calls fails before running
	Lost        = "lost"        // a fraction Value of calls runs, but its answer is lost
	Crash       = "crash"       // requests that contain Match crash the upstream
	Restart     = "restart"     // once: the state is lost, down for Value ms, then a new boot
	IgnoreFence = "ignorefence" // a lower fencing token is accepted
	Limit       = "limit"       // answers name a limit of Value requests per second
	Leaving     = "leaving"     // answers state that the upstream leaves
	Rest        = "rest"        // every call is turned away with 503 and a Retry-After of Value ms
	Endless     = "endless"     // every call is answered without end, by the row Value of package endless
	Clear       = "clear"       // deactivates all faults
)

// MaxBodyBytes limits the body of POST /fault.
const MaxBodyBytes = 1 << 16

// maxValue limits a Value that is neither a fraction nor a time in the past.
const maxValue = float64(magno.Hour)

// Spec describes one fault to activate. It is the body of POST /fault.
type Spec struct {
	Kind string `json:"kind"`
	// Value is in the unit of the kind; a fraction is 0 to 1.
	Value float64 `json:"value,omitempty"`
	// Match limits the fault to calls whose subject contains it. The subject is
	// the prompt for an engine, the name and body for a plain call, and
	// adapter@version for a load. Empty matches every call.
	Match string `json:"match,omitempty"`
}

// Injector holds the active faults of one service. The zero value has none.
type Injector struct {
	// Kinds has the kinds that the service supports; the value tells whether
	// it supports Match too. It must be set before use. Any other spec is
	// rejected: accepted without effect, it would let a test pass that injects
	// no fault.
	Kinds map[string]bool
	// OnRestart is called for the kind Restart with the time that the service
	// stays down. It may be nil and must be set before use.
	OnRestart func(down magno.Millis)
	// OnChange is called after each spec is applied. It may be nil and must be
	// set before use.
	OnChange func()

	mu sync.Mutex
	// active maps a kind to its spec. It never contains Restart or Clear.
	active map[string]Spec
	// accumulated maps a kind to the sum of the fractions of its calls, less
	// the calls hit. It is below 1 between calls. Counting in this way applies
	// a fraction without randomness.
	accumulated map[string]float64
}

// Parse decodes a spec and validates its kind and range.
func Parse(data []byte) (Spec, error) {
	var spec Spec
	if err := serve.DecodeStrict(data, &spec); err != nil {
		return spec, err
	}
	return spec, spec.validate()
}

func (s Spec) validate() error {
	highest := maxValue
	switch s.Kind {
	case Outage, Slow, Restart, IgnoreFence, Limit, Leaving, Rest, Clear:
	case Stale, Lag:
		highest = float64(past.Retention)
	case Fail, Lost:
		highest = 1
	case Endless:
		highest = float64(endless.Rows - 1)
	case Crash:
		if s.Match == "" {
			return fmt.Errorf("match: required for kind crash")
		}
	default:
		return fmt.Errorf("kind: %q is unknown", s.Kind)
	}
	if s.Value < 0 || s.Value > highest {
		return fmt.Errorf("value: %v is out of range 0 to %v", s.Value, highest)
	}
	return nil
}

// Set applies a spec.
func (s *Injector) Set(spec Spec) error {
	if err := spec.validate(); err != nil {
		return err
	}
	matches, known := s.Kinds[spec.Kind]
	if !known && spec.Kind != Clear {
		return fmt.Errorf("kind: %q is not supported by this service", spec.Kind)
	}
	if spec.Match != "" && !matches {
		return fmt.Errorf("match: not supported for kind %q", spec.Kind)
	}
	s.mu.Lock()
	switch spec.Kind {
	case Restart:
	case Clear:
		s.active, s.accumulated = nil, nil
	default:
		if s.active == nil {
			s.active, s.accumulated = map[string]Spec{}, map[string]float64{}
		}
		s.active[spec.Kind] = spec
	}
	s.mu.Unlock()
	if spec.Kind == Restart && s.OnRestart != nil {
		s.OnRestart(magno.Millis(spec.Value))
	}
	if s.OnChange != nil {
		s.OnChange()
	}
	return nil
}

// Active returns the value of a fault and whether it is active for subject.
func (s *Injector) Active(kind, subject string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec, ok := s.active[kind]
	return spec.Value, ok && strings.Contains(subject, spec.Match)
}

// Hit reports whether this call is among the fraction of calls that a fault
// affects. A fraction of 0.25 affects every fourth call, so that a test gets the
// same counts on each run.
func (s *Injector) Hit(kind, subject string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec, ok := s.active[kind]
	if !ok || !strings.Contains(subject, spec.Match) {
		return false
	}
	const rounding = 1e-9
	s.accumulated[kind] += spec.Value
	if s.accumulated[kind] < 1-rounding {
		return false
	}
	s.accumulated[kind]--
	return true
}

// Delay returns the value of a fault in milliseconds, or fallback when it is not
// active.
func (s *Injector) Delay(kind string, fallback magno.Millis) magno.Millis {
	if value, ok := s.Active(kind, ""); ok {
		return magno.Millis(value)
	}
	return fallback
}

// Slowdown returns the factor by which work on subject takes longer, at least 1.
func (s *Injector) Slowdown(subject string) float64 {
	if value, ok := s.Active(Slow, subject); ok {
		return max(value, 1)
	}
	return 1
}

// WriteNotice writes what the service states about itself into the header of an answer.
func (s *Injector) WriteNotice(h http.Header) {
	if rate, ok := s.Active(Limit, ""); ok {
		h.Set("X-Limit", strconv.FormatFloat(rate, 'f', -1, 64))
	}
	if _, ok := s.Active(Leaving, ""); ok {
		h.Set("X-Leaving", "1")
	}
}

// TurnAway returns the error that turns a call away, nil if the service accepts calls. The header
// is that of the answer.
func (s *Injector) TurnAway(h http.Header) error {
	rest, ok := s.Active(Rest, "")
	if !ok {
		return nil
	}
	h.Set(echo.HeaderRetryAfter, strconv.FormatFloat(rest/float64(magno.Second), 'f', -1, 64))
	return echo.NewHTTPError(http.StatusServiceUnavailable, "turned away")
}

// Register adds POST /fault to the administration API.
func (s *Injector) Register(e *echo.Echo) {
	e.POST("/fault", func(c echo.Context) error {
		data, err := serve.ReadBody(c, MaxBodyBytes)
		if err != nil {
			return err
		}
		spec, err := Parse(data)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if err := s.Set(spec); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.JSON(http.StatusOK, spec)
	})
}
