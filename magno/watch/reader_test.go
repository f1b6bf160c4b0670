package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/pack"
)

// fakeService imitates the platform's configuration service.
type fakeService struct {
	mu       sync.Mutex
	values   map[string][]byte
	revision int64
	changed  chan struct{}
	// down makes it answer 503, rateLimited 429.
	down, rateLimited bool
	// frozenIndex, if set, is returned in place of the current index.
	frozenIndex []byte
	// keys, if set, are reported to watches in place of the index.
	keys  []string
	reads map[string]int
}

func newService(t *testing.T) (*fakeService, string) {
	s := &fakeService{values: map[string][]byte{}, changed: make(chan struct{}), reads: map[string]int{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	changed, after := s.changed, s.revision
	s.reads[strings.Split(req.URL.Path, "/")[2]]++
	down, rateLimited := s.down, s.rateLimited
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case rateLimited:
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusTooManyRequests)
	case req.URL.Path == "/v1/watch":
		if n, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64); n >= after {
			select {
			case <-changed:
			case <-req.Context().Done():
				return
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		keys := s.keys
		if keys == nil {
			keys = []string{pack.IndexKey}
		}
		_ = json.NewEncoder(w).Encode(watchResponse{Revision: s.revision, Keys: keys})
	default:
		key := strings.TrimPrefix(req.URL.Path, "/v1/value/")
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("X-Revision", strconv.FormatInt(s.revision, 10))
		value, ok := s.values[key]
		if key == pack.IndexKey && s.frozenIndex != nil {
			value, ok = s.frozenIndex, true
		}
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(value)
	}
}

func (s *fakeService) publish(t *testing.T, cfg *magno.Config) {
	t.Helper()
	values, err := pack.Pack(*cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.set(func() {
		for _, v := range values {
			s.values[v.Key] = v.Data
		}
	})
}

func (s *fakeService) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func testConfig(version int64, n int) *magno.Config {
	cfg := &magno.Config{
		Version:   version,
		Customers: []magno.Customer{{Name: "delta", Weight: 1}},
		Pools:     []magno.Pool{{Name: "read", Kind: magno.PoolEngine, Base: "llama"}},
	}
	for i := range n {
		name := fmt.Sprintf("a%d", i)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{"v1", "v2"}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: "v1"})
	}
	return cfg
}

// startReader runs a reader until the test ends.
func startReader(t *testing.T, url string) (*config.Store, *Reader) {
	store := &config.Store{}
	r := &Reader{URL: url, Store: store}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return store, r
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout while waiting for " + what)
		}
	}
}

// Each change must reach the store with the published content, and must cost no more
// reads than it has shards.
func TestFollowsChanges(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 1000))
	store, _ := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })
	if got, want := store.Current().Sum, config.NewSnapshot(testConfig(1, 1000)).Sum; got != want {
		t.Fatal("other content than published")
	}
	s.mu.Lock()
	first := s.reads["value"]
	s.mu.Unlock()
	cfg := testConfig(2, 1000)
	cfg.Profiles[7].Version = "v2"
	cfg.Customers[0].Weight = 3
	rosters := []magno.Roster{{Since: 1, Until: 2, Members: []string{"m"}}}
	cfg.Rosters = rosters
	s.publish(t, cfg)
	waitFor(t, "version 2", func() bool { return store.Version() == 2 })
	if store.Current().Sum != config.NewSnapshot(cfg).Sum {
		t.Fatal("other content than published")
	}
	s.mu.Lock()
	more := s.reads["value"] - first
	s.mu.Unlock()
	if more > 3 {
		t.Fatalf("a change of two shards cost %d reads", more)
	}
	cfg = testConfig(3, 500)
	cfg.Rosters = rosters
	s.publish(t, cfg)
	waitFor(t, "version 3", func() bool { return store.Version() == 3 })
	if store.Current().Sum != config.NewSnapshot(cfg).Sum || store.Current().Records != 1000 {
		t.Fatalf("other content than published, %d records", store.Current().Records)
	}
}

// The service is down, then rate limited, then available again. The last version must
// stay active, and the next one must be loaded without a restart.
func TestOutage(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 3))
	store, r := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })
	s.set(func() { s.down = true })
	waitFor(t, "notice of the outage", func() bool { return !r.Status().Reachable })
	s.set(func() { s.down, s.rateLimited = false, true })
	s.publish(t, testConfig(2, 3))
	if store.Version() != 1 {
		t.Fatalf("version %d", store.Version())
	}
	s.set(func() { s.rateLimited = false })
	waitFor(t, "version 2", func() bool { return store.Version() == 2 })
}

// A replica of the service returns to an old state and sends it to all readers. No reader
// may go back to the old version, or a retired adapter version would be served again.
func TestStaleIndexIsDropped(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 3))
	store, r := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })
	s.mu.Lock()
	old := s.values[pack.IndexKey]
	s.mu.Unlock()
	s.publish(t, testConfig(2, 4))
	waitFor(t, "version 2", func() bool { return store.Version() == 2 })
	s.set(func() { s.frozenIndex = old })
	waitFor(t, "the old index", func() bool { return r.Status().Version == 1 })
	if store.Version() != 2 {
		t.Fatalf("went back to version %d", store.Version())
	}
	s.set(func() { s.frozenIndex = nil })
	s.publish(t, testConfig(3, 4))
	waitFor(t, "version 3", func() bool { return store.Version() == 3 })
}

// Guards against a service that comes back from an older copy after an outage: the next version
// may have a revision that the reader has seen before, and then no watch reports it.
func TestIndexIsReadAfterAnOutage(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 3))
	store, r := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })
	s.set(func() { s.down = true })
	waitFor(t, "notice of the outage", func() bool { return !r.Status().Reachable })
	s.publish(t, testConfig(2, 3))
	s.set(func() { s.keys = []string{"other"} })
	s.set(func() { s.down = false })
	for end := time.Now().Add(watchTimeout.Duration() / 2); store.Version() != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the next version wasn't read")
		}
	}
}

// An operator publishes invalid versions: a profile without its adapter, and two shards
// with the same name in them. The last valid version must stay active, the reason must be
// reported, and the corrected version must be loaded.
func TestInvalidVersionIsRejected(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 300))
	store, _ := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })

	bad := testConfig(2, 300)
	bad.Profiles[5].Adapter = "none"
	s.publish(t, bad)
	waitFor(t, "refusal", func() bool { return store.Status().Refused != nil })
	if got := store.Status().Refused; got.Version != 2 || !strings.Contains(got.Reason, `there is no adapter "none"`) {
		t.Fatalf("got %+v", got)
	}

	values, _ := pack.Pack(*testConfig(3, 300))
	var index pack.Index
	plain, err := pack.Decompress(values[len(values)-1].Data, 1<<20)
	if err != nil || json.Unmarshal(plain, &index) != nil {
		t.Fatal("the index can't be decoded")
	}
	double := []byte(`{"customers": [{"name": "delta", "weight": 9}]}`)
	index.Shards = append(index.Shards, pack.Shard{Name: "more", Sum: pack.Checksum(double)})
	text, _ := json.Marshal(index)
	s.set(func() {
		for _, v := range values {
			s.values[v.Key] = v.Data
		}
		s.values[index.Shards[len(index.Shards)-1].Key()] = double
		s.values[pack.IndexKey] = text
	})
	waitFor(t, "refusal", func() bool { return store.Status().Refused.Version == 3 })
	if store.Version() != 1 || store.Current().Sum != config.NewSnapshot(testConfig(1, 300)).Sum {
		t.Fatalf("version %d is active", store.Version())
	}
	s.publish(t, testConfig(4, 300))
	waitFor(t, "version 4", func() bool { return store.Version() == 4 })
	if store.Status().Refused != nil {
		t.Fatal("the rejection is still reported")
	}
}

// A shard has other bytes than the index says, because a replica mixed two publications.
// The mixture must not become active, even if its records are valid, and the published
// version must.
func TestMixedShard(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 30))
	store, r := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })
	values, err := pack.Pack(*testConfig(2, 40))
	if err != nil {
		t.Fatal(err)
	}
	old, err := pack.Pack(*testConfig(2, 35))
	if err != nil {
		t.Fatal(err)
	}
	s.set(func() {
		for i, v := range values {
			s.values[v.Key] = v.Data
			if strings.Contains(v.Key, "profiles") {
				s.values[v.Key] = old[i].Data
			}
		}
	})
	waitFor(t, "notice of the wrong sum", func() bool { return strings.Contains(r.Status().Error, "sum") })
	if store.Version() != 1 {
		t.Fatalf("version %d is active", store.Version())
	}
	s.publish(t, testConfig(2, 40))
	waitFor(t, "version 2", func() bool { return store.Version() == 2 })
	if store.Current().Sum != config.NewSnapshot(testConfig(2, 40)).Sum {
		t.Fatal("other content than published")
	}
}

// Peers deliver a newer version before the service has it. The reader must neither go
// back nor miss the following version.
func TestPeersAhead(t *testing.T) {
	s, url := newService(t)
	s.publish(t, testConfig(1, 30))
	store, _ := startReader(t, url)
	waitFor(t, "version 1", func() bool { return store.Version() == 1 })
	if err := store.Load(testConfig(2, 31), nil, "peer"); err != nil {
		t.Fatal(err)
	}
	s.publish(t, testConfig(2, 31))
	s.publish(t, testConfig(3, 32))
	waitFor(t, "version 3", func() bool { return store.Version() == 3 })
	if store.Current().Sum != config.NewSnapshot(testConfig(3, 32)).Sum {
		t.Fatal("other content than published")
	}
	if err := store.Load(testConfig(2, 31), nil, "peer"); !errors.Is(err, config.ErrOld) {
		t.Fatalf("got %v", err)
	}
}
