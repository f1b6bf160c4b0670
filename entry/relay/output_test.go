package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// lastEnd returns the end that was reported last.
func (p *fakePermits) lastEnd() (call gate.EndCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.ends); n > 0 {
		call = p.ends[n-1]
	}
	return call
}

// streamOf answers with the events from the given one up to the last.
func streamOf(from, to int) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		for i := from; i <= to; i++ {
			writeChunk(c, eventText(i))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

// An agent learns output lengths from the ends of requests. Guards against lengths of other requests, of
// a part of an answer, or above the declared maximum, which is 50 tokens.
func TestOutputIsReportedWithTheEnd(t *testing.T) {
	for name, test := range map[string]struct{ stride, events, want int }{
		"stream":                  {6, 4, 24},
		"stride not configured":   {0, 4, 0},
		"more than was declared":  {6, 20, 50},
		"stream without an event": {6, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestProxy(t, magno.RouteStream, true, startUpstream(t, streamOf(1, test.events)))
			s.changes[0].Plan.Services[0].Engine.Stride = test.stride
			if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
				t.Fatalf("got %v %v", res, err)
			}
			if end := s.permits.lastEnd(); !end.OK || end.Output != test.want {
				t.Errorf("got %+v, want %d tokens", end, test.want)
			}
		})
	}
}

// A stream goes on at a second engine. Guards against an output that lacks the events of the first, and
// against one of a stream that the caller resumed, of which earlier events aren't known.
func TestOutputOfAResumedStream(t *testing.T) {
	first := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		writeChunk(c, eventText(2))
		return false
	})
	s := newTestProxy(t, magno.RouteStream, true, first, startUpstream(t, streamOf(3, 5)))
	s.changes[0].Plan.Services[0].Engine.Stride = 6
	if res, _, err := s.get(t, http.MethodPost, "1"); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if end := s.permits.lastEnd(); !end.OK || end.Output != 30 {
		t.Errorf("got %+v, want the 30 tokens of both parts", end)
	}
	s = newTestProxy(t, magno.RouteStream, true, startUpstream(t, streamOf(3, 5)))
	s.changes[0].Plan.Services[0].Engine.Stride = 6
	if res, _, err := s.doWith(t, http.MethodPost, "/p/1", http.Header{"Id": {"1"}, "From": {"2"}}); err != nil || res.StatusCode != 200 {
		t.Fatalf("got %v %v", res, err)
	}
	if end := s.permits.lastEnd(); !end.OK || end.Output != 0 {
		t.Errorf("got %+v, want no output, since earlier events are not known", end)
	}
}
