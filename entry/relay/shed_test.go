package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against a request that is sent on although its connection is one of those that are refused.
func TestRequestOverARefusedConnectionIsNotSent(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 200, "x")
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	req := httptest.NewRequest(http.MethodPost, "/p/x", nil).WithContext(WithRefusal(t.Context()))
	req.Host, req.Header = "h.example", http.Header{"Id": {"1"}}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, req)
	if !promisesNotRun(w.Code) || w.Header().Get("Retry-After") == "" || w.Header().Get("Connection") != "close" || u.requestCount() != 0 {
		t.Errorf("got %d %v after %d sends", w.Code, w.Header(), u.requestCount())
	}
}
