// Package watch reads the configuration from the platform's service.
//
//	watch --change--> index --changed shards--> next version --> store
//
// With 54,000 changes a day over some thousand shards, a reader waits in one long poll,
// then reads the index and only the shards whose checksums changed. If 44 readers polled
// a thousand shards each second instead, they would need twenty times the service's limit
// of 2,000 reads a second.
//
// The service may be down, rate limited or stale for long. Retries use exponential
// backoff with jitter, an older index is ignored, and the current version stays active.
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

const (
	// watchTimeout is how long one watch waits. The index is then read anyway,
	// so a lost notification delays a change by half a minute at most.
	watchTimeout = 30 * magno.Second
	// minBackoff and maxBackoff limit the wait after failures. The maximum lets a reader
	// notice within seconds that the service has recovered.
	minBackoff = 100 * magno.Millis(1)
	maxBackoff = 5 * magno.Second
	// minWatchInterval is the shortest time between two watches that returned no change.
	minWatchInterval = 200 * magno.Millis(1)
	// maxReadsPerSecond and readBurst limit one reader. 44 readers together stay within
	// five times the service's rate limit even in the first second; after that its 429
	// responses slow them down.
	maxReadsPerSecond = 200
	readBurst         = 50
	maxParallelReads  = 8
	// loadGCPercent is the GOGC setting while a full version is read.
	loadGCPercent = 50
	// maxKeptTextBytes limits the shard texts kept to locate faults in them.
	maxKeptTextBytes = 8 << 20
	// flushRecords is the number of adapters and profiles collected before they are added
	// to the next version. It limits the memory used while a full version is read.
	flushRecords = 8192
)

// Reader reads versions into a store. Exported fields are set before Run.
type Reader struct {
	// URL is the base URL of the service, without a path.
	URL   string
	Store *config.Store
	// Client may be nil; its timeout must be longer than watchTimeout.
	Client *http.Client
	Clock  *magno.Clock
	Log    *slog.Logger
	// Metrics may be nil.
	Metrics *metrics.Set

	once         sync.Once
	limiter      *rate.Limiter
	reads        *metrics.Counter
	bytes        *metrics.Counter
	failures     *metrics.Counter
	staleIndexes *metrics.Counter

	// The fields below are used only by Run.

	// revision is the revision after which the next watch waits for changes; if negative,
	// the index is read first.
	revision int64
	// base is the last version that was read completely, and shards holds its shards by
	// name.
	base   *config.Snapshot
	shards map[string]shard
	// rejectedVersion is the last version that was rejected.
	rejectedVersion int64

	mu     sync.Mutex
	status Status
}

// Status describes the reader for operators.
type Status struct {
	// Reachable is false while requests to the service fail.
	Reachable bool `json:"reachable"`
	// LastSuccess is when the service last answered successfully.
	LastSuccess magno.Millis `json:"last"`
	// Version is the version of the last index that was read.
	Version int64  `json:"version"`
	Error   string `json:"error,omitempty"`
}

// Name returns the name of the task.
func (r *Reader) Name() string { return "reader" }

func (r *Reader) init() {
	r.once.Do(func() {
		if r.Log == nil {
			r.Log = slog.New(slog.DiscardHandler)
		}
		if r.Client == nil {
			r.Client = &http.Client{Timeout: (watchTimeout + 5*magno.Second).Duration()}
		}
		if r.Metrics == nil {
			r.Metrics = metrics.NewSet()
		}
		r.limiter = rate.NewLimiter(maxReadsPerSecond, readBurst)
		r.reads = r.Metrics.GetOrCreateCounter("watch_reads_total")
		r.bytes = r.Metrics.GetOrCreateCounter("watch_bytes_total")
		r.failures = r.Metrics.GetOrCreateCounter("watch_failures_total")
		r.staleIndexes = r.Metrics.GetOrCreateCounter("watch_stale_total")
		r.base = config.Empty()
	})
}

// Run reads until ctx ends. It may be called again later and continues from the known
// state, so a process can take over and give up the role of reader.
func (r *Reader) Run(ctx context.Context) error {
	r.init()
	r.revision = -1
	backoff := minBackoff
	for ctx.Err() == nil {
		err := r.poll(ctx)
		r.recordResult(ctx, err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		// The jitter keeps readers that failed at the same time from retrying at the same
		// time.
		wait := backoff/2 + magno.Millis(rand.Int64N(int64(backoff/2)+1)) //nolint:gosec // jitter
		var busy *rateLimitError
		if errors.As(err, &busy) {
			wait = max(wait, busy.wait)
		} else {
			// The service may come back from an older copy and give out revisions again.
			r.revision = -1
		}
		magno.Sleep(ctx, wait)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// Status returns the state of the reader.
func (r *Reader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// recordResult records the result of a poll in status, log and metrics.
func (r *Reader) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wasReachable := r.status.Reachable
	r.status.Reachable = err == nil
	if err == nil {
		r.status.LastSuccess, r.status.Error = r.Clock.Now(), ""
		if !wasReachable {
			r.Log.Info("platform reachable", "service", "configuration")
		}
		return
	}
	r.failures.Inc()
	r.status.Error = err.Error()
	if wasReachable || r.status.LastSuccess == 0 {
		r.Log.Warn("platform unreachable", "service", "configuration", "error", err)
	}
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Revision int64    `json:"revision"`
	Keys     []string `json:"keys"`
}

// poll waits for a change and then reads the index. The first poll reads it at once.
func (r *Reader) poll(ctx context.Context) error {
	if r.revision >= 0 {
		changed, err := r.waitForChange(ctx)
		if err != nil || !changed {
			return err
		}
	}
	return r.readIndex(ctx)
}

// waitForChange reports whether the index has to be read.
func (r *Reader) waitForChange(ctx context.Context) (bool, error) {
	startedAt := r.Clock.Now()
	query := "/v1/watch?after=" + strconv.FormatInt(r.revision, 10) + "&wait=" + strconv.FormatInt(int64(watchTimeout), 10)
	data, _, err := r.get(ctx, query)
	if err != nil {
		return false, err
	}
	var response watchResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return false, errors.Wrap(err, "watch")
	}
	if response.Revision < r.revision {
		// The service answered from a lagging replica or was reset. The index shows
		// which; until then its watch may return at once, again and again.
		magno.Sleep(ctx, minWatchInterval)
		r.revision = response.Revision
		return true, nil
	}
	r.revision = response.Revision
	for _, k := range response.Keys {
		if k == pack.IndexKey {
			return true, nil
		}
	}
	if len(response.Keys) == 0 && r.Clock.Now()-startedAt < minWatchInterval {
		magno.Sleep(ctx, minWatchInterval)
	}
	return len(response.Keys) == 0, nil
}

// readIndex reads the index and loads its version.
func (r *Reader) readIndex(ctx context.Context) error {
	startedAt := r.Clock.Now()
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
	current := r.Store.Version()
	switch {
	case index.Version < max(current, r.base.Version):
		r.staleIndexes.Inc()
		r.Log.Warn("older index ignored", "version", index.Version, "kept", current)
		return nil
	case index.Version == r.base.Version || index.Version == r.rejectedVersion:
		r.Store.Confirm(index.Version, startedAt)
		return nil
	}
	return r.loadVersion(ctx, &index, startedAt)
}

// loadVersion reads the changed shards and installs the version in the store.
func (r *Reader) loadVersion(ctx context.Context, index *pack.Index, startedAt magno.Millis) error {
	if r.base.Records == 0 {
		// The first load reads all shards at once. With the default GOGC, a reader of
		// 130,000 adapters would have a heap of 140 MB for some seconds.
		defer debug.SetGCPercent(debug.SetGCPercent(loadGCPercent))
	}
	b, err := r.buildVersion(ctx, index)
	if err != nil {
		return err
	}
	if len(b.faults) > 0 {
		r.rejectedVersion = index.Version
		_ = r.Store.Reject(index.Version, r.Name(), b.faults) // the store logs and reports it
		return nil
	}
	err = r.Store.Install(b.next, b.shardTexts, r.Name())
	if err != nil && !errors.Is(err, config.ErrOld) {
		r.rejectedVersion = index.Version
		return nil
	}
	r.base, r.shards = b.next, b.shards
	r.Store.Confirm(index.Version, startedAt)
	return nil
}

// appendText adds the text of a shard, or drops all texts if they are larger than
// maxKeptTextBytes together.
func appendText(texts []check.Shard, size int, s check.Shard) []check.Shard {
	if size > maxKeptTextBytes {
		return nil
	}
	return append(texts, s)
}
