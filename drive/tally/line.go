package tally

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounded stands for a customer on a line that bounds all engine requests; what
// it doesn't bound is zero.
const Bounded = "engines"

// Spread describes a histogram, in its unit.
type Spread struct {
	Mean float64 `json:"mean"`
	P50  int64   `json:"p50"`
	P95  int64   `json:"p95"`
	P99  int64   `json:"p99"`
}

// Line is one line of results: a customer, or all, in one run. Times are in
// milliseconds but for Gap, which is in microseconds.
type Line struct {
	Deploy   string  `json:"deploy"`
	Case     string  `json:"case"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Customer string  `json:"customer"`
	Offered  int     `json:"offered"`
	Admitted int     `json:"admitted"`
	Served   int     `json:"served"`
	Good     int     `json:"good"`
	// Goodput is tokens a second of answers within their deadline.
	Goodput float64        `json:"goodput"`
	Refused map[string]int `json:"refused,omitempty"`
	// Stalled is the share of admitted engine requests that waited for an
	// adapter.
	Stalled float64 `json:"stalled"`
	Stall   Spread  `json:"stall"`
	// Full counts a request refused for loading as a stall to its deadline.
	Full  Spread `json:"full"`
	First Spread `json:"first"`
	Gap   Spread `json:"gap"`
	End   Spread `json:"end"`
	// Other is End without the hot work of a case.
	Other Spread `json:"other"`
	// Batch is the batch efficiency; it and the rest stand on the line of all.
	Batch float64 `json:"batch,omitempty"`
	// Steps counts the engines' steps that had work.
	Steps int64   `json:"steps,omitempty"`
	Jain  float64 `json:"jain,omitempty"`
	// Worst is the customer that got the smallest Part of its fair share.
	Worst  string  `json:"worst,omitempty"`
	Part   float64 `json:"part,omitempty"`
	Loads  int     `json:"loads,omitempty"`
	Failed int     `json:"failed,omitempty"`
	Wrong  int     `json:"wrong,omitempty"`
}

// Kept is the share of admitted requests that were answered in time.
func (l *Line) Kept() float64 { return ratio(float64(l.Good), float64(l.Admitted)) }

// Lines returns the line of all and one a customer; seconds is the length of
// the run.
func (t *Tally) Lines(seconds float64) []Line {
	all := line(t.all, seconds)
	all.Batch = t.Efficiency()
	all.Steps = t.Steps
	all.Jain, all.Worst, all.Part = t.Fairness()
	all.Loads, all.Failed, all.Wrong = t.Loads, t.Failed, t.Wrong
	lines := []Line{all}
	for _, r := range t.Rows() {
		lines = append(lines, line(r, seconds))
	}
	return lines
}

func line(r *Row, seconds float64) Line {
	return Line{
		Customer: r.Customer, Offered: r.Offered, Admitted: r.Admitted, Served: r.Served, Good: r.Good,
		Goodput: ratio(float64(r.GoodTokens), seconds), Refused: r.Refused,
		Stalled: ratio(float64(r.Stalled), float64(r.Stall.TotalCount())),
		Stall:   spread(r.Stall), Full: spread(r.Full), First: spread(r.First), Gap: spread(r.Gap),
		End: spread(r.End), Other: spread(r.Other),
	}
}

func spread(h *hdrhistogram.Histogram) Spread {
	return Spread{
		Mean: h.Mean(), P50: h.ValueAtQuantile(50),
		P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
	}
}

// Merge adds another run's counts and histograms.
func (t *Tally) Merge(o *Tally) {
	t.Steps += o.Steps
	t.Capacity += o.Capacity
	t.Used += o.Used
	t.Loads += o.Loads
	t.Failed += o.Failed
	t.Wrong += o.Wrong
	t.all.merge(o.all)
	for name, row := range o.rows {
		if t.rows[name] == nil {
			t.rows[name] = newRow(name)
		}
		t.rows[name].merge(row)
	}
}

func (r *Row) merge(o *Row) {
	r.Offered += o.Offered
	r.Admitted += o.Admitted
	r.Served += o.Served
	r.Good += o.Good
	r.GoodTokens += o.GoodTokens
	r.Work += o.Work
	r.Tokens += o.Tokens
	r.Stalled += o.Stalled
	for kind, n := range o.Refused {
		r.Refused[kind] += n
	}
	r.Stall.Merge(o.Stall)
	r.Full.Merge(o.Full)
	r.First.Merge(o.First)
	r.End.Merge(o.End)
	r.Gap.Merge(o.Gap)
	r.Other.Merge(o.Other)
}
