package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// The waits of the first seconds after a loss of power. Engines come back one after the other as new
// incarnations, and each entry learns of them up to a second later. A request that is refused meanwhile
// returns together with all others, though most of its time is still left.
//
//	permit refused: later incarnation --> waitForList: the list changes here --> choose again
//	no engine is usable, some are listed --> waitForUpstream: one is usable --> attempt again
//	no configuration yet --> waitForConfig --> prepare
//
// Each wait ends when the caller leaves. It is bounded in time, and so is the number of waiting
// requests.
const (
	// maxListWait bounds the wait for the list: a fetch from a peer takes a round trip between data
	// centres, and a second one if the first peer is gone.
	maxListWait = 300 * magno.Millis(1)
	// maxRenewals bounds how often a request waits for the list: an engine may restart twice within
	// a second.
	maxRenewals = 2
	// upstreamWaitDivisor is the part of the latency target that a request waits for an upstream
	// in total. The rest is needed for an adapter load, the prompt and the first event.
	upstreamWaitDivisor = 4
	// maxConfigWait bounds the wait for the first configuration, which a process that starts beside
	// others has within a fraction of a second. The route and its timeout aren't known yet.
	maxConfigWait = 300 * magno.Millis(1)
	// maxConfigWaiting bounds the requests that wait for it. Each holds a connection, but no body.
	maxConfigWaiting = 256
)

// waitCounts counts waiting requests by service.
type waitCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

// enter counts one more request unless limit requests wait. The caller calls leave afterwards.
func (c *waitCounts) enter(service string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[service] >= limit {
		return false
	}
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[service]++
	return true
}

func (c *waitCounts) leave(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[service]--
}

// enterWaiting counts the request among those that wait. All entries together let as many wait as
// the listed engines have request slots: more would only be refused by agents when they come back.
// Engines that the request may have reached don't count, since it isn't sent to them again.
func (j *job) enterWaiting() bool {
	slots, _ := j.Pools.Listed(j.service.Name)
	if j.arrived {
		for _, r := range j.findReplicas(j.tried) {
			slots -= r.Slots
		}
	}
	if slots <= 0 {
		return false
	}
	entries := 1
	if j.Entries != nil {
		entries = max(j.Entries(), 1)
	}
	return j.waiting.enter(j.service.Name, max(slots/entries, 1))
}

// recordUnusable records whether a refusal only says that the engine can't be used yet, and whether
// a newer list names another incarnation.
func (j *job) recordUnusable(key string, reply *gate.PermitReply) {
	status, snap := &reply.Status, j.Book.Current()
	superseded := status.Replica != "" && status.Replica != key
	switch {
	case snap.Find(key) == nil:
		j.newer = snap.Revision // the list has changed while the request was asked for
	case superseded && status.Revision > snap.Revision:
		j.newer = status.Revision
	}
	if reply.Refusal == nil {
		return
	}
	switch reply.Refusal.Kind {
	case magno.KindNoUpstream, magno.KindStarting:
	case magno.KindLeaving: // the agent, not the engine
		j.answered = j.answered || !status.Leaving
	default:
		j.answered = true
	}
}

// findsNone reports whether an attempt ended because no engine can be used at present: none was chosen,
// no agent decided on the request, or as many engines as are tried refuse connections.
func (j *job) findsNone(res result) bool {
	switch res {
	case resultRefused:
		return !j.answered
	case resultUnsent:
		return !j.arrived && len(j.tried) >= maxReplicasTried
	}
	return false
}

// waitForList waits for the entry's list to reach the revision that names a later incarnation, which
// the permit client has fetched. It returns false if the request is to continue without it. With other
// replicas left to ask, it waits no longer than for an upstream.
func (j *job) waitForList(ctx context.Context, others bool) bool {
	if j.renewals == maxRenewals {
		return false
	}
	j.renewals++
	start := j.Clock.Now()
	limit := min(maxListWait, j.patience(start))
	if others {
		limit = min(limit, j.route.Aim/upstreamWaitDivisor)
	}
	if limit <= 0 || !j.enterWaiting() {
		return false
	}
	defer j.waiting.leave(j.service.Name)
	defer func() { j.upstreamWait += j.Clock.Now() - start }()
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	for {
		changed := j.Book.Changed()
		if j.Book.Current().Revision >= j.newer {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// waitForUpstream waits until an engine may have become usable, if some are listed. It returns false if
// the request is to be refused. Requests for one build don't wait: it may be gone for good.
func (j *job) waitForUpstream(ctx context.Context, usable <-chan struct{}) bool {
	start := j.Clock.Now()
	limit := min(j.route.Aim/upstreamWaitDivisor-j.upstreamWait, j.patience(start))
	if limit <= 0 || j.requiredBuild() != "" || !j.enterWaiting() {
		return false
	}
	defer j.waiting.leave(j.service.Name)
	metrics.GetOrCreateCounter("waited_for_upstream_total").Inc()
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	defer func() { j.upstreamWait += max(j.Clock.Now()-start, 1) }()
	select {
	case <-usable:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// waitForConfig waits for the first configuration, if there is none yet. It reads the body before: only
// then does the server notice that the caller leaves.
func (j *job) waitForConfig() *magno.Refusal {
	if j.snap.Plan != nil {
		return nil
	}
	defer j.configWaiting.Add(-1)
	if j.configWaiting.Add(1) > maxConfigWaiting {
		return nil
	}
	if refusal := j.readBody(); refusal != nil {
		return refusal
	}
	timer := time.NewTimer(maxConfigWait.Duration())
	defer timer.Stop()
	for {
		changed := j.Book.Changed()
		if j.snap = j.Book.Current(); j.snap.Plan != nil {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-j.r.Context().Done():
			return nil
		}
	}
}

// startRetryAfter returns the Retry-After of a process without a configuration. A process that
// starts beside others has one within a fraction of a second. Otherwise the platform's list is
// unavailable and the other processes have none either. How long such an outage goes on is
// unknown; the best estimate is about as long as it has lasted already. If callers were told to
// retry after a second each time, their retries would fall into the outage and they would give
// up.
func (h *Handler) startRetryAfter() magno.Millis {
	return min(max(outageFactor*(h.Clock.Now()-h.Started), minStartRetry), maxStartRetry)
}

// configDoubt returns why what the configuration lacks may be in a later one, or "". A process that has
// just started may have it from a listing that is some seconds old.
func (h *Handler) configDoubt() string {
	confirmedAt, _ := h.Book.FreshAt()
	switch age := h.Book.Age(); {
	case h.Book.Behind():
		return "isn't the newest"
	case confirmedAt == 0:
		return "was never confirmed"
	case age > staleConfigAge:
		return fmt.Sprintf("is %d ms old", age)
	}
	return ""
}
