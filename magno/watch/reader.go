// Package watch reads the configuration from the platform's service.
//
//	watch --change--> index --changed shards--> next version --> store
//
// The load is 54,000 changes a day over some thousand shards: a reader waits
// in one long call, then reads the index and only the shards whose sums
// changed. Without that, 44 readers that polled a thousand shards each second
// would use the service's 2,000 reads a second twenty times over.
//
// The service may be down, over its rate or stale for long. Each failure
// doubles a wait with jitter; an older index is dropped; what is in force stays
// in force.
package watch

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/pack"
)

// Figures of a reader.
const (
	// waitLimit is how long one watch waits; then the index is read anyhow,
	// so that a lost wake-up costs half a minute at most.
	waitLimit = 30 * magno.Second
	// firstPause and lastPause bound the wait after failures. The last one
	// keeps a reader within seconds of a service that came back.
	firstPause = 100 * magno.Millis(1)
	lastPause  = 5 * magno.Second
	// spinPause is the least time between two watches that brought nothing.
	spinPause = 200 * magno.Millis(1)
	// readRate and readBurst bound one reader: 44 of them together stay
	// within five times the service's rate even in the first second, and its
	// 429 slows them from there.
	readRate  = 200
	readBurst = 50
	// abreast is how many shards are read at once.
	abreast = 8
	// loadPercent is GOGC while a whole version is read.
	loadPercent = 50
	// keepTexts is how many bytes of shards are kept to place faults.
	keepTexts = 8 << 20
	// flushRecords is how many records are gathered before they are put into
	// the next version; it bounds memory while a whole version is read.
	flushRecords = 8192
)

// Reader reads versions into a store. Fields are set before Run.
type Reader struct {
	// URL is the service, up to its path.
	URL   string
	Store *config.Store
	// Client may be nil; its timeout must be over waitLimit.
	Client *http.Client
	Clock  *magno.Clock
	Log    *slog.Logger
	// Metrics may be nil.
	Metrics *metrics.Set

	once    sync.Once
	limiter *rate.Limiter
	reads   *metrics.Counter
	bytes   *metrics.Counter
	fails   *metrics.Counter
	stale   *metrics.Counter

	// The fields below belong to Run.

	// revision is what the next watch is after; negative means that the index
	// is to be read first.
	revision int64
	// base is the last version that was read whole; shards says what it was
	// made of.
	base   *config.Snapshot
	shards map[string]shard
	// bad is the last version that was refused.
	bad int64

	mu     sync.Mutex
	status Status
}

// Status describes the reader for operators.
type Status struct {
	// Reachable is false while calls to the service fail.
	Reachable bool `json:"reachable"`
	// Last is when the service last answered.
	LastSuccess magno.Millis `json:"last"`
	// Version is the newest that the service showed.
	Version int64  `json:"version"`
	Error   string `json:"error,omitempty"`
}

// Name returns the duty's name.
func (r *Reader) Name() string { return "reader" }

func (r *Reader) init() {
	r.once.Do(func() {
		if r.Log == nil {
			r.Log = slog.New(slog.DiscardHandler)
		}
		if r.Client == nil {
			r.Client = &http.Client{Timeout: (waitLimit + 5*magno.Second).Span()}
		}
		if r.Metrics == nil {
			r.Metrics = metrics.NewSet()
		}
		r.limiter = rate.NewLimiter(readRate, readBurst)
		r.reads = r.Metrics.GetOrCreateCounter("watch_reads_total")
		r.bytes = r.Metrics.GetOrCreateCounter("watch_bytes_total")
		r.fails = r.Metrics.GetOrCreateCounter("watch_failures_total")
		r.stale = r.Metrics.GetOrCreateCounter("watch_stale_total")
		r.base = config.Empty()
	})
}

// Run reads until ctx ends. It may be run again later and goes on from what it
// knew, so that a process can take the role up and lay it down.
func (r *Reader) Run(ctx context.Context) error {
	r.init()
	r.revision = -1
	pause := firstPause
	for ctx.Err() == nil {
		err := r.round(ctx)
		r.note(ctx, err)
		if err == nil {
			pause = firstPause
			continue
		}
		// Readers that failed together must not come back together.
		wait := pause/2 + magno.Millis(rand.Int64N(int64(pause/2)+1)) //nolint:gosec // jitter
		var busy *busyError
		if errors.As(err, &busy) {
			wait = max(wait, busy.after)
		}
		magno.Pause(ctx, wait)
		pause = min(2*pause, lastPause)
	}
	return nil
}

// Status describes the reader.
func (r *Reader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// note keeps the outcome of a round for status, log and metric.
func (r *Reader) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.status.Reachable
	r.status.Reachable = err == nil
	if err == nil {
		r.status.LastSuccess, r.status.Error = r.Clock.Now(), ""
		if !was {
			r.Log.Info("platform reachable", "service", "configuration")
		}
		return
	}
	r.fails.Inc()
	r.status.Error = err.Error()
	if was || r.status.LastSuccess == 0 {
		r.Log.Warn("platform unreachable", "service", "configuration", "error", err)
	}
}

// news is the answer of a watch.
type news struct {
	Revision int64    `json:"revision"`
	Keys     []string `json:"keys"`
}

// round waits for a change and reads the index when there is one. The first
// round reads it at once.
func (r *Reader) round(ctx context.Context) error {
	if r.revision >= 0 {
		changed, err := r.watch(ctx)
		if err != nil || !changed {
			return err
		}
	}
	return r.index(ctx)
}

// watch returns true when the index is to be read.
func (r *Reader) watch(ctx context.Context) (bool, error) {
	began := r.Clock.Now()
	query := "/v1/watch?after=" + strconv.FormatInt(r.revision, 10) + "&wait=" + strconv.FormatInt(int64(waitLimit), 10)
	data, _, err := r.get(ctx, query)
	if err != nil {
		return false, err
	}
	var n news
	if err := json.Unmarshal(data, &n); err != nil {
		return false, errors.Wrap(err, "watch")
	}
	if n.Revision < r.revision {
		// A replica that lags, or a service that began anew. The index tells;
		// meanwhile its watch may answer at once, again and again.
		magno.Pause(ctx, spinPause)
		r.revision = n.Revision
		return true, nil
	}
	r.revision = n.Revision
	for _, k := range n.Keys {
		if k == pack.IndexKey {
			return true, nil
		}
	}
	if len(n.Keys) == 0 && r.Clock.Now()-began < spinPause {
		magno.Pause(ctx, spinPause)
	}
	return len(n.Keys) == 0, nil
}

// index reads the index and takes the version that it names.
func (r *Reader) index(ctx context.Context) error {
	began := r.Clock.Now()
	data, revision, err := r.get(ctx, "/v1/value/"+pack.IndexKey)
	if err != nil {
		return err
	}
	if r.revision < 0 {
		r.revision = revision
	}
	if data, err = pack.Decompress(data, check.MaxShardBytes); err != nil {
		return err
	}
	var index pack.Index
	if err := json.Unmarshal(data, &index); err != nil {
		return errors.Wrap(err, "index")
	}
	r.mu.Lock()
	r.status.Version = index.Version
	r.mu.Unlock()
	force := r.Store.Version()
	switch {
	case index.Version < max(force, r.base.Version):
		r.stale.Inc()
		r.Log.Warn("older index dropped", "version", index.Version, "kept", force)
		return nil
	case index.Version == r.base.Version || index.Version == r.bad:
		r.Store.Confirm(index.Version, began)
		return nil
	}
	return r.take(ctx, &index, began)
}

// take reads what changed and offers the next version to the store.
func (r *Reader) take(ctx context.Context, index *pack.Index, began magno.Millis) error {
	if r.base.Records == 0 {
		// All shards come at once. With the usual setting a reader of 130,000
		// adapters would have a heap of 140 MB for some seconds.
		defer debug.SetGCPercent(debug.SetGCPercent(loadPercent))
	}
	l, err := r.load(ctx, index)
	if err != nil {
		return err
	}
	if len(l.faults) > 0 {
		r.bad = index.Version
		_ = r.Store.Reject(index.Version, r.Name(), l.faults) // logged and shown by the store
		return nil
	}
	err = r.Store.Install(l.next, l.texts, r.Name())
	if err != nil && !errors.Is(err, config.ErrOld) {
		r.bad = index.Version
		return nil
	}
	r.base, r.shards = l.next, l.shards
	r.Store.Confirm(index.Version, began)
	return nil
}

// texts of shards that are small enough together, to place faults.
func keep(texts []check.Shard, size int, s check.Shard) []check.Shard {
	if size > keepTexts {
		return nil
	}
	return append(texts, s)
}
