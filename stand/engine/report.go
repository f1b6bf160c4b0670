package engine

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

// Report is the state that an engine reports, with a lag of ReportLag.
type Report struct {
	Boot   int64        `json:"boot"`
	Build  string       `json:"build,omitempty"`
	Slots  int          `json:"slots"`
	Batch  int          `json:"batch"`
	Tokens int          `json:"tokens"`
	Step   magno.Millis `json:"step"`
	// Load is the duration of a load at full speed.
	Load    magno.Millis `json:"load"`
	Loaded  []string     `json:"loaded"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	// Steps, Capacity and Used are totals since boot: steps, their token budget,
	// and tokens processed.
	Steps    int64 `json:"steps"`
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"used"`
}

// Counts is the engine's own record over all boots. Tests compare it with what
// agents, entries and callers report.
type Counts struct {
	Runs     []Run `json:"runs"`
	Steps    int64 `json:"steps"`
	Capacity int64 `json:"capacity"`
	Used     int64 `json:"used"`
	// Refused counts requests that never ran.
	Refused int64 `json:"refused"`
	// Dropped counts runs missing from Runs because the record was full.
	Dropped int64 `json:"dropped"`
}

// reportsPerLag is how many reports are recorded per lag. It bounds the
// history at high step rates.
const reportsPerLag = 8

// recordReport records the current state for later reports. The caller holds mu.
func (e *Engine) recordReport() {
	now := e.Clock.Now()
	last, ok := e.reports.LastTime()
	lag := e.faults.Delay(fault.Lag, e.ReportLag)
	if ok && now-last < lag/reportsPerLag {
		e.reports.Replace(e.currentReport())
		return
	}
	e.reports.Add(now, e.currentReport())
}

func (e *Engine) currentReport() Report {
	return Report{
		Boot: e.boot, Build: e.Build, Slots: e.AdapterSlots, Batch: e.BatchSize, Tokens: e.TokenBudget, Step: e.StepTime, Load: e.LoadTime,
		Loaded: e.loadedNames, Running: len(e.running), Waiting: len(e.waiting),
		Steps: e.stepsSinceBoot.steps, Capacity: e.stepsSinceBoot.capacity, Used: e.stepsSinceBoot.used,
	}
}

// laggedReport returns the state as of the lag ago. Shortly after a boot it
// returns the first state of that boot, because a new process does not know the
// state of the one before.
func (e *Engine) laggedReport() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	lag := e.faults.Delay(fault.Lag, e.ReportLag)
	if r, ok := e.reports.At(now - lag); ok {
		return r
	}
	return e.reports.Oldest()
}

// Counts returns the record of what ran.
func (e *Engine) Counts() Counts {
	e.prepare()
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Counts{
		Runs: make([]Run, 0, len(e.runs)), Refused: e.refused, Dropped: e.dropped,
		Steps: e.totalSteps.steps, Capacity: e.totalSteps.capacity, Used: e.totalSteps.used,
	}
	for _, r := range e.runs {
		c.Runs = append(c.Runs, *r)
	}
	return c
}
