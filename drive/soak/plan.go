package soak

import (
	"time"

	"magnoliastall.example/platform/fake"
)

// timeLimit is the time limit of all routes from a time on.
type timeLimit struct {
	at    time.Time
	limit time.Duration
}

// setPlan writes a configuration with further routes, which no caller uses, and another time limit.
func (f *fleet) setPlan(routes int, timeout time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.furtherRoutes = routes
	f.limits = append(f.limits, timeLimit{time.Now(), timeout})
	f.putPlan()
}

// leastTimeout returns the least time limit of routes that may be in force in a period.
func (f *fleet) leastTimeout(from, to time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := usualTimeout
	for i, l := range f.limits {
		replaced := i+1 < len(f.limits) && f.limits[i+1].at.Add(planWindow).Before(from)
		if l.at.Before(to) && !replaced {
			least = min(least, l.limit)
		}
	}
	return least
}

// newestPlan returns the newest configuration. The caller holds mu.
func (f *fleet) newestPlan() map[string]any {
	plan := fake.Plan(f.version, adapterSlots, f.keys[len(f.keys)-1])
	routes := plan["routes"].([]any)
	if n := len(f.limits); n > 0 {
		for _, r := range routes {
			r.(map[string]any)["timeout_ms"] = f.limits[n-1].limit.Milliseconds()
		}
	}
	fake.AddRoutes(plan, f.furtherRoutes)
	return plan
}
