package tally

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// BoundCustomer marks a line that holds the bound over all engine requests; fields without
// a bound are zero.
const BoundCustomer = "engines"

// Distribution summarizes a histogram, in the unit of the histogram.
type Distribution struct {
	Mean float64 `json:"mean"`
	P50  int64   `json:"p50"`
	P95  int64   `json:"p95"`
	P99  int64   `json:"p99"`
}

// Line is one line of results: one customer, or all, in one run. Times are in milliseconds
// except TokenGap, which is in microseconds.
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
	InTime   int     `json:"good"`
	// Goodput is in tokens per second of requests answered within their deadline.
	Goodput float64        `json:"goodput"`
	Refused map[string]int `json:"refused,omitempty"`
	// StalledShare is the share of admitted engine requests that waited for an adapter.
	StalledShare float64      `json:"stalled"`
	Stall        Distribution `json:"stall"`
	// StallWithRefused counts a request refused for loading as a stall up to its deadline.
	StallWithRefused Distribution `json:"full"`
	FirstToken       Distribution `json:"first"`
	TokenGap         Distribution `json:"gap"`
	Latency          Distribution `json:"end"`
	// OtherLatency is Latency without the requests that the case itself adds.
	OtherLatency Distribution `json:"other"`
	// BatchEfficiency and all fields below are set only on the line over all customers;
	// the line of a bound has BatchEfficiency alone.
	BatchEfficiency float64 `json:"batch,omitempty"`
	// Steps counts the engine steps that had work.
	Steps     int64   `json:"steps,omitempty"`
	JainIndex float64 `json:"jain,omitempty"`
	// WorstCustomer got the smallest part of its fair share, WorstShare.
	WorstCustomer string  `json:"worst,omitempty"`
	WorstShare    float64 `json:"part,omitempty"`
	AdapterLoads  int     `json:"loads,omitempty"`
	FailedLoads   int     `json:"failed,omitempty"`
	InvalidOrders int     `json:"wrong,omitempty"`
}

// InTimeShare returns the share of admitted requests that were answered in time.
func (l *Line) InTimeShare() float64 { return ratio(float64(l.InTime), float64(l.Admitted)) }

// Lines returns the line over all customers, followed by one line per customer. The length
// of the run is given in seconds.
func (t *Tally) Lines(seconds float64) []Line {
	all := line(t.all, seconds)
	all.BatchEfficiency = t.BatchEfficiency()
	all.Steps = t.Steps
	all.JainIndex, all.WorstCustomer, all.WorstShare = t.Fairness()
	all.AdapterLoads, all.FailedLoads, all.InvalidOrders = t.AdapterLoads, t.FailedLoads, t.InvalidOrders
	lines := []Line{all}
	for _, r := range t.Rows() {
		lines = append(lines, line(r, seconds))
	}
	return lines
}

func line(r *Row, seconds float64) Line {
	return Line{
		Customer: r.Customer, Offered: r.Offered, Admitted: r.Admitted, Served: r.Served, InTime: r.InTime,
		Goodput: ratio(float64(r.InTimeTokens), seconds), Refused: r.Refused,
		StalledShare: ratio(float64(r.Stalled), float64(r.Stall.TotalCount())),
		Stall:        spread(r.Stall), StallWithRefused: spread(r.StallWithRefused), FirstToken: spread(r.FirstToken), TokenGap: spread(r.TokenGap),
		Latency: spread(r.Latency), OtherLatency: spread(r.OtherLatency),
	}
}

func spread(h *hdrhistogram.Histogram) Distribution {
	return Distribution{
		Mean: h.Mean(), P50: h.ValueAtQuantile(50),
		P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
	}
}

// Merge adds the counts and histograms of another run.
func (t *Tally) Merge(o *Tally) {
	t.Steps += o.Steps
	t.TokenCapacity += o.TokenCapacity
	t.UsedTokens += o.UsedTokens
	t.AdapterLoads += o.AdapterLoads
	t.FailedLoads += o.FailedLoads
	t.InvalidOrders += o.InvalidOrders
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
	r.InTime += o.InTime
	r.InTimeTokens += o.InTimeTokens
	r.OfferedTokens += o.OfferedTokens
	r.ServedTokens += o.ServedTokens
	r.Stalled += o.Stalled
	for kind, n := range o.Refused {
		r.Refused[kind] += n
	}
	r.Stall.Merge(o.Stall)
	r.StallWithRefused.Merge(o.StallWithRefused)
	r.FirstToken.Merge(o.FirstToken)
	r.Latency.Merge(o.Latency)
	r.TokenGap.Merge(o.TokenGap)
	r.OtherLatency.Merge(o.OtherLatency)
}
