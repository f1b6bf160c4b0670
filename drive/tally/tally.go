// Package tally collects the results that callers received in one run, per customer: served
// requests, refusals by kind, stalls, token latencies and fairness.
package tally

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliastall.example/magno"
)

// Histograms record milliseconds up to an hour with two significant digits; token gaps are
// in microseconds.
const (
	top    = int64(magno.Hour)
	topGap = int64(100 * magno.Second * 1000)
	digits = 2
)

// Answer is the result of one request.
type Answer struct {
	Job magno.Job
	// Refusal is nil for a complete response.
	Refusal *magno.Refusal
	// Admitted is true if an upstream queued the request.
	Admitted bool
	// Stall is how long the request waited for its adapter after admission.
	Stall magno.Millis
	// FirstToken and Latency are the times to the first token and to the complete response,
	// measured by the caller from when it sent the request. TokenGap is the mean time
	// between tokens in microseconds.
	FirstToken, Latency magno.Millis
	TokenGap            int64
	// Engine is true if a model engine ran the request.
	Engine bool
	// Hot marks requests that a case adds to the base load; they are left out of
	// OtherLatency.
	Hot bool
}

// Row sums up the results of one customer, or of all customers.
type Row struct {
	Customer string `json:"customer"`
	// Offered counts all requests, Admitted those queued by an upstream, Served complete
	// responses, and InTime those within their deadline.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	Served   int `json:"served"`
	InTime   int `json:"good"`
	// InTimeTokens counts the prompt and output tokens of responses within their deadline.
	InTimeTokens int `json:"goodtokens"`
	// OfferedTokens counts the tokens of all requests, ServedTokens those of complete
	// responses.
	OfferedTokens int `json:"work"`
	ServedTokens  int `json:"tokens"`
	// Stalled counts the admitted requests that waited for an adapter.
	Stalled int            `json:"stalled"`
	Refused map[string]int `json:"refused"`

	// Stall holds all admitted engine requests, including those refused later.
	Stall *hdrhistogram.Histogram `json:"-"`
	// StallWithRefused also holds requests refused because their adapter couldn't be
	// loaded, each with the whole time to its deadline. Otherwise a policy could shorten
	// its stalls by refusing the requests that would stall.
	StallWithRefused *hdrhistogram.Histogram `json:"-"`
	FirstToken       *hdrhistogram.Histogram `json:"-"`
	Latency          *hdrhistogram.Histogram `json:"-"`
	TokenGap         *hdrhistogram.Histogram `json:"-"`
	// OtherLatency is the latency of requests that are not Hot.
	OtherLatency *hdrhistogram.Histogram `json:"-"`
}

// Tally holds the results of one run. Add must not be called concurrently.
type Tally struct {
	// Weights maps a customer to its weight.
	Weights map[string]float64
	// Steps, TokenCapacity and UsedTokens are sums over the steps of all model engines.
	Steps, TokenCapacity, UsedTokens int64
	// AdapterLoads counts completed adapter loads, FailedLoads failed and refused ones.
	AdapterLoads, FailedLoads int
	// InvalidOrders counts orders that an engine must never receive.
	InvalidOrders int

	rows map[string]*Row
	all  *Row
}

// New returns an empty tally for the customers.
func New(customers []magno.Customer) *Tally {
	t := &Tally{Weights: map[string]float64{}, rows: map[string]*Row{}, all: newRow("all")}
	for _, b := range customers {
		t.Weights[b.Name] = b.Weight
		t.rows[b.Name] = newRow(b.Name)
	}
	return t
}

func newRow(name string) *Row {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(0, top, digits) }
	return &Row{
		Customer: name, Refused: map[string]int{},
		Stall: h(), StallWithRefused: h(), FirstToken: h(), Latency: h(), OtherLatency: h(),
		TokenGap: hdrhistogram.New(0, topGap, digits),
	}
}

// Add counts one result.
func (t *Tally) Add(a Answer) {
	row := t.rows[a.Job.Customer]
	if row == nil {
		row = newRow(a.Job.Customer)
		t.rows[a.Job.Customer] = row
	}
	row.add(a)
	t.all.add(a)
}

func (r *Row) add(a Answer) {
	r.Offered++
	r.OfferedTokens += a.Job.Prompt + a.Job.Output
	refusedLoad := a.Refusal != nil && a.Refusal.Kind == magno.KindLoading
	if a.Engine && refusedLoad {
		record(r.StallWithRefused, int64(a.Job.Deadline-a.Job.Arrived))
	} else if a.Engine && a.Admitted {
		record(r.StallWithRefused, int64(a.Stall))
	}
	if a.Admitted {
		r.Admitted++
		if a.Engine {
			record(r.Stall, int64(a.Stall))
			if a.Stall > 0 {
				r.Stalled++
			}
		}
	}
	if a.Refusal != nil {
		r.Refused[string(a.Refusal.Kind)]++
		return
	}
	r.Served++
	r.ServedTokens += a.Job.Prompt + a.Job.Output
	if a.Job.Arrived+a.Latency <= a.Job.Deadline {
		r.InTime++
		r.InTimeTokens += a.Job.Prompt + a.Job.Output
	}
	record(r.Latency, int64(a.Latency))
	if !a.Hot {
		record(r.OtherLatency, int64(a.Latency))
	}
	if a.Engine {
		record(r.FirstToken, int64(a.FirstToken))
		if a.TokenGap > 0 {
			record(r.TokenGap, a.TokenGap)
		}
	}
}

// record clamps values to the range of the histogram.
func record(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(min(max(v, 0), h.HighestTrackableValue()))
}

// All returns the row that sums up all customers.
func (t *Tally) All() *Row { return t.all }

// Rows returns one row per customer, sorted by name.
func (t *Tally) Rows() []*Row {
	rows := make([]*Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Customer < rows[j].Customer })
	return rows
}

// BatchEfficiency returns the tokens processed relative to the capacity of all steps that
// had work.
func (t *Tally) BatchEfficiency() float64 {
	return ratio(float64(t.UsedTokens), float64(t.TokenCapacity))
}

// Fairness returns Jain's index, the worst customer and its part of its fair share. Each
// customer counts with its tokens served in time relative to its max-min fair share of all
// such tokens, so that a customer with little demand doesn't appear to be treated badly.
func (t *Tally) Fairness() (jain float64, worst string, part float64) {
	fair := t.fairParts()
	var sum, squares float64
	n := 0
	part = math.Inf(1)
	for _, r := range t.Rows() {
		if fair[r.Customer] <= 0 {
			continue
		}
		x := float64(r.InTimeTokens) / fair[r.Customer]
		n++
		sum += x
		squares += x * x
		if x < part {
			part, worst = x, r.Customer
		}
	}
	if n == 0 || squares == 0 {
		return 0, worst, 0
	}
	return sum * sum / (float64(n) * squares), worst, part
}

// fairParts distributes the tokens served in time by weight, but gives no customer more
// than it asked for.
func (t *Tally) fairParts() map[string]float64 {
	fair := map[string]float64{}
	left := float64(t.all.InTimeTokens)
	open := t.Rows()
	for len(open) > 0 && left > 0 {
		weights := 0.0
		for _, r := range open {
			weights += t.weight(r.Customer)
		}
		var next []*Row
		given := 0.0
		for _, r := range open {
			if float64(r.OfferedTokens) <= left*t.weight(r.Customer)/weights {
				fair[r.Customer] = float64(r.OfferedTokens)
				given += float64(r.OfferedTokens)
			} else {
				next = append(next, r)
			}
		}
		if len(next) == len(open) {
			for _, r := range open {
				fair[r.Customer] = left * t.weight(r.Customer) / weights
			}
			return fair
		}
		left -= given
		open = next
	}
	return fair
}

func (t *Tally) weight(customer string) float64 {
	if w := t.Weights[customer]; w > 0 {
		return w
	}
	return 1
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
