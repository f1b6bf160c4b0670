package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/budget"
	"magnoliastall.example/magno/route"
)

// routedPools choose by the router of plain services.
type routedPools struct {
	*fakePools
	router *route.Router
}

func (p *routedPools) Router(string) magno.Chooser { return p.router }

// routeBy makes a proxy choose by the router of plain services.
func (s *testProxy) routeBy(seed uint64) {
	router := &route.Router{Clock: s.Clock, Seed: seed, DataCentre: "x", Tuning: route.PlainTuning()}
	var targets []magno.Target
	for _, key := range s.pools.replicas {
		targets = append(targets, magno.Target{Name: key, DataCentre: "x"})
	}
	router.Update(targets)
	s.Pools = &routedPools{s.pools, router}
}

// endlessRow is what an upstream sends without end. An answer without any is sound.
type endlessRow struct {
	name, first, rest string
	kind              magno.RouteKind
}

var endlessRows = []endlessRow{
	{"status line", "HTTP/1.1 200 ", "x", magno.RouteIdempotent},
	{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", magno.RouteIdempotent},
	{"body", "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n", "x", magno.RouteIdempotent},
	{"chunks", "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", magno.RouteIdempotent},
	{"other answers", "", "HTTP/1.1 200 x\r\nId: other\r\nContent-Length: 0\r\n\r\n", magno.RouteIdempotent},
	{"event", "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x", magno.RouteStream},
	{"lines of an event", "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n", "data: x\n", magno.RouteStream},
}

// startPool starts a pool of n upstreams, bad of which answer by a row. It returns the largest number of connections
// that the bad ones had at the same time.
func startPool(t testing.TB, n, bad int, row endlessRow) (ups []*fakeUpstream, most *atomic.Int64) {
	var open atomic.Int64
	most = &atomic.Int64{}
	block := []byte(strings.Repeat(row.rest, 16<<10/len(row.rest)+1))
	for i := range n {
		ups = append(ups, startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
			switch {
			case i >= bad && row.kind == magno.RouteStream:
				return streamOneEvent(0, r, c)
			case i >= bad:
				writeResponse(c, r.Header.Get("Id"), http.StatusOK, "yes")
				return true
			}
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			first := row.first
			if strings.Contains(first, "%s") {
				first = fmt.Sprintf(first, r.Header.Get("Id"))
			}
			_, err := io.WriteString(c, first)
			for err == nil {
				_, err = c.Write(block)
			}
			return false
		}))
	}
	return ups, most
}

// load is what callers saw and what the process took meanwhile.
type load struct {
	sent, inTime   atomic.Int64
	peakMB, cpu    float64
	badConnections int64
}

// playPool has callers send requests for a while through an entry with the memory budgets of a machine of 128 MB.
func playPool(t testing.TB, row endlessRow, callers, each int, setup func(*testProxy)) *load {
	const pool, bad, memory = 24, 12, 16 << 20
	ups, most := startPool(t, pool, bad, row)
	s := newTestProxy(t, row.kind, true, ups...)
	setup(s)
	s.Book.Current().Plan.Routes[0].Attempts = 3
	s.pools.retries = callers * each * 3
	s.routeBy(1)
	s.BodyMemory, s.ResponseMemory = &budget.Budget{Size: memory}, &budget.Budget{Size: memory}
	l := &load{}
	ctx, stop := context.WithCancel(t.Context())
	peak := make(chan float64)
	go func() { peak <- peakHeap(ctx) }()
	before := cpuSeconds()
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range each {
				res, body, err := s.get(t, http.MethodGet, fmt.Sprintf("%d-%d", caller, n))
				l.sent.Add(1)
				if err == nil && res.StatusCode == http.StatusOK && (body == "yes" || body == eventText(1)) {
					l.inTime.Add(1)
				}
			}
		})
	}
	wg.Wait()
	l.cpu = cpuSeconds() - before
	stop()
	l.peakMB, l.badConnections = <-peak, most.Load()
	return l
}

// peakHeap returns the largest heap of the process, in megabytes, until ctx ends.
func peakHeap(ctx context.Context) float64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	most := uint64(0)
	for ctx.Err() == nil {
		metrics.Read(sample)
		most = max(most, sample[0].Value.Uint64())
		time.Sleep(time.Millisecond)
	}
	return float64(most) / (1 << 20)
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// Guards against sound requests that aren't served in time since half of a pool answers without end.
func TestSoundRequestsAreServedBesideAnswersWithoutEnd(t *testing.T) {
	for _, row := range endlessRows {
		t.Run(row.name, func(t *testing.T) {
			l := playPool(t, row, 12, 10, (*testProxy).allowDelays)
			if share := float64(l.inTime.Load()) / float64(l.sent.Load()); share < 0.95 {
				t.Errorf("%.3f of %d were served, want 0.95", share, l.sent.Load())
			}
		})
	}
}

// BenchmarkAnswersWithoutEnd measures what half of a pool of 24 takes from an entry by answers without end. Upstreams
// and callers share its process.
func BenchmarkAnswersWithoutEnd(b *testing.B) {
	const softLimit = (128 << 20) * 8 / 10 // that of an entry at 128 MB
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softLimit))
	for _, callers := range []int{24, 240} {
		for _, row := range endlessRows {
			b.Run(fmt.Sprintf("%s, %d callers", row.name, callers), func(b *testing.B) { benchmarkRow(b, row, callers) })
		}
	}
}

func benchmarkRow(b *testing.B, row endlessRow, callers int) {
	const requests = 480
	for range b.N {
		runtime.GC()
		l := playPool(b, row, callers, requests/callers, func(*testProxy) {})
		n := float64(l.sent.Load())
		b.ReportMetric(float64(l.inTime.Load())/n, "served")
		b.ReportMetric(l.peakMB, "peak-MB")
		b.ReportMetric(l.cpu/n*1000, "cpu-ms/request")
		b.ReportMetric(float64(l.badConnections), "bad-conns")
	}
}
