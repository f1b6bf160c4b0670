package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/origin"
)

const comment = ": hello\n\n"

// Guards against a stream that stays with a hung upstream because the other one begins with what the caller has, or with
// a comment, and against events that come twice then.
func TestHedgeGoesOnAfterWhatIsNoNewEvent(t *testing.T) {
	for name, first := range map[string]string{
		"a comment": comment, "events that the caller has": eventText(1) + eventText(2), "both": comment + eventText(1) + eventText(2) + comment,
	} {
		for service, engine := range map[string]bool{"engine": true, "plain service": false} {
			t.Run(name+", "+service, func(t *testing.T) {
				t.Parallel()
				closed := make(chan struct{})
				u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
					defer close(closed)
					writeStreamHead(c, r.Header.Get("Id"))
					writeChunk(c, eventText(1))
					writeChunk(c, eventText(2))
					return waitUntilClosed(n, r, c)
				})
				v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
					writeStreamHead(c, r.Header.Get("Id"))
					writeChunk(c, first)
					writeChunk(c, eventText(3))
					<-closed
					fmt.Fprint(c, "0\r\n\r\n")
					return true
				})
				s := newSilentProxy(t, magno.RouteStream, engine, u, v)
				_, body, err := s.get(t, http.MethodPost, "1")
				got := strings.ReplaceAll(body, comment, "")
				if want := eventText(1) + eventText(2) + eventText(3); err != nil || got != want {
					t.Errorf("got %q %v, want the whole stream", body, err)
				}
				s.pools.checkBudget(t, 1)
			})
		}
	}
}

// Guards against a hung upstream that is awaited though another one states that the stream has ended.
func TestHedgeWithoutFurtherEventsEndsTheStream(t *testing.T) {
	closed := make(chan struct{})
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		defer close(closed)
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		return waitUntilClosed(n, r, c)
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != eventText(1) {
		t.Errorf("got %q %v, want the whole stream", body, err)
	}
	<-closed
}

// Guards against a stream that is cut because its first upstream sent a comment, for which the second one was given up,
// and broke off.
func TestCommentOfTheFirstUpstreamEndsNoHedge(t *testing.T) {
	began, broke := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		defer close(broke)
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		<-began
		writeChunk(c, comment)
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		close(began)
		<-broke
		time.Sleep(50 * time.Millisecond) // for the entry to read it
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || strings.ReplaceAll(body, comment, "") != eventText(1)+eventText(2) {
		t.Errorf("got %q %v, want the whole stream", body, err)
	}
}

// Guards against an answer with the header of one build and the events of another, or none, because the second upstream
// sent a comment before the first had sent anything.
func TestCommentBeforeTheFirstEventTakesNoStreamOver(t *testing.T) {
	u := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		time.Sleep(silence)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nFirst: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(c, eventText(1))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, comment)
		return false
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, v)
	s.setBuilds("v1", "v2")
	origins := &fakeOrigins{known: map[string]origin.Origin{}}
	s.Origins = origins
	res, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != eventText(1) || res.Header.Get("First") == "" {
		t.Errorf("got %v %q %v, want the first upstream's answer", res, body, err)
	}
	if at := origins.known["1"]; at.Build != "v1" {
		t.Errorf("recorded at %q", at.Build)
	}
}

// Guards against memory for an upstream that sends comments without end, and against a first upstream that is given up
// for it.
func TestEndlessCommentsOfAHedgeAreBounded(t *testing.T) {
	closed := make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		<-closed
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	v := startUpstream(t, func(n int, r *http.Request, c net.Conn) bool {
		defer close(closed)
		writeStreamHead(c, r.Header.Get("Id"))
		long := ": " + strings.Repeat("x", maxEventSize/8) + "\n\n"
		for range 9 {
			writeChunk(c, long)
		}
		return waitUntilClosed(n, r, c)
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != eventText(1)+eventText(2) {
		t.Errorf("got %d bytes %v, want the first upstream's events", len(body), err)
	}
}

// Guards against comments that are held back though the first upstream, which could have gone on, has broken off.
func TestCommentIsNotHeldBackOnceTheFirstUpstreamFailed(t *testing.T) {
	began, got := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		<-began
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		close(began)
		for {
			select {
			case <-got:
				writeChunk(c, eventText(2))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			case <-time.After(10 * time.Millisecond):
				writeChunk(c, comment)
			}
		}
	})
	s := newSilentProxy(t, magno.RouteStream, true, u, v)
	res := s.open(t, http.NoBody)
	defer res.Body.Close()
	begin := make([]byte, len(eventText(1)+comment))
	_, err := io.ReadFull(res.Body, begin)
	close(got)
	if err != nil || string(begin) != eventText(1)+comment {
		t.Fatalf("got %q %v, want the comment before the next event", begin, err)
	}
	rest, err := io.ReadAll(res.Body)
	if body := strings.ReplaceAll(string(rest), comment, ""); err != nil || body != eventText(2) {
		t.Errorf("got %q %v, want the next event", body, err)
	}
}

// Guards against half a stream that looks whole, since the second upstream ended before what the caller has, or with
// nothing but its connection, while the first one was only silent.
func TestHedgeThatMayHaveBrokenOffEndsNoStream(t *testing.T) {
	for name, other := range map[string]func(int, *http.Request, net.Conn) bool{
		"before what the caller has": streamOneEvent,
		"with its connection": func(_ int, r *http.Request, c net.Conn) bool {
			writeUnframed(c, r.Header.Get("Id"), "")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				writeChunk(c, eventText(2))
				time.Sleep(silence)
				writeChunk(c, eventText(3))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			s := newSilentProxy(t, magno.RouteStream, true, u, startUpstream(t, other))
			_, body, err := s.get(t, http.MethodPost, "1")
			if err != nil || body != eventText(1)+eventText(2)+eventText(3) {
				t.Errorf("got %q %v, want the whole stream", body, err)
			}
		})
	}
}

// Guards against half a stream that looks whole, since it was sent again, from its beginning, and ended before what the
// caller has.
func TestRetryThatEndsBeforeWhatTheCallerHasIsNoEnd(t *testing.T) {
	u := startUpstream(t, streamUpTo(2, 3))
	s := newSilentProxy(t, magno.RouteStream, true, u, startUpstream(t, streamOneEvent))
	_, body, err := s.get(t, http.MethodPost, "1")
	if err == nil || body != eventText(1)+eventText(2) {
		t.Errorf("got %q %v, want a broken stream", body, err)
	}
}

// Guards against events that a caller gets again as it takes a stream up: the second upstream begins it anew, while the
// first one is only silent, or is the only one that serves it.
func TestTakenUpStreamRepeatsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		first func(int, *http.Request, net.Conn) bool
		other func(int, *http.Request, net.Conn) bool
	}{
		"the first is silent": {func(n int, r *http.Request, c net.Conn) bool {
			time.Sleep(silence)
			return streamUpTo(3, 3)(n, r, c)
		}, streamAnewUpTo(2)},
		"the first fails": {failRequest, streamAnewUpTo(3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSilentProxy(t, magno.RouteStream, true, startUpstream(t, c.first), startUpstream(t, c.other))
			_, body, err := s.doWith(t, http.MethodPost, "/p/1", http.Header{"Id": {"1"}, "From": {"2"}})
			if err != nil || body != eventText(3) {
				t.Errorf("got %q %v, want the third event", body, err)
			}
		})
	}
}

// streamAnewUpTo returns a script that streams from the first event up to last, of three, whatever was asked for.
func streamAnewUpTo(last int) func(int, *http.Request, net.Conn) bool {
	return func(n int, r *http.Request, c net.Conn) bool {
		r.Header.Del("From")
		return streamUpTo(last, 3)(n, r, c)
	}
}
