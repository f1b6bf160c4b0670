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

// leg is what one upstream does with a stream.
type leg struct {
	// anew begins at the first event, whatever the caller has.
	anew bool
	// upto is the last event that it sends, twice whether it sends its first one
	// twice, and half whether it breaks off within the next.
	upto  int
	twice bool
	half  bool
	// bare ends the stream with its connection; then only half an event shows
	// that it broke off.
	bare bool
}

// script is a stream of so many events and the legs that it is sent in.
type script struct {
	events int
	legs   []leg
	mu     sync.Mutex
	runs   int
}

func drawScript(t *rapid.T) *script {
	s := &script{events: rapid.IntRange(0, 6).Draw(t, "events")}
	for i := range 2 {
		s.legs = append(s.legs, leg{
			anew: rapid.Bool().Draw(t, "anew"), upto: rapid.IntRange(0, s.events).Draw(t, fmt.Sprint("upto", i)),
			twice: rapid.Bool().Draw(t, "twice"), half: rapid.Bool().Draw(t, "half"), bare: rapid.Bool().Draw(t, "bare"),
		})
	}
	return s
}

// play sends the next leg; it ends as whole only after the last event.
func (s *script) play(_ int, r *http.Request, c net.Conn) bool {
	s.mu.Lock()
	l := s.legs[min(s.runs, len(s.legs)-1)]
	s.runs++
	s.mu.Unlock()
	from, _ := strconv.Atoi(r.Header.Get("From"))
	if l.anew {
		from = 0
	}
	send := func(text string) { chunk(c, text) }
	if l.bare {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
		send = func(text string) { fmt.Fprint(c, text) }
	} else {
		head(c, r.Header.Get("Id"))
	}
	for n := from + 1; n <= l.upto; n++ {
		send(event(n))
		if l.twice && n == from+1 {
			send(event(n))
		}
	}
	if l.upto == s.events || from >= s.events {
		if !l.bare {
			fmt.Fprint(c, "0\r\n\r\n")
		}
		return !l.bare
	}
	if l.half || l.bare {
		next := event(l.upto + 1)
		send(next[:len(next)/2])
	}
	return false
}

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// Upstreams break off at any place, also within an event, begin anew where they
// should go on, and send events twice. Whatever they do, the caller has each
// event once and in order, what looks whole is whole, and a stream that may not
// be resumed runs once. Otherwise a student reads a sentence twice, or takes
// half of an answer for all of it.
func TestStreamAgainstUpstreamsThatBreakOff(t *testing.T) {
	var now atomic.Pointer[script]
	play := func(n int, r *http.Request, c net.Conn) bool { return now.Load().play(n, r, c) }
	u, v := serveUpstream(t, play), serveUpstream(t, play)
	rapid.Check(t, func(rt *rapid.T) {
		resume := rapid.Bool().Draw(rt, "resume")
		plan := drawScript(rt)
		now.Store(plan)
		s := newSite(t, magno.KindStream, resume, u, v)
		defer s.server.Close()
		res, body, err := s.get(t, http.MethodPost, "1")
		if err == nil && res.StatusCode != 200 {
			if res.StatusCode == 429 || res.StatusCode == 503 {
				rt.Fatalf("status %d promises that nothing ran", res.StatusCode)
			}
			body, err = "", errors.New("no answer")
		}
		got, want := 0, ""
		for got < plan.events && strings.HasPrefix(body, want+event(got+1)) {
			got++
			want += event(got)
		}
		switch {
		case body != want:
			rt.Fatalf("the caller got %q", body)
		case err == nil && got != plan.events:
			rt.Fatalf("%d of %d events look whole", got, plan.events)
		case !resume && plan.count() > 1:
			rt.Fatalf("a stream that may not be resumed ran %d times", plan.count())
		case plan.count() > 2:
			rt.Fatalf("%d runs, though two are allowed", plan.count())
		}
	})
}

// Upstreams begin to leave at any time: between requests, and while a request
// waits for its turn at one of them. From then on none begins there, and a
// request with nowhere to go is refused with a time to come back. Otherwise it is
// cut off when the upstream goes.
func TestNothingBeginsWhereUpstreamsLeave(t *testing.T) {
	const ups = 3
	var list []*upstream
	for range ups {
		list = append(list, serveUpstream(t, oneEvent))
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite(t, magno.KindStream, true, list...)
		defer s.server.Close()
		left, revision := map[int]int{}, int64(1)
		leave := func(i int) {
			if _, ok := left[i]; ok {
				return
			}
			left[i] = list[i].count()
			gone := *s.changes[i+1].Replica
			gone.Leaving = true
			revision++
			s.Book.Read([]magno.Change{{Key: gone.ID, Revision: revision, Replica: &gone}}, revision, false)
		}
		// Which one leaves at each permit; those that aren't there are none.
		plan := rapid.SliceOfN(rapid.IntRange(0, 2*ups), 24, 24).Draw(rt, "leaves")
		s.permits.during = func(string) {
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
			if got := list[i].count(); got != had {
				rt.Fatalf("upstream %d got %d requests after it began to leave", i, got-had)
			}
		}
	})
}
