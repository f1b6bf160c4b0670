package conf

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodGet, path, http.NoBody))
	return w
}

func put(h http.Handler, path string, body []byte) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), http.MethodPut, path, bytes.NewReader(body)))
	return w.Code
}

func (s *Service) setFault(t *testing.T, spec fault.Spec) {
	t.Helper()
	if err := s.Fault(spec); err != nil {
		t.Fatal(err)
	}
}

func decodeWatch(t *testing.T, w *httptest.ResponseRecorder) WatchResponse {
	t.Helper()
	var resp WatchResponse
	if err := json.Unmarshal(w.Body.Bytes(), &resp); err != nil {
		t.Fatalf("%d: %s", w.Code, w.Body)
	}
	return resp
}

func TestReadAndPublish(t *testing.T) {
	s := &Service{Clock: magno.NewClock(0)}
	readers, operators := s.Handler(), s.Admin()
	if status := put(readers, "/v1/value/index", []byte("x")); status != http.StatusMethodNotAllowed {
		t.Errorf("PUT on the readers' API: status %d", status)
	}
	if status := put(operators, "/v1/value/shard/a/0", []byte("one")); status != http.StatusOK {
		t.Errorf("publish: %d", status)
	}
	tests := []struct {
		path, body string
		status     int
	}{
		{"/v1/value/shard/a/0", "one", http.StatusOK},
		{"/v1/value/index", "", http.StatusNotFound},
	}
	for _, tt := range tests {
		w := get(readers, tt.path)
		if w.Code != tt.status || tt.body != "" && w.Body.String() != tt.body || w.Header().Get("X-Revision") != "1" {
			t.Errorf("%s: %d %s %v", tt.path, w.Code, w.Body, w.Header())
		}
	}
	for size, want := range map[int]int{MaxValueBytes: http.StatusOK, MaxValueBytes + 1: http.StatusRequestEntityTooLarge} {
		if status := put(operators, "/v1/value/large", make([]byte, size)); status != want {
			t.Errorf("%d bytes: %d", size, status)
		}
	}
}

func TestWatch(t *testing.T) {
	s := &Service{Clock: magno.NewClock(0)}
	h := s.Handler()
	for _, key := range []string{"a", "b", "a"} {
		if _, err := s.Put(key, nil); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		after, revision int64
		keys            []string
	}{{0, 3, []string{"a", "b"}}, {1, 3, []string{"a", "b"}}, {2, 3, []string{"a"}}, {3, 3, []string{}}, {9, 3, []string{}}}
	for _, tt := range tests {
		resp := decodeWatch(t, get(h, "/v1/watch?wait=0&after="+strconv.FormatInt(tt.after, 10)))
		if resp.Revision != tt.revision || !reflect.DeepEqual(resp.Keys, tt.keys) {
			t.Errorf("after %d: %+v", tt.after, resp)
		}
	}
	for _, bad := range []string{"after=x", "after=-1", "wait=x", "wait=-1"} {
		if w := get(h, "/v1/watch?"+bad); w.Code != http.StatusBadRequest {
			t.Errorf("%s: %d", bad, w.Code)
		}
	}
	got := make(chan WatchResponse, 1)
	go func() { got <- decodeWatch(t, get(h, "/v1/watch?after=3&wait=60000")) }()
	waitWatches(t, s, 6)
	if _, err := s.Put("c", nil); err != nil {
		t.Fatal(err)
	}
	if resp := <-got; resp.Revision != 4 || !reflect.DeepEqual(resp.Keys, []string{"c"}) {
		t.Errorf("the waiting watch got %+v", resp)
	}
}

// waitWatches waits until n watches have started.
func waitWatches(t *testing.T, s *Service, n int64) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.Counts().Watches >= n {
			return
		}
	}
	t.Fatalf("timed out waiting for %d watches", n)
}

// A whole fleet restarts and reads at once. Over the rate the service rejects reads
// and watches alike, so processes must be able to start without an answer.
func TestRate(t *testing.T) {
	clock := magno.NewClock(0)
	s := &Service{Rate: 3, Clock: clock}
	h := s.Handler()
	got := make([]int, 0, 4)
	for range 2 {
		got = append(got, get(h, "/v1/value/x").Code, get(h, "/v1/watch").Code)
	}
	if want := []int{404, 200, 404, 429}; !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v", got)
	}
	clock.Advance(magno.Second)
	if w := get(h, "/v1/watch"); w.Code != http.StatusOK {
		t.Fatalf("a second later: %d", w.Code)
	}
	if c := s.Counts(); c.Refused != 1 || c.Reads != 2 || c.Watches != 2 {
		t.Fatalf("counts %+v", c)
	}
}

// A stale service returns an earlier state. A process that trusts it would go back
// from the active version to an older one.
func TestStale(t *testing.T) {
	clock := magno.NewClock(1000)
	s := &Service{Clock: clock}
	h := s.Handler()
	_, _ = s.Put("index", []byte("old"))
	clock.Advance(500)
	_, _ = s.Put("index", []byte("new"))
	tests := []struct {
		stale    float64
		body     string
		revision string
	}{{0, "new", "2"}, {1, "old", "1"}, {500, "old", "1"}, {0, "new", "2"}}
	for _, tt := range tests {
		s.setFault(t, fault.Spec{Kind: fault.Stale, Value: tt.stale})
		w := get(h, "/v1/value/index")
		if w.Body.String() != tt.body || w.Header().Get("X-Revision") != tt.revision {
			t.Errorf("stale by %v: %s at %s", tt.stale, w.Body, w.Header().Get("X-Revision"))
		}
		if resp := decodeWatch(t, get(h, "/v1/watch?after=0")); strconv.FormatInt(resp.Revision, 10) != tt.revision {
			t.Errorf("stale by %v: %+v", tt.stale, resp)
		}
	}
	s.setFault(t, fault.Spec{Kind: fault.Stale, Value: 501})
	if w := get(h, "/v1/value/index"); w.Code != http.StatusNotFound {
		t.Errorf("before the first value: status %d", w.Code)
	}
	got := make(chan WatchResponse, 1)
	go func() { got <- decodeWatch(t, get(h, "/v1/watch?after=1&wait=60000")) }()
	waitWatches(t, s, 5)
	clock.Advance(501)
	if resp := <-got; resp.Revision != 2 {
		t.Errorf("a watch on a stale service got %+v", resp)
	}
}

// An outage must end waiting watches with an error, not with an empty answer that
// looks as if nothing had changed. Publishing still works.
func TestOutage(t *testing.T) {
	s := &Service{Clock: magno.NewClock(0)}
	h := s.Handler()
	got := make(chan int, 1)
	go func() { got <- get(h, "/v1/watch?wait=60000").Code }()
	waitWatches(t, s, 1)
	s.setFault(t, fault.Spec{Kind: fault.Outage})
	if status := <-got; status != http.StatusServiceUnavailable {
		t.Errorf("watch: status %d", status)
	}
	if w := get(h, "/v1/value/x"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("read: status %d", w.Code)
	}
	if status := put(s.Admin(), "/v1/value/x", []byte("y")); status != http.StatusOK {
		t.Errorf("publish: %d", status)
	}
	s.setFault(t, fault.Spec{Kind: fault.Clear})
	if w := get(h, "/v1/value/x"); w.Body.String() != "y" {
		t.Errorf("after the outage: %d %s", w.Code, w.Body)
	}
}

// A watch after a change that is no longer kept must return every key, or it would
// miss changes.
func TestOldWatchReturnsAllKeys(t *testing.T) {
	v := newValues()
	for i := range 3 * maxChanges {
		v.put(magno.Millis(i), "k"+strconv.Itoa(i%3), nil)
	}
	if n := len(v.changes); n > 2*maxChanges {
		t.Fatalf("%d changes are kept", n)
	}
	now := magno.Millis(3 * maxChanges)
	for after, want := range map[int64]int{0: 3, v.revision - 1: 1, v.revision: 0} {
		if _, keys := v.changedSince(now, after); len(keys) != want {
			t.Errorf("after %d: %v", after, keys)
		}
	}
}

func FuzzWatch(f *testing.F) {
	f.Add("1", "5")
	f.Add("-9", "x")
	f.Add("", "99999999999999999999")
	f.Fuzz(func(t *testing.T, after, wait string) {
		call, err := parseWatch(after, wait)
		if err == nil && (call.after < 0 || call.wait < 0 || call.wait > MaxWait) {
			t.Errorf("accepted %+v", call)
		}
	})
}
