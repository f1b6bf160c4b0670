package relay

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

// segment is the part of a stream that one upstream sends.
type segment struct {
	// restart sends from the first event, regardless of the event to resume after.
	restart bool
	// lastEvent is the last event that is sent. repeatFirst sends the first one twice, and
	// cutNext half of the event after the last.
	lastEvent   int
	repeatFirst bool
	cutNext     bool
	// untilClose ends the stream by closing the connection. Then only half an event shows that
	// it was truncated.
	untilClose bool
}

// streamScript is a stream with a number of events and the segments in which upstreams send it.
type streamScript struct {
	events   int
	segments []segment
	mu       sync.Mutex
	runs     int
}

func drawScript(t *rapid.T) *streamScript {
	s := &streamScript{events: rapid.IntRange(0, 6).Draw(t, "events")}
	for i := range 2 {
		s.segments = append(s.segments, segment{
			restart: rapid.Bool().Draw(t, "anew"), lastEvent: rapid.IntRange(0, s.events).Draw(t, fmt.Sprint("upto", i)),
			repeatFirst: rapid.Bool().Draw(t, "twice"), cutNext: rapid.Bool().Draw(t, "half"), untilClose: rapid.Bool().Draw(t, "bare"),
		})
	}
	return s
}

// serve sends the next segment. The stream ends properly only after the last event.
func (s *streamScript) serve(_ int, r *http.Request, c net.Conn) bool {
	s.mu.Lock()
	seg := s.segments[min(s.runs, len(s.segments)-1)]
	s.runs++
	s.mu.Unlock()
	from, _ := strconv.Atoi(r.Header.Get("From"))
	if seg.restart {
		from = 0
	}
	send := func(text string) { writeChunk(c, text) }
	if seg.untilClose {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
		send = func(text string) { fmt.Fprint(c, text) }
	} else {
		writeStreamHead(c, r.Header.Get("Id"))
	}
	for n := from + 1; n <= seg.lastEvent; n++ {
		send(eventText(n))
		if seg.repeatFirst && n == from+1 {
			send(eventText(n))
		}
	}
	if seg.lastEvent == s.events || from >= s.events {
		if !seg.untilClose {
			fmt.Fprint(c, "0\r\n\r\n")
		}
		return !seg.untilClose
	}
	if seg.cutNext || seg.untilClose {
		next := eventText(seg.lastEvent + 1)
		send(next[:len(next)/2])
	}
	return false
}

func (s *streamScript) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// Upstreams break off anywhere, also within an event, start over instead of resuming, and send
// events twice. In each case the caller must get each event once and in order, a truncated
// stream must not look complete, and a stream that may not be resumed must run once.
func TestStreamAgainstUpstreamsThatBreakOff(t *testing.T) {
	var now atomic.Pointer[streamScript]
	play := func(n int, r *http.Request, c net.Conn) bool { return now.Load().serve(n, r, c) }
	u, v := startUpstream(t, play), startUpstream(t, play)
	rapid.Check(t, func(rt *rapid.T) {
		resume := rapid.Bool().Draw(rt, "resume")
		plan := drawScript(rt)
		now.Store(plan)
		s := newTestProxy(t, magno.RouteStream, resume, u, v)
		defer s.server.Close()
		res, body, err := s.get(t, http.MethodPost, "1")
		if err == nil && res.StatusCode != 200 {
			if res.StatusCode == 429 || res.StatusCode == 503 {
				rt.Fatalf("status %d guarantees that the request has not run", res.StatusCode)
			}
			body, err = "", errors.New("no answer")
		}
		got, want := 0, ""
		for got < plan.events && strings.HasPrefix(body, want+eventText(got+1)) {
			got++
			want += eventText(got)
		}
		switch {
		case body != want:
			rt.Fatalf("the caller got %q", body)
		case err == nil && got != plan.events:
			rt.Fatalf("%d of %d events look like a complete stream", got, plan.events)
		case !resume && plan.runCount() > 1:
			rt.Fatalf("a stream that may not be resumed ran %d times", plan.runCount())
		case plan.runCount() > 2:
			rt.Fatalf("%d runs, though two are allowed", plan.runCount())
		}
	})
}

// Upstreams begin to leave at any time: between requests, or while a request waits for a
// permit. After that no request must start there, because it would be cut off when the upstream
// exits. A request without any other upstream must be refused with a Retry-After.
func TestNothingBeginsWhereUpstreamsLeave(t *testing.T) {
	const ups = 3
	var list []*fakeUpstream
	for range ups {
		list = append(list, startUpstream(t, streamOneEvent))
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestProxy(t, magno.RouteStream, true, list...)
		defer s.server.Close()
		s.allowDelays()
		left, revision := map[int]int{}, magno.Revision(1)
		leave := func(i int) {
			if _, ok := left[i]; ok {
				return
			}
			left[i] = list[i].requestCount()
			gone := *s.changes[i+1].Replica
			gone.Leaving = true
			revision++
			s.Book.ApplyRead([]magno.Change{{Key: gone.ID, Revision: revision, Replica: &gone}}, revision, false)
		}
		// The upstream that leaves at each permit. An index beyond the last one stands for
		// none.
		plan := rapid.SliceOfN(rapid.IntRange(0, 2*ups), 24, 24).Draw(rt, "leaves")
		s.permits.onAcquire = func(string) {
			next := plan[0]
			plan = plan[1:]
			if next < ups {
				leave(next)
			}
		}
		for n := range rapid.IntRange(1, 6).Draw(rt, "requests") {
			res, _, err := s.get(t, http.MethodPost, fmt.Sprint(n))
			switch {
			case err != nil:
				rt.Fatal(err)
			case res.StatusCode == 200:
			case len(left) < ups || (res.StatusCode != 503 && res.StatusCode != 429) || res.Header.Get("Retry-After") == "":
				rt.Fatalf("got %v with %d of %d upstreams leaving", res, len(left), ups)
			}
			if rapid.Bool().Draw(rt, "leaves between") {
				leave(rapid.IntRange(0, ups-1).Draw(rt, "which"))
			}
		}
		for i, had := range left {
			if got := list[i].requestCount(); got != had {
				rt.Fatalf("upstream %d got %d requests after it began to leave", i, got-had)
			}
		}
	})
}
