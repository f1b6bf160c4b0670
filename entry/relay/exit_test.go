package relay

import (
	"context"
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// Guards against a request that is passed on by an instance that stops, though requests like it take longer than the
// instance still runs: it would run and its caller would learn nothing of it.
func TestStoppingInstanceRefusesWhatCannotEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		took   magno.Millis
		status int
	}{
		{"nothing is known", -1, http.StatusOK},
		{"others end in time", 50, http.StatusOK},
		{"others take longer", 2 * magno.Minute, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeResponse(c, r.Header.Get("Id"), 200, "x")
				return true
			})
			s := newTestProxy(t, magno.RouteOnce, false, u)
			if c.took >= 0 {
				s.times.Add(s.changes[0].Plan.Routes[0].Name, c.took)
			}
			s.Drain(magno.Minute, magno.Minute, magno.Minute)
			res, _, err := s.get(t, http.MethodPost, "1")
			if err != nil || res.StatusCode != c.status {
				t.Errorf("got %v %v, want %d", res, err, c.status)
			}
			if sent := u.requestCount() > 0; sent != (c.status == http.StatusOK) {
				t.Errorf("sent to the upstream: %t", sent)
			}
		})
	}
}

// Guards against a request that is passed on after it waited for a permit for so long that it can't end before the
// instance does.
func TestStoppingInstanceRefusesWhatHasWaited(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s := newPlannedProxy(t, magno.RouteStream, true, u)
	s.permits.decide = func(context.Context, string) *gate.PermitReply {
		s.times.Add(s.changes[0].Plan.Routes[0].Name, 2*magno.Minute)
		s.Drain(magno.Minute, magno.Minute, magno.Minute)
		return nil
	}
	res, _, err := s.request(t)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || u.requestCount() > 0 {
		t.Errorf("got %v %v after %d sends", res, err, u.requestCount())
	}
}

// Guards against a request that still waits as the instance ends, and is told that it may have run.
func TestWaitingRequestIsRefusedAtTheExit(t *testing.T) {
	u := startUpstream(t, streamOneEvent)
	s := newPlannedProxy(t, magno.RouteStream, true, u)
	s.permits.decide = func(ctx context.Context, _ string) *gate.PermitReply {
		s.Drain(magno.Minute, magno.Minute, 1)
		<-ctx.Done()
		return &gate.PermitReply{Refusal: magno.Refuse(magno.KindCancelled, "the wait ended")}
	}
	res, _, err := s.request(t)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || u.requestCount() > 0 {
		t.Errorf("got %v %v after %d sends", res, err, u.requestCount())
	}
}
