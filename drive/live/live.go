// Package live sends an open loop of requests to running entries over HTTP and
// judges what comes back: each answer against what the stand-in must have
// made, and each request against the stand-ins' own record of what they ran.
//
//	pacer --request--> caller (one goroutine a request) --outcome--> collector
//	                   sends, resends, checks the answer               |
//	stand-ins' /counts ------------------------------------> judge --> Report
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

// Defaults of an experiment.
const (
	DefaultRate         = 40.0
	DefaultZipfExponent = 1.5
	DefaultResendShare  = 0.3
	DefaultClientDelay  = 1 * magno.Millis(1)
)

const (
	// openMost bounds requests under way; one over it is counted as skipped,
	// for this machine and not the system would be what is measured.
	openMost = 4096
	// ring is the room between callers and the collector.
	ring = 256
	// grace is how long after its deadline an answer is waited for.
	grace = 20 * time.Second
	// show is how often progress is told.
	show = time.Second
)

// LoadTest is one experiment. Its fields are set before Run; a zero figure takes
// its default.
type LoadTest struct {
	// Entries are the base URLs of callers' ports, Stands those of engines
	// and plain services with /counts.
	Entries   []string
	Upstreams []Upstream
	// Config holds the profiles that are asked for.
	Config magno.Config
	Seed   uint64
	// Rate is requests a second.
	Rate float64
	// Duration is the length of the run without its end.
	Duration     time.Duration
	ZipfExponent float64
	// ResendShare is the share of requests with a key that are sent a second time
	// through another entry, as a caller does that lost its first answer.
	ResendShare float64
	// ClientDelay is the one-way time between caller and entry.
	ClientDelay magno.Millis
	// Out takes a line of progress each second. It may be nil.
	Out io.Writer

	client *http.Client
	rand   *rand.Rand
	kinds  []kind
	// mark tells this run's prompts from those of earlier ones.
	mark string
}

// Upstream is one stand-in upstream.
type Upstream struct {
	Name, URL string
	Plain     bool
}

// Run sends for the time that was asked for, waits for the last answer and
// judges. An error means that the experiment itself could not be done.
func (l *LoadTest) Run(ctx context.Context) (*Report, error) {
	if err := l.prepare(); err != nil {
		return nil, err
	}
	before, err := l.counts(ctx)
	if err != nil {
		return nil, err
	}
	outcomes := make(chan outcome, ring)
	sent := make(chan int, 1)
	go l.pace(ctx, outcomes, sent)
	report := l.collect(outcomes, sent)
	after, err := l.counts(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	report.judge(before, after)
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
		return fmt.Errorf("no entry to send to")
	}
	l.rand = rand.New(rand.NewPCG(l.Seed, 0x11fe)) //nolint:gosec // an experiment repeats
	l.mark = fmt.Sprintf("%x", time.Now().UnixNano())
	l.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: openMost, MaxConnsPerHost: 0, IdleConnTimeout: time.Minute,
	}}
	l.kinds = l.profiles()
	if len(l.kinds) == 0 {
		return fmt.Errorf("the configuration has no profile in force")
	}
	return nil
}

// pace starts requests at their times, whatever became of earlier ones.
func (l *LoadTest) pace(ctx context.Context, outcomes chan<- outcome, sent chan<- int) {
	slots := make(chan struct{}, openMost)
	begun := time.Now()
	n := 0
	for at := time.Duration(0); ; {
		at += time.Duration(l.rand.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Duration || !sleep(ctx, time.Until(begun.Add(at))) {
			break
		}
		r := l.next(n)
		n++
		select {
		case slots <- struct{}{}:
			go func() {
				outcomes <- l.ask(ctx, r)
				<-slots
			}()
		default:
			outcomes <- outcome{request: r, state: skipped}
		}
	}
	sent <- n
}

// collect takes one outcome a request and tells progress until all are there.
func (l *LoadTest) collect(outcomes <-chan outcome, sent <-chan int) *Report {
	report := newReport()
	ticker := time.NewTicker(show)
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

// sleep waits; false means that ctx ended first.
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
