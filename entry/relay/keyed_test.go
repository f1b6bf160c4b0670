package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

const (
	validKey   = "Bearer k7b2ex5wa5xwyhks8nbk"
	unknownKey = "Bearer asnmgkcuyj8pjbvk9m68"
)

// newKeyedProxy returns a proxy whose callers need keys except on one public route, and the
// clock by which its configuration ages.
func newKeyedProxy(t *testing.T) (*testProxy, *fakeUpstream, *magno.Clock) {
	t.Helper()
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Id"), 200, "hello")
		return true
	})
	s := newTestProxy(t, magno.RouteOnce, false, u)
	clock := magno.NewClock(magno.Hour)
	plan := *s.changes[0].Plan
	public := plan.Routes[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	plan.Routes = append(plan.Routes, public)
	rank := 3
	plan.Customers = []magno.Customer{{
		Name: "alpha", Rank: &rank, Keys: []magno.Digest{magno.DigestOf(strings.TrimPrefix(validKey, "Bearer "))},
		Limit: &magno.Limit{Rate: 100, Burst: 100, Tokens: true},
	}}
	s.changes[0].Plan = &plan
	s.Book = &view.Store{Clock: clock}
	s.Book.ApplyRead(s.changes, 1, true)
	s.Book.RecordFreshness(1, clock.Now())
	s.MaxRevokeDelay = 5 * magno.Second
	return s, u, clock
}

func TestKeysDecideWhoIsServed(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		age             magno.Millis
		status          int
		customer        string
	}{
		{"a known key", "/p/1", validKey, 0, 200, "alpha"},
		{"a known key, confirmed some seconds ago", "/p/1", validKey, 4800, 200, "alpha"},
		{"a known key, confirmed too long ago", "/p/1", validKey, 5000, 503, ""},
		{"an unknown key", "/p/1", unknownKey, 0, 401, ""},
		{"no key", "/p/1", "", 0, 401, ""},
		{"an unknown key that may be new", "/p/1", unknownKey, 2000, 503, ""},
		{"no key, public", "/open/1", "", 0, 200, ""},
		{"a known key, public", "/open/1", validKey, 0, 200, ""},
		{"public, confirmed too long ago", "/open/1", "", 5000, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, u, clock := newKeyedProxy(t)
			clock.Advance(c.age)
			res, _, err := s.do(t, http.MethodPost, c.path, "1", c.key)
			if err != nil || res.StatusCode != c.status {
				t.Fatalf("got %v %v, want %d", res, err, c.status)
			}
			if c.status != http.StatusOK {
				if u.requestCount() != 0 {
					t.Error("the refused request reached an upstream")
				}
				if away := c.status == http.StatusServiceUnavailable; res.Close != away {
					t.Errorf("status %d, connection closed %v", c.status, res.Close)
				}
				if after := res.Header.Get("Retry-After"); (after != "") != (c.status == http.StatusServiceUnavailable) {
					t.Errorf("status %d with Retry-After %q", c.status, after)
				}
				if asks := res.Header.Get("WWW-Authenticate"); (asks == "Bearer") != (c.status == http.StatusUnauthorized) {
					t.Errorf("status %d with WWW-Authenticate %q", c.status, asks)
				}
				return
			}
			if h := u.requests[0].Header; h.Get("Authorization") != "" || h.Get("Customer") != c.customer {
				t.Errorf("the upstream received key %q, customer %q", h.Get("Authorization"), h.Get("Customer"))
			}
		})
	}
}

// Guards against accepting a key that is revoked while its caller still sends the body.
func TestKeyIsCheckedOnceTheBodyIsThere(t *testing.T) {
	s, u, _ := newKeyedProxy(t)
	body := &hookedBody{text: "body", onRead: func() {
		plan := *s.Book.Current().Plan
		plan.Version++
		plan.Customers = []magno.Customer{{Name: "alpha"}}
		s.Book.ApplyRead([]magno.Change{{Key: "plan", Revision: 2, Plan: &plan}}, 2, false)
	}}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.server.URL+"/p/1", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	req.Header.Set("Authorization", validKey)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusUnauthorized || u.requestCount() != 0 {
		t.Errorf("status %d, %d requests forwarded", res.StatusCode, u.requestCount())
	}
}

// hookedBody calls onRead before its text is read.
type hookedBody struct {
	text   string
	onRead func()
}

func (b *hookedBody) Read(p []byte) (int, error) {
	if b.onRead != nil {
		b.onRead()
		b.onRead = nil
	}
	n := copy(p, b.text)
	b.text = b.text[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func TestNoKeyIsLogged(t *testing.T) {
	s, _, clock := newKeyedProxy(t)
	var log bytes.Buffer
	s.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	for _, age := range []magno.Millis{0, 2000, 5000} {
		clock.Advance(age)
		for _, key := range []string{validKey, unknownKey} {
			if _, _, err := s.do(t, http.MethodPost, "/p/1", "1", key); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, outcome := range []string{"served", "credential", "outdated"} {
		if !strings.Contains(log.String(), "outcome="+outcome) {
			t.Errorf("no request that was %s is logged", outcome)
		}
	}
	for _, key := range []string{validKey, unknownKey} {
		if strings.Contains(log.String(), strings.TrimPrefix(key, "Bearer ")) {
			t.Errorf("a key is in the log:\n%s", log.String())
		}
	}
}

// fakeQuotas refuses everything while exhausted, and sums up what is taken and returned.
type fakeQuotas struct {
	mu              sync.Mutex
	exhausted       bool
	taken, returned float64
}

func (q *fakeQuotas) Take(_ context.Context, _ *magno.Customer, cost float64) *magno.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.exhausted {
		return magno.Refuse(magno.KindQuota, "over its limit").WithRetryAfter(700)
	}
	q.taken += cost
	return nil
}

func (q *fakeQuotas) Give(_ *magno.Customer, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned += cost
}

// waitForTotals waits until the totals are as given: a request returns its cost after its
// response.
func (q *fakeQuotas) waitForTotals(t *testing.T, taken, returned float64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		q.mu.Lock()
		done := q.taken == taken && q.returned == returned
		q.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("took %v and returned %v, want %v and %v", q.taken, q.returned, taken, returned)
		}
	}
}

func TestWhatDidNotRunGivesItsTokensBack(t *testing.T) {
	s, u, _ := newKeyedProxy(t)
	q := &fakeQuotas{}
	s.Quotas = q
	if _, _, err := s.do(t, http.MethodPost, "/p/1", "1", validKey); err != nil {
		t.Fatal(err)
	}
	q.waitForTotals(t, 150, 0)
	s.pools.replicas = nil
	if _, _, err := s.do(t, http.MethodPost, "/p/1", "2", validKey); err != nil {
		t.Fatal(err)
	}
	q.waitForTotals(t, 300, 150)
	q.mu.Lock()
	q.exhausted = true
	q.mu.Unlock()
	res, _, err := s.do(t, http.MethodPost, "/p/1", "3", validKey)
	if err != nil || res.StatusCode != http.StatusTooManyRequests || res.Header.Get("Retry-After") != "0.700" {
		t.Errorf("over the limit: %v %v", res, err)
	}
	if u.requestCount() != 1 {
		t.Errorf("%d requests reached the upstream, want 1", u.requestCount())
	}
}
