// Package reads follows the platform's list for as long as this process is one
// of its readers.
//
//	platform --All, Wait--> Run --> Book, and Push to the other entries
//
// Load pattern: the platform counts each call of each process, a waiting one
// too. Two readers tell the others; a process reads by itself only when nobody
// tells it anything.
package reads

import (
	"context"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

const (
	// waitFor is how long a watch waits. An answer without changes confirms
	// that what is known is still the newest.
	waitFor = deaf
	// deaf is how long watches may miss changes before the list ends them, so a watch
	// that waited for less vouches only for the time before that.
	deaf = 1100 * magno.Millis(1)
	// soon is how long a watch waits where nothing has vouched for what is known for
	// longer than unsure.
	soon   = 100 * magno.Millis(1)
	unsure = 2 * magno.Second
	// gap is the pause between two watches. While upstreams load adapters the
	// list changes several times a second, and one answer then holds all
	// changes of the pause.
	gap = 500 * magno.Millis(1)
	// firstBack is the pause after a failed call; it doubles up to lastBack.
	// Refused calls count as well, and an outage lasts for seconds.
	firstBack = 100 * magno.Millis(1)
	lastBack  = 800 * magno.Millis(1)
	// look is how often a process that doesn't read looks whether it should.
	look = 100 * magno.Millis(1)
	// tired is how many failed calls in a row make a reader step back.
	tired = 2
)

// Reads is the duty. Fields are set before Run.
type Reader struct {
	List magno.Lister
	Book *view.Store
	// Mine tells whether this process is to read now.
	ShouldRead func() bool
	// Push tells the other entries what was read. It must not block.
	Broadcast func(n view.Update)
	// Able is told whether the list answers this process.
	ReportReachable func(bool)
	// Fresh is true where the first reading must vouch for what it brings. It costs
	// the platform more.
	FreshFirst bool
	Log        *slog.Logger

	failed int
	back   magno.Millis
	// whole is true when everything must be read again, fresh when it must not
	// be old: the changes since an old state are gone.
	whole, fresh bool
	calls        *metrics.Counter
	fails        *metrics.Counter
}

// Name implements magno.Duty.
func (r *Reader) Name() string { return "reads" }

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.calls = metrics.GetOrCreateCounter("list_calls_total")
	r.fails = metrics.GetOrCreateCounter("list_failures_total")
	r.whole, r.fresh = true, r.FreshFirst
	for ctx.Err() == nil {
		r.Book.Tick()
		if !r.whole && !r.ShouldRead() {
			magno.Pause(ctx, look)
			continue
		}
		if r.whole && !r.ShouldRead() && r.Book.Current().Plan != nil {
			r.whole = false // a peer told everything
			continue
		}
		magno.Pause(ctx, r.round(ctx))
	}
	return nil
}

// round makes one call and returns the pause until the next.
func (r *Reader) round(ctx context.Context) magno.Millis {
	r.calls.Inc()
	before, asked := r.Book.Current().Revision, r.Book.Clock.Now()
	var changes []magno.Change
	var revision int64
	var err error
	whole, fresh, wait := r.whole, r.fresh, r.wait()
	if whole {
		changes, revision, err = r.List.All(ctx, fresh)
	} else {
		changes, revision, err = r.List.Wait(ctx, before, wait)
	}
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, magno.ErrCompacted) {
		r.Log.Info("list", "compacted", true, "revision", before)
		r.whole, r.fresh = true, true
		return 0
	}
	if err != nil {
		return r.miss(err)
	}
	r.hit()
	r.whole, r.fresh = false, false
	news := r.Book.ApplyRead(changes, revision, whole)
	switch {
	case !whole:
		r.Book.RecordFreshness(revision, asked-(deaf-wait))
	case fresh:
		r.Book.RecordFreshness(revision, asked)
	}
	if !whole {
		// After a loss of all power every process reads the whole list. If each
		// then called all others to fetch it, small machines would do nothing else.
		r.Broadcast(news)
	}
	if len(changes) == 0 || whole {
		return 0
	}
	return gap
}

// wait is how long the next watch waits.
func (r *Reader) wait() magno.Millis {
	if r.Book.Staleness() > unsure {
		return soon
	}
	return waitFor
}

func (r *Reader) miss(err error) magno.Millis {
	r.fails.Inc()
	r.Book.RecordFailure()
	r.failed++
	r.back = min(max(r.back*2, firstBack), lastBack)
	if r.failed == tired {
		r.Log.Warn("list lost", "error", err, "age", r.Book.Age(), "revision", r.Book.Current().Revision)
		r.ReportReachable(false)
	}
	return r.back
}

func (r *Reader) hit() {
	if r.failed >= tired {
		r.Log.Info("list back", "failed", r.failed, "age", r.Book.Age())
	}
	r.failed, r.back = 0, 0
	r.ReportReachable(true)
}
