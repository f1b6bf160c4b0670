package load

import (
	"fmt"
	"strings"

	"magnoliastall.example/magno"
)

// The cases. Fractions of a run are given with each.
const (
	Steady    = "steady"    // the load alone
	Burst     = "burst"     // three times the rate for 5 s of every minute
	HotCaller = "hotcaller" // one caller sends ten times its share from 1/3 on
	HotKey    = "hotkey"    // one cold adapter takes 3 requests of 10 from 1/3 on
	Slow      = "slow"      // a ninth of the engines takes 4 times as long a step, 1/3 to 2/3
	Long      = "long"      // 3 engine requests of 10 have 4 times the output
	Full      = "full"      // at capacity
	Over15    = "over1.5"   // 1.5 times capacity
	Over3     = "over3"     // 3 times capacity
	Shift     = "shift"     // half of each customer's 30 hottest adapters change at 1/2
	Restart   = "restart"   // a third of the engines restarts empty at 1/2
	Store     = "store"     // loads take twice as long and 1 of 5 fails, 1/3 to 2/3
)

// Cases lists the cases in the order of the results page.
var Cases = []string{Steady, Burst, HotCaller, HotKey, Slow, Long, Full, Over15, Over3, Shift, Restart, Store}

// Fault is something that changes at an upstream or the store during a run.
type Fault struct {
	At magno.Millis
	// Kind is Slow, Restart or Store.
	Kind string
	// Engine is the number of the engine.
	Engine int
	// Slowdown is how many times as long a step or load takes; 1 ends a fault.
	Slowdown float64
	// FailureRate is the share of loads that fail.
	FailureRate float64
}

// CheckCase returns an error that lists the cases when name is none of them.
func CheckCase(name string) error {
	for _, s := range Cases {
		if s == name {
			return nil
		}
	}
	return fmt.Errorf("no case named %q: one of %s", name, strings.Join(Cases, ", "))
}

// Faults returns what goes wrong in a case, in order of time.
func (l *Workload) Faults() []Fault {
	var faults []Fault
	third, half := l.Duration/3, l.Duration/2
	switch l.Case {
	case Slow:
		for e := range max(1, l.Deployment.Engines/9) {
			faults = append(faults, Fault{At: third, Kind: Slow, Engine: e, Slowdown: 4})
		}
		for e := range max(1, l.Deployment.Engines/9) {
			faults = append(faults, Fault{At: 2 * third, Kind: Slow, Engine: e, Slowdown: 1})
		}
	case Restart:
		for e := range l.Deployment.Engines / 3 {
			faults = append(faults, Fault{At: half, Kind: Restart, Engine: e})
		}
	case Store:
		faults = append(faults,
			Fault{At: third, Kind: Store, Slowdown: 2, FailureRate: 0.2},
			Fault{At: 2 * third, Kind: Store, Slowdown: 1})
	}
	return faults
}

// CaseLoad returns the load that a case sets itself, or load.
func CaseLoad(name string, load float64) float64 {
	switch name {
	case Full:
		return 1
	case Over15:
		return 1.5
	case Over3:
		return 3
	}
	return load
}
