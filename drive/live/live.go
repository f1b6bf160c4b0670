// Package live sends an open loop of requests to running entries over HTTP and verifies the
// results: each response against the one that the stand-in must have produced, and each
// request against the stand-ins' own execution records.
//
//	pacer --request--> caller (one goroutine each) --outcome--> collector
//	                   sends, retries, checks the response          |
//	stand-ins' /counts -------------------------------> verify --> Report
package live

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"magnoliastall.example/magno"
)

// Defaults of the fields of LoadTest.
const (
	DefaultRate         = 40.0
	DefaultZipfExponent = 1.5
	DefaultResendShare  = 0.3
	DefaultClientDelay  = 1 * magno.Millis(1)
)

const (
	// maxInFlight limits the requests in flight. Requests over it are counted as skipped,
	// because beyond it the load generator's machine would be measured instead of the
	// system.
	maxInFlight = 4096
	// outcomeBuffer is the capacity of the channel from callers to the collector.
	outcomeBuffer = 256
	// answerGrace is how long after its deadline a response is awaited.
	answerGrace = 20 * time.Second
	// progressInterval is the interval of progress lines.
	progressInterval = time.Second
)

// LoadTest is a load test of running processes. Its fields are set before Run; a Rate or
// ZipfExponent of zero takes its default.
type LoadTest struct {
	// Entries are the base URLs of the entries' caller ports. Upstreams are the stand-ins
	// for engines and plain services, which serve /counts.
	Entries   []string
	Upstreams []Upstream
	// Config holds the profiles to request.
	Config magno.Config
	Seed   uint64
	// Rate is in requests per second.
	Rate float64
	// Duration is how long requests are sent; the wait for the last responses comes on top.
	Duration     time.Duration
	ZipfExponent float64
	// ResendShare is the share of keyed requests that are sent a second time through
	// another entry, like a caller that lost the first response.
	ResendShare float64
	// ClientDelay is the one-way delay between caller and entry.
	ClientDelay magno.Millis
	// Out receives a progress line each second. It may be nil.
	Out io.Writer

	client  *http.Client
	rand    *rand.Rand
	targets []target
	// runID distinguishes the prompts of this run from those of earlier runs.
	runID string
}

// Upstream is a stand-in for an engine or a plain service.
type Upstream struct {
	Name, URL string
	Plain     bool
}

// Run sends requests for Duration, waits for the last response and verifies the results. It
// returns an error only if the test itself could not be carried out.
func (l *LoadTest) Run(ctx context.Context) (*Report, error) {
	if err := l.prepare(); err != nil {
		return nil, err
	}
	before, err := l.readRunLog(ctx)
	if err != nil {
		return nil, err
	}
	outcomes := make(chan outcome, outcomeBuffer)
	sent := make(chan int, 1)
	go l.pace(ctx, outcomes, sent)
	report := l.collect(outcomes, sent)
	after, err := l.readRunLog(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	report.verify(before, after)
	return report, nil
}

func (l *LoadTest) prepare() error {
	if l.Rate == 0 {
		l.Rate = DefaultRate
	}
	if l.ZipfExponent == 0 {
		l.ZipfExponent = DefaultZipfExponent
	}
	if len(l.Entries) == 0 {
		return fmt.Errorf("the layout has no entry")
	}
	l.rand = rand.New(rand.NewPCG(l.Seed, 0x11fe)) //nolint:gosec // a seed must reproduce the run
	l.runID = fmt.Sprintf("%x", time.Now().UnixNano())
	l.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxInFlight, MaxConnsPerHost: 0, IdleConnTimeout: time.Minute,
	}}
	l.targets = l.listTargets()
	if len(l.targets) == 0 {
		return fmt.Errorf("the configuration has no active profile")
	}
	return nil
}

// pace starts requests on schedule, independently of earlier responses.
func (l *LoadTest) pace(ctx context.Context, outcomes chan<- outcome, sent chan<- int) {
	slots := make(chan struct{}, maxInFlight)
	begun := time.Now()
	n := 0
	for at := time.Duration(0); ; {
		at += time.Duration(l.rand.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Duration || !sleep(ctx, time.Until(begun.Add(at))) {
			break
		}
		r := l.nextRequest(n)
		n++
		select {
		case slots <- struct{}{}:
			go func() {
				outcomes <- l.send(ctx, r)
				<-slots
			}()
		default:
			outcomes <- outcome{request: r, state: skipped}
		}
	}
	sent <- n
}

// collect receives one outcome per request and reports progress until all have arrived.
func (l *LoadTest) collect(outcomes <-chan outcome, sent <-chan int) *Report {
	report := newReport()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	begun := time.Now()
	total := -1
	for total < 0 || report.total < total {
		select {
		case o := <-outcomes:
			report.add(o)
		case total = <-sent:
		case <-ticker.C:
			if l.Out != nil {
				fmt.Fprintf(l.Out, "%3.0f s  %s\n", time.Since(begun).Seconds(), report.progress())
			}
		}
	}
	return report
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
