package plain

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

// Tests of agents depend on the stand-in stating what a real service would.
func TestNotices(t *testing.T) {
	s := startService(t, &Service{Clock: &magno.Clock{}, WorkTime: 1})
	header := func() (int, http.Header) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.url+"/call/x", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Header
	}
	s.setFault(t, fault.Spec{Kind: fault.Limit, Value: 1.5})
	s.setFault(t, fault.Spec{Kind: fault.Leaving})
	if status, h := header(); status != http.StatusOK || h.Get("X-Limit") != "1.5" || h.Get("X-Leaving") != "1" {
		t.Errorf("got %d %v", status, h)
	}
	s.setFault(t, fault.Spec{Kind: fault.Clear})
	s.setFault(t, fault.Spec{Kind: fault.Rest, Value: 2500})
	if status, h := header(); status != http.StatusServiceUnavailable || h.Get("Retry-After") != "2.5" || h.Get("X-Limit") != "" {
		t.Errorf("got %d %v", status, h)
	}
	if n := len(s.Counts().Runs); n != 1 {
		t.Errorf("%d calls ran, want the first", n)
	}
}
