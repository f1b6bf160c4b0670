// Package reads polls the platform's list and watches it for changes while this process is
// one of its readers.
//
//	platform --All, Wait--> Run --> Book, and Broadcast to the other entries
//
// Load pattern: the platform counts each call of each process, also while a watch is
// waiting. Two readers therefore update the others; a process reads the list itself only
// if it receives no updates.
package reads

import (
	"context"
	"log/slog"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

const (
	// watchTimeout is the length of a watch. An answer without changes confirms that the
	// known state is still the newest.
	watchTimeout = maxWatchLag
	// maxWatchLag is how long a watch may miss changes before the list ends it. A shorter
	// watch therefore confirms the state only as of a time before its call, earlier by the
	// difference.
	maxWatchLag = 1100 * magno.Millis(1)
	// shortWatchTimeout is the length of a watch if the known state hasn't been confirmed
	// for longer than shortWatchAfter.
	shortWatchTimeout = 100 * magno.Millis(1)
	shortWatchAfter   = 2 * magno.Second
	// watchPause is the pause between two watches. While upstreams load adapters the list
	// changes several times a second, and one answer then holds all changes of the pause.
	watchPause = 500 * magno.Millis(1)
	// restartPause is that pause after an answer that names new incarnations, up to maxRestartPauses
	// times in each restartWindow. After a loss of power all engines register within a second or
	// two, one after the other, and requests are refused until entries know them. The bound is for
	// fleets that replace upstreams all the time, since the platform charges each call.
	restartPause     = 100 * magno.Millis(1)
	maxRestartPauses = 10
	restartWindow    = 10 * magno.Second
	// minBackoff is the pause after a failed call; it doubles up to maxBackoff. The
	// platform counts refused calls as well, and an outage lasts for seconds.
	minBackoff      = 100 * magno.Millis(1)
	maxBackoff      = 800 * magno.Millis(1)
	maxBackoffSteps = 3
	// checkInterval is how often a process that doesn't read checks whether it should.
	checkInterval = 100 * magno.Millis(1)
	// lostAfterFailures is the number of consecutive failed calls after which a reader
	// reports the list as unreachable.
	lostAfterFailures = 2
)

// Reader reads the list. Fields are set before Run.
type Reader struct {
	List magno.Lister
	Book *view.Store
	// ShouldRead reports whether this process is to read the list now.
	ShouldRead func() bool
	// IsReader reports whether the other entries rely on this one to read the list. It may be
	// nil, for no.
	IsReader func() bool
	// Broadcast sends what was read to the other entries. It must not block.
	Broadcast func(n view.Update)
	// ReportReachable is called with whether the list answers this process.
	ReportReachable func(bool)
	// FreshFirst makes the first read a consistent one, which confirms that its result is
	// the newest. It costs the platform more.
	FreshFirst bool
	Log        *slog.Logger

	failures int
	backoff  magno.Millis
	// readAll is true if the whole list must be read again, readFresh if that read must
	// not be stale: the changes since a stale state are no longer available.
	readAll, readFresh bool
	// gapAfter is the known revision after which the list has no changes any more, gaps how
	// often in a row that was so. The whole list is read unless a peer has sent later changes.
	gapAfter magno.Revision
	gaps     int

	// restartPauses counts the short pauses since restartsAt.
	restartPauses int
	restartsAt    magno.Millis

	callCount     *metrics.Counter
	failureCount  *metrics.Counter
	listingCount  *metrics.Counter
	backwardCount *metrics.Counter
}

// Name implements magno.Task.
func (r *Reader) Name() string { return "reads" }

// Run reads the list until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.init()
	for ctx.Err() == nil {
		r.Book.Tick()
		pause := checkInterval
		if r.isDue() {
			pause = r.poll(ctx)
		}
		magno.Sleep(ctx, pause)
	}
	return nil
}

func (r *Reader) init() {
	r.callCount = metrics.GetOrCreateCounter("list_calls_total")
	r.failureCount = metrics.GetOrCreateCounter("list_failures_total")
	r.listingCount = metrics.GetOrCreateCounter("list_full_reads_total")
	r.backwardCount = metrics.GetOrCreateCounter("list_backward_reads_total")
	r.readAll, r.readFresh = true, r.FreshFirst
}

// isDue reports whether the list is to be read now.
func (r *Reader) isDue() bool {
	snap := r.Book.Current()
	should := r.ShouldRead()
	if r.readAll && snap.Plan != nil && (!should || snap.Revision > r.gapAfter) {
		r.readAll, r.readFresh = false, false // a peer sent it
	}
	if should && !r.readAll && r.IsReader != nil && r.IsReader() && !r.Book.Digest().Verified {
		// What others follow must not go back to a stale listing.
		r.readAll, r.readFresh, r.gapAfter = true, true, snap.Revision
	}
	return r.readAll || should || r.Book.MustRead()
}

// poll makes one call and returns the pause until the next.
func (r *Reader) poll(ctx context.Context) magno.Millis {
	r.callCount.Inc()
	since, calledAt := r.Book.Current().Revision, r.Book.Clock.Now()
	var changes []magno.Change
	var revision magno.Revision
	var err error
	readAll, readFresh, wait := r.readAll, r.readFresh, r.watchLength()
	if readAll {
		changes, revision, err = r.List.All(ctx, readFresh)
	} else {
		changes, revision, err = r.List.Wait(ctx, since, wait)
	}
	if ctx.Err() != nil {
		return 0
	}
	if errors.IsAny(err, magno.ErrCompacted, magno.ErrRestored) {
		return r.recordGap(err, since)
	}
	if err != nil {
		return r.recordFailure(err)
	}
	r.recordSuccess()
	known := r.Book.Current().Revision
	if readAll {
		r.logListing(known, revision, readFresh, len(changes))
	}
	if readAll && !readFresh && known > 0 && known.Era() < revision.Era() {
		return r.recordGap(magno.ErrRestored, since) // it may be older than the restore
	}
	r.readAll, r.readFresh = false, false
	restarts := namesIncarnation(r.Book.Current(), changes)
	var update view.Update
	if readFresh {
		update = r.Book.ApplyConsistent(changes, revision)
	} else {
		update = r.Book.ApplyRead(changes, revision, readAll)
	}
	switch {
	case !readAll:
		r.gaps = 0
		r.Book.RecordFreshness(revision, calledAt-(maxWatchLag-wait))
	case readFresh:
		r.Book.RecordFreshness(revision, calledAt)
	}
	if !readAll || update.Since < update.Revision {
		// After a loss of power everywhere, every process reads the whole list. If each of
		// them then broadcast it and all others fetched it, small machines would have no
		// capacity left. After a restore of the list, few read it and the update is small.
		r.Broadcast(update)
	}
	if len(changes) == 0 || readAll {
		return 0
	}
	if restarts && r.takeRestartPause() {
		return restartPause
	}
	return watchPause
}

// namesIncarnation reports whether changes name an upstream, or an incarnation of one, that isn't known.
func namesIncarnation(known *view.Snapshot, changes []magno.Change) bool {
	return slices.ContainsFunc(changes, func(c magno.Change) bool {
		return c.Replica != nil && !c.Replica.Leaving && known.Find(c.Replica.Key()) == nil
	})
}

// takeRestartPause returns false if no more short pauses are left in the present window.
func (r *Reader) takeRestartPause() bool {
	if now := r.Book.Clock.Now(); r.restartPauses == 0 || now-r.restartsAt >= restartWindow {
		r.restartPauses, r.restartsAt = 0, now
	}
	if r.restartPauses == maxRestartPauses {
		return false
	}
	r.restartPauses++
	return true
}

// watchLength returns the length of the next watch.
func (r *Reader) watchLength() magno.Millis {
	if r.Book.Staleness() > shortWatchAfter {
		return shortWatchTimeout
	}
	return watchTimeout
}

// recordGap prepares to read the whole list, for its changes since a revision can't be had any
// more, and returns the pause until then. A peer may send them before that.
func (r *Reader) recordGap(err error, since magno.Revision) magno.Millis {
	r.recordSuccess() // the list answers
	r.Log.Info("reading the whole list", "why", err, "rev", since)
	r.readAll, r.readFresh, r.gapAfter = true, true, since
	r.gaps++
	if r.gaps == 1 {
		return 0
	}
	return min(minBackoff<<min(r.gaps-2, maxBackoffSteps), maxBackoff)
}

// logListing logs a read of the whole list. A fresh one of a lower revision, or of a later era,
// means that the list itself went back.
func (r *Reader) logListing(known, revision magno.Revision, fresh bool, items int) {
	r.listingCount.Inc()
	level := slog.LevelInfo
	if fresh && known > 0 && (revision < known || revision.Era() != known.Era()) {
		r.backwardCount.Inc()
		level = slog.LevelWarn
	}
	r.Log.Log(context.Background(), level, "list read", "rev", revision, "known", known, "fresh", fresh, "items", items)
}

func (r *Reader) recordFailure(err error) magno.Millis {
	r.failureCount.Inc()
	r.Book.RecordFailure()
	r.failures++
	r.backoff = min(max(r.backoff*2, minBackoff), maxBackoff)
	if r.failures == lostAfterFailures {
		r.Log.Warn("list lost", "error", err, "age", r.Book.Age(), "revision", r.Book.Current().Revision)
		r.ReportReachable(false)
	}
	return r.backoff
}

func (r *Reader) recordSuccess() {
	if r.failures >= lostAfterFailures {
		r.Log.Info("list back", "failed", r.failures, "age", r.Book.Age())
	}
	r.failures, r.backoff = 0, 0
	r.ReportReachable(true)
}
