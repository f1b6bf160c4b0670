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

// Histograms record microseconds up to 15 minutes.
const (
	maxMicros         = int64(15 * time.Minute / time.Microsecond)
	significantDigits = 2
	// maxNotes limits the notes about single requests.
	maxNotes = 20
)

// Report summarizes a run.
type Report struct {
	// Served, Refused, Lost, Wrong and Skipped count requests. DoubleRuns counts requests
	// that ran more than once although they must not, whether they were served or not.
	Served, Refused, Lost, Wrong, Skipped, DoubleRuns int
	// Retried counts calls made after a broken connection, SentTwice requests that were
	// sent a second time on purpose.
	Retried, SentTwice int
	// BatchEfficiency is the batch efficiency of the engines during the run.
	BatchEfficiency float64
	// DroppedRecords is positive if the record of a stand-in overflowed, so that double
	// runs could not be detected.
	DroppedRecords int64
	// Notes describe single requests that were lost, wrong or run twice.
	Notes []string

	total    int
	outcomes []outcome
	rows     map[string]*row
}

// row holds the figures of one customer.
type row struct {
	served, refused, stalled, stallKnown int
	late                                 int
	kinds                                map[string]int
	firstToken, latency, tokenGap, stall *hdrhistogram.Histogram
}

func newReport() *Report { return &Report{rows: map[string]*row{}} }

func newRow() *row {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(0, maxMicros, significantDigits) }
	return &row{kinds: map[string]int{}, firstToken: h(), latency: h(), tokenGap: h(), stall: h()}
}

// Passed returns whether no request was run twice, lost or answered wrongly, and the
// records of the stand-ins were complete enough to tell.
func (r *Report) Passed() bool {
	return r.DoubleRuns == 0 && r.Lost == 0 && r.Wrong == 0 && r.DroppedRecords == 0
}

func (r *Report) addNote(text string) {
	if len(r.Notes) < maxNotes {
		r.Notes = append(r.Notes, text)
	}
}

func (r *Report) add(o outcome) {
	r.total++
	r.outcomes = append(r.outcomes, o)
	r.Retried += o.retries
	r.SentTwice += len(o.duplicates)
	if o.state == skipped {
		r.Skipped++
		return
	}
	c := r.rows[o.request.Customer]
	if c == nil {
		c = newRow()
		r.rows[o.request.Customer] = c
	}
	c.add(&o)
	r.classify(&o)
}

// classify counts a request by the worst result of its calls.
func (r *Report) classify(o *outcome) {
	for _, c := range append([]result{o.result}, o.duplicates...) {
		if c.state != lost && c.state != wrong {
			continue
		}
		name := map[state]string{lost: "lost", wrong: "wrong"}[c.state]
		r.addNote(fmt.Sprintf("%s: %s by entry %d: %s", name, o.request.Name, o.request.entry, c.reason))
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

func (r *row) add(o *outcome) {
	if o.result.state == refused {
		r.refused++
		r.kinds[string(o.kind)]++
		return
	}
	if o.result.state != served {
		return
	}
	r.served++
	if o.latency > o.request.timeout.Duration() {
		r.late++
	}
	record(r.latency, o.latency)
	if o.request.stream {
		record(r.firstToken, o.firstToken)
		record(r.tokenGap, o.tokenGap)
	}
	if o.stall >= 0 && !o.request.plain {
		r.stallKnown++
		record(r.stall, o.stall.Duration())
		if o.stall > 0 {
			r.stalled++
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicros))
}

// progress returns a line about the requests that have ended so far.
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
		c := r.rows[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name, c.served, c.late, c.refused,
			100*float64(c.stalled)/float64(max(1, c.stallKnown)),
			quantileMillis(c.stall, 50), quantileMillis(c.stall, 95), quantileMillis(c.stall, 99),
			quantileMillis(c.firstToken, 50), quantileMillis(c.firstToken, 95), quantileMillis(c.tokenGap, 95),
			quantileMillis(c.latency, 50), quantileMillis(c.latency, 95), formatKinds(c.kinds))
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

// quantileMillis formats the quantile q in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	const perMilli = float64(magno.Second)
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/perMilli)
}

func formatKinds(counts map[string]int) string {
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
