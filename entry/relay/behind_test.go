package relay

import (
	"net/http"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// Guards against a new route or key that is denied by an entry which knows that others have a later configuration, and
// hasn't received that yet, or which has just started from a listing that may be some seconds old.
func TestEntryThatIsBehindDeniesNothing(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		denied          int
	}{
		{"route", "/new/1", "", http.StatusNotFound},
		{"key", "/p/1", "Bearer new", http.StatusUnauthorized},
	} {
		for behind, learn := range map[string]func(*testProxy){
			"a peer's revision": func(s *testProxy) { s.Book.Compare(view.Digest{Revision: 5, Verified: true}, 0) },
			"an update over a gap": func(s *testProxy) {
				if err := s.Book.ApplyUpdate(view.Update{Since: 4, Revision: 5}); err == nil {
					t.Error("an update over a gap was applied")
				}
			},
		} {
			t.Run(c.name+" "+behind, func(t *testing.T) {
				s := newTestProxy(t, magno.RouteOnce, false, startUpstream(t, answerRequest))
				s.changes[0].Plan.Customers = []magno.Customer{{Name: "c", Weight: 1, Keys: []magno.Digest{magno.DigestOf("old")}}}
				status := func() int { return s.postStatus(t, c.path, c.key) }
				if got := status(); got != http.StatusServiceUnavailable {
					t.Errorf("status %d after a listing that may be old, want 503", got)
				}
				s.Book.RecordFreshness(1, s.bookClock.Now())
				if got := status(); got != c.denied {
					t.Errorf("status %d before, want %d", got, c.denied)
				}
				learn(s)
				if got := status(); got != http.StatusServiceUnavailable {
					t.Errorf("status %d while behind, want 503", got)
				}
				s.Book.ApplyRead(nil, 5, false)
				if got := status(); got != c.denied {
					t.Errorf("status %d afterwards, want %d", got, c.denied)
				}
			})
		}
	}
}

// postStatus returns the status of a request. One that may succeed later must have a Retry-After.
func (s *testProxy) postStatus(t *testing.T, path, key string) int {
	t.Helper()
	res, _, err := s.do(t, http.MethodPost, path, "1", key)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	return res.StatusCode
}
