// Package tally counts what callers received in one run, by customer: served,
// refused by kind, stalls, token times, fairness.
package tally

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliastall.example/magno"
)

// Histograms hold milliseconds up to an hour with two significant digits;
// times between tokens are in microseconds.
const (
	top    = int64(magno.Hour)
	topGap = int64(100 * magno.Second * 1000)
	digits = 2
)

// Answer is what became of one request.
type Answer struct {
	Job magno.Job
	// Refusal is nil for a whole answer.
	Refusal *magno.Refusal
	// Admitted is true when an upstream took it into its queue.
	Admitted bool
	// Stall is how long it waited for its adapter while admitted.
	Stall magno.Millis
	// FirstToken is the time to the first token, Latency to the answer, both at the
	// caller and from when it was sent; Gap the mean time between tokens in
	// microseconds.
	FirstToken, Latency magno.Millis
	TokenGap            int64
	// Engine is true when a model engine ran it.
	Engine bool
	// Hot work counts for its customer but not among the others.
	Hot bool
}

// Row sums up the answers of one customer, or of all.
type Row struct {
	Customer string `json:"customer"`
	// Offered counts requests, Admitted those taken into a queue, Served
	// whole answers, Good those within their deadline.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	Served   int `json:"served"`
	InTime   int `json:"good"`
	// InTimeTokens are the tokens, read and made, of answers within their deadline.
	InTimeTokens int `json:"goodtokens"`
	// OfferedTokens is the tokens offered, Tokens those of all whole answers.
	OfferedTokens int `json:"work"`
	ServedTokens  int `json:"tokens"`
	// Stalled counts admitted requests that waited for an adapter.
	Stalled int            `json:"stalled"`
	Refused map[string]int `json:"refused"`

	// Stall holds admitted engine requests, refused later or not.
	Stall *hdrhistogram.Histogram `json:"-"`
	// StallWithRefused also holds those refused because their adapter couldn't be loaded,
	// each with the whole time to its deadline: else refusing what would
	// stall would look like serving it at once.
	StallWithRefused *hdrhistogram.Histogram `json:"-"`
	FirstToken       *hdrhistogram.Histogram `json:"-"`
	Latency          *hdrhistogram.Histogram `json:"-"`
	TokenGap         *hdrhistogram.Histogram `json:"-"`
	// OtherLatency is the time to the answer without the case's own hot work.
	OtherLatency *hdrhistogram.Histogram `json:"-"`
}

// Tally is the result of one run. Add is called by one goroutine.
type Tally struct {
	// Weights maps a customer to its share.
	Weights map[string]float64
	// Steps, TokenCapacity and UsedTokens sum the model engines' steps and tokens.
	Steps, TokenCapacity, UsedTokens int64
	// AdapterLoads and FailedLoads count adapter loads.
	AdapterLoads, FailedLoads int
	// InvalidOrders counts orders that no engine may be given.
	InvalidOrders int

	rows map[string]*Row
	all  *Row
}

// New returns an empty tally for those customers.
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

// Add counts one answer.
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

// record keeps values beyond the histogram's range at its end.
func record(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(min(max(v, 0), h.HighestTrackableValue()))
}

// All returns the row over all customers.
func (t *Tally) All() *Row { return t.all }

// Rows returns a row a customer, in order of name.
func (t *Tally) Rows() []*Row {
	rows := make([]*Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Customer < rows[j].Customer })
	return rows
}

// BatchEfficiency is tokens over the capacity of all steps that had work.
func (t *Tally) BatchEfficiency() float64 {
	return ratio(float64(t.UsedTokens), float64(t.TokenCapacity))
}

// Fairness returns Jain's index and the worst customer. Each customer counts
// with the tokens it got within deadlines over its max-min fair part of all
// such tokens, so one that asked for little isn't taken as treated badly.
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

// fairParts shares the tokens that were served by weight, never more to a
// customer than it asked for.
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
