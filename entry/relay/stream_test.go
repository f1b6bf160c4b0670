package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// A stream breaks off in the middle of an event. It must be resumed at another upstream within
// the same response, after the last complete event, so that the caller gets each event once.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		writeChunk(c, eventText(2)+"id: 3\nda")
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		if r.Header.Get("From") != "2" {
			return false
		}
		writeChunk(c, eventText(3))
		writeChunk(c, eventText(4))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	res, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 200 || body != eventText(1)+eventText(2)+eventText(3)+eventText(4) {
		t.Fatalf("got %v %q %v", res, body, err)
	}
	s.pools.checkBudget(t, 1)
}

// A stream that may not be resumed breaks off. Its caller must be able to tell that it is
// truncated.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		return false
	})
	s := newTestProxy(t, magno.RouteStream, false, u)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err == nil {
		t.Errorf("the truncated response %q looks complete", body)
	}
}

// An upstream stalls in the middle of a stream, with its connection open. A stream that may be
// resumed must continue elsewhere.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		_, _ = c.Read(make([]byte, 1)) // until the relay closes the connection
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != eventText(1)+eventText(2) {
		t.Fatalf("got %q %v", body, err)
	}
}

// A stream is resumed at an upstream that starts it from the beginning. The caller must not get
// the first events twice.
func TestEventsThatTheCallerHasAreLeftOut(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1)+eventText(2))
		return false
	})
	v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1)+eventText(2)+eventText(3))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	if _, body, err := s.get(t, http.MethodPost, "1"); err != nil || body != eventText(1)+eventText(2)+eventText(3) {
		t.Errorf("got %q %v", body, err)
	}
}

// A caller's connection breaks in the middle of its stream, and the write fails before the
// server has noticed. The upstream has not failed: the stream must not be run again at another
// one.
func TestBrokenCallerIsNoFailureOfTheUpstream(t *testing.T) {
	u, v := startUpstream(t, streamOneEvent), startUpstream(t, streamOneEvent)
	s := newTestProxy(t, magno.RouteStream, true, u, v)
	req := httptest.NewRequest(http.MethodPost, "http://h.example/p/1", strings.NewReader("b"))
	req.Header.Set("Id", "1")
	func() {
		defer func() { _ = recover() }() // the response is aborted
		s.ServeHTTP(&brokenWriter{http.Header{}}, req)
	}()
	if u.requestCount() != 1 || v.requestCount() != 0 {
		t.Errorf("%d and %d sends, want one and none", u.requestCount(), v.requestCount())
	}
	if s.pools.retries != 10 {
		t.Error("the retry budget was charged for a caller that is gone")
	}
}

// An engine crashes during a response of several seconds. The caller has received events until
// now and waits at least two seconds for the next one, so the rest can still come from another
// engine. If its patience counted from the first attempt, it would be over, every engine would
// refuse the stream, and the caller would be left with half an answer.
func TestStreamThatBrokeOffLateIsStillAwaited(t *testing.T) {
	const now = magno.Hour
	for _, c := range []struct {
		name                  string
		events                int
		passed                magno.Millis
		wantAim, wantPatience magno.Millis
	}{
		{"no event yet", 0, 0, -4200, -2300},
		{"events until now", 40, now - 20, 230, 2680},
		{"no event for a while", 40, now - 1500, -1250, 1200},
	} {
		j := &job{
			Handler: &Handler{}, route: &magno.Route{Kind: magno.RouteStream, Aim: 800, Gap: 250},
			received: now - 5000, deadline: now + 7000, events: c.events, lastEventAt: c.passed,
		}
		if a := j.permitRequest(now); a.StartTarget != c.wantAim || a.MaxWait != c.wantPatience {
			t.Errorf("%s: due in %d ms, waits for %d; want %d and %d", c.name, a.StartTarget, a.MaxWait, c.wantAim, c.wantPatience)
		}
	}
}

// Guards against an event that the caller gets only together with the next one, of which the upstream has sent a part
// before it falls silent.
func TestEventIsNotHeldBackByAPartOfTheNext(t *testing.T) {
	got := make(chan struct{})
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1)+"id: 2\nda")
		<-got
		writeChunk(c, "ta: x2\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newTestProxy(t, magno.RouteStream, false, u)
	s.allowDelays()
	res := s.open(t, strings.NewReader("body"))
	defer res.Body.Close()
	first := make([]byte, len(eventText(1)))
	if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != eventText(1) {
		t.Fatalf("got %q %v, want the first event before the second is whole", first, err)
	}
	close(got)
	if rest, err := io.ReadAll(res.Body); err != nil || string(rest) != eventText(2) {
		t.Errorf("got %q %v", rest, err)
	}
}
