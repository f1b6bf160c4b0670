package live

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliastall.example/magno"
)

// Histograms hold microseconds up to a quarter of an hour.
const (
	top    = int64(15 * time.Minute / time.Microsecond)
	digits = 2
	// notesMost bounds what is told of single requests.
	notesMost = 20
)

// Report sums a run up.
type Report struct {
	// Served, Refused, Lost, Wrong and Skipped count requests; DoubleRuns counts
	// those that ran more than once and may not, also when they were served.
	Served, Refused, Lost, Wrong, Skipped, DoubleRuns int
	// Retried counts calls after a broken connection, SentTwice requests that
	// were sent a second time on purpose.
	Retried, SentTwice int
	// BatchEfficiency is the engines' batch efficiency during the run.
	BatchEfficiency float64
	// DroppedRecords is over zero when a stand-in's record was too small to judge
	// by.
	DroppedRecords int64
	// Notes tell of single requests that were lost, wrong or doubled.
	Notes []string

	total    int
	outcomes []outcome
	rows     map[string]*row
}

// row holds one customer.
type row struct {
	served, refused, stalled, known int
	late                            int
	kinds                           map[string]int
	first, end, gap, stall          *hdrhistogram.Histogram
}

func newReport() *Report { return &Report{rows: map[string]*row{}} }

func newRow() *row {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(0, top, digits) }
	return &row{kinds: map[string]int{}, first: h(), end: h(), gap: h(), stall: h()}
}

// Passed is true when nothing was doubled, lost or wrong, and that could be
// judged.
func (r *Report) Passed() bool {
	return r.DoubleRuns == 0 && r.Lost == 0 && r.Wrong == 0 && r.DroppedRecords == 0
}

func (r *Report) note(text string) {
	if len(r.Notes) < notesMost {
		r.Notes = append(r.Notes, text)
	}
}

func (r *Report) add(o outcome) {
	r.total++
	r.outcomes = append(r.outcomes, o)
	r.Retried += o.resent
	r.SentTwice += len(o.more)
	if o.state == skipped {
		r.Skipped++
		return
	}
	b := r.rows[o.request.Customer]
	if b == nil {
		b = newRow()
		r.rows[o.request.Customer] = b
	}
	b.add(&o)
	r.count(&o)
}

// count takes the worst of a request's calls.
func (r *Report) count(o *outcome) {
	for _, c := range append([]result{o.result}, o.more...) {
		if c.state != lost && c.state != wrong {
			continue
		}
		name := map[state]string{lost: "lost", wrong: "wrong"}[c.state]
		r.note(fmt.Sprintf("%s: %s by entry %d: %s", name, o.request.Name, o.request.entry, c.why))
		o.state = max(o.state, c.state)
	}
	r.outcomes[len(r.outcomes)-1].state = o.state
	switch o.state {
	case served:
		r.Served++
	case refused:
		r.Refused++
	case lost:
		r.Lost++
	case wrong:
		r.Wrong++
	}
}

func (b *row) add(o *outcome) {
	if o.result.state == refused {
		b.refused++
		b.kinds[string(o.kind)]++
		return
	}
	if o.result.state != served {
		return
	}
	b.served++
	if o.end > o.request.left.Span() {
		b.late++
	}
	record(b.end, o.end)
	if o.request.stream {
		record(b.first, o.first)
		record(b.gap, o.gap)
	}
	if o.stall >= 0 && !o.request.plain {
		b.known++
		record(b.stall, o.stall.Span())
		if o.stall > 0 {
			b.stalled++
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), top))
}

// progress is one line of what has ended so far.
func (r *Report) progress() string {
	return fmt.Sprintf("served %d  refused %d  lost %d  wrong %d  resent %d  sent twice %d",
		r.Served, r.Refused, r.Lost, r.Wrong, r.Retried, r.SentTwice)
}

// Print writes the final table.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "customer\tserved\tlate\trefused\tstalled%\tstall p50\tp95\tp99\tfirst p50\tp95\tgap p95\tanswer p50\tp95\tby kind\t")
	names := make([]string, 0, len(r.rows))
	for name := range r.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		b := r.rows[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name, b.served, b.late, b.refused,
			100*float64(b.stalled)/float64(max(1, b.known)), ms(b.stall, 50), ms(b.stall, 95), ms(b.stall, 99),
			ms(b.first, 50), ms(b.first, 95), ms(b.gap, 95), ms(b.end, 50), ms(b.end, 95), kinds(b.kinds))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "batch efficiency %.3f; %d requests, %d sent twice, %d resent after a broken connection, %d skipped\n",
		r.BatchEfficiency, r.total, r.SentTwice, r.Retried, r.Skipped)
	fmt.Fprintf(w, "served %d  refused %d  doubled %d  lost %d  wrong %d\n", r.Served, r.Refused, r.DoubleRuns, r.Lost, r.Wrong)
	if r.DroppedRecords > 0 {
		fmt.Fprintf(w, "a stand-in dropped %d records: doubles can't be judged\n", r.DroppedRecords)
	}
	for _, note := range r.Notes {
		fmt.Fprintln(w, note)
	}
	return nil
}

// ms is a quantile in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	const perMilli = float64(magno.Second)
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/perMilli)
}

func kinds(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for k := range counts {
		names = append(names, k)
	}
	sort.Strings(names)
	for i, k := range names {
		names[i] = fmt.Sprintf("%s=%d", k, counts[k])
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}
