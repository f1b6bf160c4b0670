package loop

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// lifeCheckTimeout bounds the probe that tells whether the upstream ended under a run. The caller
// of the run waits for it.
const lifeCheckTimeout = 300 * time.Millisecond

// presumed is an end of the upstream that the next probe confirms or refutes.
type presumed struct {
	fingerprint uint64
	boot        int64
}

// runningBoot returns the boot number of the upstream to which a run is sent now, zero if that has
// ended: what is sent after the end has no part in it, though connections may still be accepted.
func (l *Loop) runningBoot() int64 {
	boot := l.boot.Load()
	if boot == l.endedBoot.Load() {
		return 0
	}
	return boot
}

// endOf returns the end of the incarnation of the upstream with the given boot number.
func (l *Loop) endOf(boot int64) magno.UpstreamEnd {
	return magno.NewUpstreamEnd(l.Pool, l.Self+"/"+strconv.FormatInt(boot, 10))
}

// recordIfEnded records that the upstream ended while it ran a job, if it did, and marks the
// refusal. An answer that broke off for another reason says nothing about the request. The regular
// probe would tell too late: by then, second attempts may have ended other upstreams.
func (l *Loop) recordIfEnded(ctx context.Context, job *magno.Job, boot int64, refusal *magno.Refusal) {
	if refusal == nil || refusal.Run != magno.RunUnknown || ctx.Err() != nil || l.Suspects == nil || job.Fingerprint == 0 || boot == 0 {
		return
	}
	if refusal.Kind != magno.KindInterrupted && refusal.Kind != magno.KindUnknown {
		return
	}
	now, err := l.probeLife()
	if err == nil && now == boot {
		return
	}
	if err != nil && errors.Is(err, context.DeadlineExceeded) {
		return // it hangs
	}
	l.endedBoot.Store(boot)
	end := l.endOf(boot)
	l.Suspects.RecordEnd(job.Fingerprint, end)
	refusal.Ended = &end
	l.Events.Add("suspect", job.ID, fmt.Sprintf("boot=%d now=%d ends=%d", boot, now, l.Suspects.Count(job.Fingerprint)))
	if err != nil {
		l.post(func() { l.presumed = append(l.presumed, presumed{fingerprint: job.Fingerprint, boot: boot}) })
	}
}

// probeLife returns the upstream's present boot number. Runs that broke at the same time share one
// probe.
func (l *Loop) probeLife() (int64, error) {
	boot, err, _ := l.lifeChecks.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lifeCheckTimeout)
		defer cancel()
		probe, err := l.Upstream.Probe(ctx)
		return probe.Boot, err
	})
	n, _ := boot.(int64)
	return n, err
}

// settlePresumed clears the requests of ends that didn't happen: the upstream that couldn't be
// reached is still the same. It runs on the loop's goroutine.
func (l *Loop) settlePresumed(boot int64) {
	l.endedBoot.CompareAndSwap(boot, 0)
	for _, p := range l.presumed {
		if p.boot == boot {
			l.Suspects.Retract(p.fingerprint, l.endOf(boot).Upstream)
		}
	}
	l.presumed = nil
}
