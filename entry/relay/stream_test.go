package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// A stream breaks off in the middle of an event. It goes on at another upstream
// within the same answer, after the last whole event, and the caller sees each
// event once.
func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(1))
		chunk(c, event(2)+"id: 3\nda")
		return false
	})
	v := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		if r.Header.Get("From") != "2" {
			return false
		}
		chunk(c, event(3))
		chunk(c, event(4))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSite(t, magno.KindStream, true, u, v)
	res, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || res.StatusCode != 200 || body != event(1)+event(2)+event(3)+event(4) {
		t.Fatalf("got %v %q %v", res, body, err)
	}
}

// A stream that may not be resumed breaks off. Its caller must see that it is
// not whole.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(1))
		return false
	})
	s := newSite(t, magno.KindStream, false, u)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err == nil {
		t.Errorf("the answer %q looks whole", body)
	}
}

// An upstream stands still in the middle of a stream, with its connection open.
// A stream that may be resumed goes on elsewhere.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(1))
		_, _ = c.Read(make([]byte, 1)) // until the relay gives up
		return false
	})
	v := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(2))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSite(t, magno.KindStream, true, u, v)
	_, body, err := s.get(t, http.MethodPost, "1")
	if err != nil || body != event(1)+event(2) {
		t.Fatalf("got %q %v", body, err)
	}
}

// A stream goes on at an upstream that begins it anew. The caller must not see
// its first events twice.
func TestEventsThatTheCallerHasAreLeftOut(t *testing.T) {
	u := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(1)+event(2))
		return false
	})
	v := serveUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		chunk(c, event(1)+event(2)+event(3))
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSite(t, magno.KindStream, true, u, v)
	if _, body, err := s.get(t, http.MethodPost, "1"); err != nil || body != event(1)+event(2)+event(3) {
		t.Errorf("got %q %v", body, err)
	}
}

// A caller's connection breaks in the middle of its stream, and the write fails
// before the server has noticed. The upstream is well: the stream must not begin
// anew at another one for nobody.
func TestBrokenCallerIsNoFailureOfTheUpstream(t *testing.T) {
	u, v := serveUpstream(t, oneEvent), serveUpstream(t, oneEvent)
	s := newSite(t, magno.KindStream, true, u, v)
	req := httptest.NewRequest(http.MethodPost, "http://h.example/p/1", strings.NewReader("b"))
	req.Header.Set("Id", "1")
	func() {
		defer func() { _ = recover() }() // the answer is broken off
		s.ServeHTTP(&deafWriter{http.Header{}}, req)
	}()
	if u.count() != 1 || v.count() != 0 {
		t.Errorf("%d and %d sends, want one and none", u.count(), v.count())
	}
	if s.pools.allow != 10 {
		t.Error("the retry allowance was spent on a caller that is gone")
	}
}

// An engine crashes while it makes an answer that takes several seconds. The caller
// has got events until now and waits for the next one for two seconds or more, so the
// rest can still come from another engine. Its patience counted from the first
// attempt would be over, every engine would refuse the stream, and the caller would
// be left with half an answer.
func TestStreamThatBrokeOffLateIsStillAwaited(t *testing.T) {
	const now = magno.Hour
	for _, c := range []struct {
		name             string
		events           int
		passed           magno.Millis
		wantAim, wantPat magno.Millis
	}{
		{"nothing came yet", 0, 0, -4200, -2300},
		{"it made events until now", 40, now - 20, 230, 2680},
		{"it has been silent for a while", 40, now - 1500, -1250, 1200},
	} {
		j := &job{
			Handler: &Handler{}, route: &magno.Route{Kind: magno.KindStream, Aim: 800, Gap: 250},
			came: now - 5000, end: now + 7000, events: c.events, passed: c.passed,
		}
		if a := j.ask(now); a.StartTarget != c.wantAim || a.MaxWait != c.wantPat {
			t.Errorf("%s: due in %d ms, waits for %d; want %d and %d", c.name, a.StartTarget, a.MaxWait, c.wantAim, c.wantPat)
		}
	}
}
