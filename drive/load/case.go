package load

import (
	"fmt"
	"strings"

	"magnoliastall.example/magno"
)

// The cases. Fractions are parts of a run's duration.
const (
	Steady    = "steady"    // the base load alone
	Burst     = "burst"     // three times the rate for 5 s of every minute
	HotCaller = "hotcaller" // one caller sends ten times its share from 1/3 on
	HotKey    = "hotkey"    // one cold adapter receives 30% of the requests from 1/3 on
	Slow      = "slow"      // steps take 4 times as long on a ninth of the engines, 1/3 to 2/3
	Long      = "long"      // 30% of the engine requests have 4 times the output
	Full      = "full"      // at capacity
	Over15    = "over1.5"   // 1.5 times capacity
	Over3     = "over3"     // 3 times capacity
	Shift     = "shift"     // half of each customer's 30 hottest adapters change at 1/2
	Restart   = "restart"   // a third of the engines restart empty at 1/2
	Store     = "store"     // loads take twice as long and 20% fail, 1/3 to 2/3
)

// Cases lists the cases in the order of the results page.
var Cases = []string{Steady, Burst, HotCaller, HotKey, Slow, Long, Full, Over15, Over3, Shift, Restart, Store}

// Fault is a change of an upstream or of the store during a run.
type Fault struct {
	At magno.Millis
	// Kind is Slow, Restart or Store.
	Kind string
	// Engine is the index of the engine.
	Engine int
	// Slowdown multiplies the time of steps or loads; 1 ends a fault.
	Slowdown float64
	// FailureRate is the share of loads that fail.
	FailureRate float64
}

// CheckCase returns an error that lists the cases if the name is not one of them.
func CheckCase(name string) error {
	for _, s := range Cases {
		if s == name {
			return nil
		}
	}
	return fmt.Errorf("unknown case %q: want one of %s", name, strings.Join(Cases, ", "))
}

// Faults returns the faults of the case in order of time.
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

// CaseLoad returns the load that a case sets, or the given load if it sets none.
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
