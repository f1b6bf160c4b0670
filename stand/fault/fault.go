// Package fault holds the faults that are switched on at a stand-in. Each
// stand-in asks it at the places where a real upstream or platform would fail;
// without it, every stand-in would grow its own switches and a test could not
// set them the same way.
package fault

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/past"
	"magnoliastall.example/stand/serve"
)

// The kinds of fault.
const (
	Outage      = "outage"      // every call is answered 503
	Stale       = "stale"       // answers tell the state of Value ms ago
	Lag         = "lag"         // reports and lists are Value ms behind
	Slow        = "slow"        // work takes Value times as long
	Fail        = "fail"        // a share Value of calls fails before it runs
	Lost        = "lost"        // a share Value of calls runs and loses its answer
	Crash       = "crash"       // requests that hold Match kill the upstream
	Restart     = "restart"     // once: empty, with a new boot, after Value ms
	IgnoreFence = "ignorefence" // orders with an old fencing number are obeyed
	Clear       = "clear"       // ends every fault
)

// MaxBody is the most bytes of an order.
const MaxBodyBytes = 1 << 16

// maxValue bounds a Value that is neither a share nor a time in the past.
const maxValue = float64(magno.Hour)

// Order switches one fault on.
type Spec struct {
	Kind string `json:"kind"`
	// Value is in the unit of the kind; a share is 0 to 1.
	Value float64 `json:"value,omitempty"`
	// Match limits the fault to calls whose subject holds it: the prompt of
	// an engine, the name and body of a plain call, the adapter@version of a
	// load. Empty means every call.
	Match string `json:"match,omitempty"`
}

// State is the set of faults that are on. Its zero value has none.
type Injector struct {
	// Kinds holds the kinds that the stand-in heeds, true where it heeds
	// Match too. It is set before use. An order for anything else is refused:
	// taken without effect, it would let a test pass that brings about
	// nothing.
	Kinds map[string]bool
	// OnRestart is called for a restart order with the time that the
	// stand-in stays down. It may be nil, and is set before use.
	OnRestart func(down magno.Millis)
	// OnChange is called after each order. It may be nil, and is set before
	// use.
	OnChange func()

	mu sync.Mutex
	// on maps a kind to its order; Restart and Clear are never in it.
	active map[string]Spec
	// owed maps a kind with a share to the part of a call still to fail. It
	// is under 1 between calls, so that a share is kept without chance.
	accumulated map[string]float64
}

// Parse reads an order and checks its kind and range.
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
	case Outage, Slow, Restart, IgnoreFence, Clear:
	case Stale, Lag:
		highest = float64(past.Retention)
	case Fail, Lost:
		highest = 1
	case Crash:
		if s.Match == "" {
			return fmt.Errorf("match: a crash needs one")
		}
	default:
		return fmt.Errorf("kind: %q is unknown", s.Kind)
	}
	if s.Value < 0 || s.Value > highest {
		return fmt.Errorf("value: %v is out of range 0 to %v", s.Value, highest)
	}
	return nil
}

// Set carries out an order.
func (s *Injector) Set(spec Spec) error {
	if err := spec.validate(); err != nil {
		return err
	}
	matches, known := s.Kinds[spec.Kind]
	if !known && spec.Kind != Clear {
		return fmt.Errorf("kind: %q is none of this stand-in", spec.Kind)
	}
	if spec.Match != "" && !matches {
		return fmt.Errorf("match: %q takes none here", spec.Kind)
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

// On returns the value of a fault and whether it is on for subject.
func (s *Injector) Active(kind, subject string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec, ok := s.active[kind]
	return spec.Value, ok && strings.Contains(subject, spec.Match)
}

// Hit tells whether this call is among the share that a fault takes. A share
// of a quarter takes each fourth call, so that a test counts the same each
// time.
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

// Span returns the value of a fault in milliseconds, or usual when it is off.
func (s *Injector) Delay(kind string, fallback magno.Millis) magno.Millis {
	if value, ok := s.Active(kind, ""); ok {
		return magno.Millis(value)
	}
	return fallback
}

// Factor returns how many times as long work on subject takes, at least 1.
func (s *Injector) Slowdown(subject string) float64 {
	if value, ok := s.Active(Slow, subject); ok {
		return max(value, 1)
	}
	return 1
}

// Register adds POST /fault to the operators' routes.
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
