package relay

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

const (
	// mixtures is the number of draws, each with mixtureEvents events.
	mixtures      = 32
	mixtureEvents = 6
)

// end is what an upstream does in place of an event.
type end int

const (
	endRefuse end = iota
	endFail
	endBreakOff
	endBreakOffAfterHead
	endCutEvent
	endSilence
	ends
)

// run is what the second and later upstreams of a stream do: they send some events, after a while, and then end. Before
// them they send a comment, or the events that the caller has, if said so.
type run struct {
	delay            time.Duration
	events           int
	end              end
	comment, restart bool
}

// serve sends the events after those that the caller has. It counts them in progress.
func (x run) serve(r *http.Request, c net.Conn, progress *atomic.Int32) bool {
	time.Sleep(x.delay)
	from, _ := strconv.Atoi(r.Header.Get("From"))
	if x.events == 0 {
		switch x.end {
		case endRefuse:
			fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			return true
		case endFail:
			writeResponse(c, r.Header.Get("Id"), http.StatusInternalServerError, "no")
			return true
		case endBreakOff:
			return false
		}
	}
	writeStreamHead(c, r.Header.Get("Id"))
	if x.comment {
		writeChunk(c, comment)
	}
	for n := 1; x.restart && n <= from; n++ {
		writeChunk(c, eventText(n))
	}
	for n := from + 1; n <= min(from+x.events, mixtureEvents); n++ {
		progress.Add(1)
		writeChunk(c, eventText(n))
	}
	if from+x.events >= mixtureEvents {
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	switch x.end {
	case endCutEvent:
		writeChunk(c, "id: ")
	case endSilence:
		return waitUntilClosed(0, r, c)
	}
	return false
}

// Guards against a stream that ends early though its first upstream, which is sound, is only silent for a while, or with
// events that are missing, come twice or in another order, whatever the upstreams do that it is sent to meanwhile. It may
// end early if one of those went on with it and ended; then it must not look complete.
func TestSoundStreamAmongAnyOtherUpstreams(t *testing.T) {
	for seed := range uint64(mixtures) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rnd, before := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
			silentAfter := rnd.IntN(mixtureEvents+1) - 1 // -1: before its header
			length := silence + time.Duration(rnd.IntN(400))*time.Millisecond
			var later []run
			for range 4 {
				later = append(later, run{
					time.Duration(rnd.IntN(3)*150) * time.Millisecond, rnd.IntN(2) * rnd.IntN(mixtureEvents+1), end(rnd.IntN(int(ends))),
					before.IntN(2) == 0, before.IntN(2) == 0,
				})
			}
			var runs, progress atomic.Int32
			play := func(_ int, r *http.Request, c net.Conn) bool {
				n := int(runs.Add(1))
				if n > 1 {
					return later[n-2].serve(r, c, &progress)
				}
				if silentAfter < 0 {
					time.Sleep(length)
				}
				writeStreamHead(c, r.Header.Get("Id"))
				for i := range mixtureEvents {
					if i == silentAfter {
						time.Sleep(length)
					}
					writeChunk(c, eventText(i+1))
				}
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			}
			s := newSilentProxy(t, magno.RouteStream, seed%2 == 0, startUpstream(t, play), startUpstream(t, play), startUpstream(t, play))
			s.changes[0].Plan.Routes[0].Attempts = 2 + int(seed/2%3)
			res, body, err := s.get(t, http.MethodPost, "1")
			body = strings.ReplaceAll(body, comment, "")
			want, got := "", 0
			for got < mixtureEvents && strings.HasPrefix(body, want+eventText(got+1)) {
				got++
				want += eventText(got)
			}
			whole := err == nil && res != nil && res.StatusCode == http.StatusOK && got == mixtureEvents
			switch {
			case body != want:
				t.Errorf("got %q", body)
			case err == nil && res.StatusCode == http.StatusOK && !whole:
				t.Errorf("%d of %d events look like a whole stream", got, mixtureEvents)
			case !whole && progress.Load() == 0:
				t.Errorf("got %v %v and %d of %d events, though the first upstream was only silent after %d for %v; the others: %+v",
					res, err, got, mixtureEvents, silentAfter, length, later)
			}
			ran := 0
			for n := range int(runs.Load()) {
				ran += count(n == 0 || later[n-1].events > 0 || later[n-1].end != endRefuse)
			}
			if ran > s.changes[0].Plan.Routes[0].Attempts {
				t.Errorf("%d upstreams ran it: %+v", ran, later)
			}
		})
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
