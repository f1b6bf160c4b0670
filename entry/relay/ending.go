package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// Checks whether an upstream ended when connections to it broke.
//
//	connection breaks --> checkEnded --> runEndCheck: agent, list, connection --> confirmEnd
//	caller leaves --> noteCancelled ------------------------------------------------^  |
//	a send is refused --> refusesConnections ---------------------------------------'  v
//	a later answer --> answeredSince --> no end                        recordEnd --> Suspects
//
// Connections also break while an upstream lives on, and it may end a moment later under a request
// that was sent in between. Whether it had ended before that can't be told from the break. But an
// upstream whose machine refuses connections had not ended while it still accepted them.

const (
	// firstEndCheck and lastEndCheck are how long after a connection broke the upstream is first
	// and last checked. One that ended refuses connections at once, or is back at its address,
	// as another incarnation, after a few seconds.
	firstEndCheck = 30 * magno.Millis(1)
	lastEndCheck  = 5 * magno.Second
	// endCheckStep is the time between two checks.
	endCheckStep = 250 * magno.Millis(1)
	// maxDialChecks bounds the checks that open a connection, after the first break and after each later one
	// over a connection that the upstream still accepted.
	maxDialChecks = 2
	// cancelWindow is how long a run may have been cancelled when its upstream ends, and still
	// count as one that ran there.
	cancelWindow = 500 * magno.Millis(1)
	// maxRunsPerCheck bounds the runs that are attributed to one end.
	maxRunsPerCheck = 256
)

// brokenRun is a run whose connection broke, or which was cancelled.
type brokenRun struct {
	key    string
	prints []uint64
	id     string
	at     magno.Millis
}

// endCheck finds out whether an upstream ended when connections to it broke.
type endCheck struct {
	replica  *magno.Replica
	brokenAt magno.Millis
	// lastSend is the number of the last send that had begun by then.
	lastSend uint64
	runs     []brokenRun
	// accepted are later runs over connections that were accepted after brokenAt, and broke too.
	accepted []brokenRun
	// checks is the number of checks since the last break that may be an end.
	checks int
	// ended is true once it is known that it did, alive once it answered a later request.
	ended, alive bool
}

// endChecks are the checks in progress.
type endChecks struct {
	mu sync.Mutex
	// newest maps the key of an upstream to the check that began last.
	newest map[string]*endCheck
	// cancelled holds the runs that were cancelled within cancelWindow, the oldest first. They
	// start no check.
	cancelled []brokenRun
	// active is the number of checks.
	active atomic.Int32
}

// checkEnded records the request as one that ran on an upstream as it ended, if that turns out to
// be so. A response that breaks off for another reason, as does one from an upstream that leaves,
// says nothing about the request.
func (j *job) checkEnded(r *magno.Replica) {
	key := r.Key()
	if now := j.Book.Current().Find(key); (now != nil && now.Leaving) || j.Notices.Leaving(key) {
		return
	}
	run := brokenRun{key: key, prints: j.runPrints(), id: j.id, at: j.Clock.Now()}
	h := j.Handler
	h.ends.mu.Lock()
	defer h.ends.mu.Unlock()
	c := h.ends.newest[key]
	switch {
	case c != nil && j.sendNumber <= c.lastSend:
		h.addRun(c, run)
		return
	case c != nil && (c.ended || run.at-c.brokenAt <= cancelWindow):
		// It was sent after the end, unless that came later than the first break. A connection may have been opened
		// since by a check.
		if !c.ended && j.connOpenedAt >= c.brokenAt && len(c.accepted) < maxRunsPerCheck {
			c.accepted = append(c.accepted, run)
			c.checks = 0
		}
		return
	}
	h.startCheck(&endCheck{replica: r, brokenAt: run.at, runs: []brokenRun{run}})
}

// startCheck starts a check of the runs that have just broken. The caller holds mu.
func (h *Handler) startCheck(c *endCheck) {
	if h.ends.newest == nil {
		h.ends.newest = map[string]*endCheck{}
	}
	c.lastSend = h.sendCount.Load()
	h.ends.newest[c.replica.Key()] = c
	h.ends.active.Add(1)
	go h.runEndCheck(c)
}

// answeredSince ends the check of an upstream that answered a request sent after the connections
// broke.
func (h *Handler) answeredSince(key string, sendNumber uint64) {
	if h.ends.active.Load() == 0 {
		return
	}
	h.ends.mu.Lock()
	defer h.ends.mu.Unlock()
	if c := h.ends.newest[key]; c != nil && sendNumber > c.lastSend {
		c.alive = true
	}
}

// noteCancelled remembers a run that was cancelled while the upstream ran it.
func (j *job) noteCancelled(r *magno.Replica) {
	run := brokenRun{key: r.Key(), prints: j.runPrints(), id: j.id, at: j.Clock.Now()}
	h := j.Handler
	h.ends.mu.Lock()
	defer h.ends.mu.Unlock()
	if c := h.ends.newest[run.key]; c != nil && run.at-c.brokenAt <= cancelWindow {
		if j.sendNumber <= c.lastSend {
			h.addRun(c, run)
		}
		return
	}
	h.ends.cancelled = slices.DeleteFunc(h.ends.cancelled, func(old brokenRun) bool { return run.at-old.at > cancelWindow })
	if len(h.ends.cancelled) < maxRunsPerCheck {
		h.ends.cancelled = append(h.ends.cancelled, run)
	}
}

// addRun adds a run to a check. The caller holds mu.
func (h *Handler) addRun(c *endCheck, run brokenRun) {
	switch {
	case c.ended:
		h.recordEnd(c, run)
	case len(c.runs) < maxRunsPerCheck:
		c.runs = append(c.runs, run)
	}
}

// runEndCheck checks an upstream until it is known to have ended, or to be alive. The check is then
// kept for a moment, for runs whose connections break later.
func (h *Handler) runEndCheck(c *endCheck) {
	key := c.replica.Key()
	defer h.dropCheck(c)
	wait := firstEndCheck
	for h.Clock.Now()-c.brokenAt < lastEndCheck {
		time.Sleep(wait.Duration())
		wait = endCheckStep
		switch h.upstreamEnded(c) {
		case endUnknown:
		case endAlive:
			h.Log.Info("no crash", "replica", key, "runs", len(c.runs))
			return
		case endConfirmed:
			h.confirmEnd(c, false)
			time.Sleep(cancelWindow.Duration())
			return
		case endRefused:
			h.confirmEnd(c, true)
			time.Sleep(cancelWindow.Duration())
			return
		}
	}
	h.Log.Info("no crash found", "replica", key, "runs", len(c.runs))
}

// dropCheck ends the check of an upstream. If that has answered since the first runs broke, those that
// broke later are checked next.
func (h *Handler) dropCheck(c *endCheck) {
	key := c.replica.Key()
	h.ends.mu.Lock()
	defer h.ends.mu.Unlock()
	h.ends.active.Add(-1)
	if h.ends.newest[key] != c {
		return
	}
	delete(h.ends.newest, key)
	if n := len(c.accepted); n > 0 && c.alive {
		h.startCheck(&endCheck{replica: c.replica, brokenAt: c.accepted[n-1].at, runs: c.accepted})
	}
}

// endState is what is known about the end of an upstream.
type endState int

const (
	endUnknown endState = iota
	endAlive
	endConfirmed
	// endRefused is endConfirmed by refused connections: it still lived when it accepted one.
	endRefused
)

// upstreamEnded reports whether the upstream of a check ended. The agent of an engine knows of a restart, a machine
// without a process refuses connections, and the list names the next incarnation at the address.
func (h *Handler) upstreamEnded(c *endCheck) endState {
	key := c.replica.Key()
	h.ends.mu.Lock()
	ended, alive, dial := c.ended, c.alive, c.checks < maxDialChecks
	c.checks++
	h.ends.mu.Unlock()
	snap := h.Book.Current()
	listed := snap.Find(key)
	switch {
	case ended:
		return endConfirmed
	case listed != nil && listed.Leaving:
		return endAlive
	case listed == nil:
		if snap.Occupied(c.replica.Address) {
			return endConfirmed
		}
		return endUnknown
	}
	engine := h.isEngine(snap.Plan, c.replica.Service)
	switch {
	case engine && h.Permits.Restarted(key):
		if h.refuses(c) {
			return endRefused
		}
		return endConfirmed
	case alive:
		return endAlive
	case (dial || (engine && h.Permits.Down(key))) && h.refuses(c): // one that is down may only be silent
		return endRefused
	}
	return endUnknown
}

// refuses reports whether the upstream of a check refuses connections.
func (h *Handler) refuses(c *endCheck) bool {
	return errors.Is(h.Conns.Probe(context.Background(), c.replica.Key(), c.replica.Address), syscall.ECONNREFUSED)
}

func (h *Handler) isEngine(plan *magno.Plan, service string) bool {
	s := plan.Service(service)
	return s != nil && s.Engine != nil
}

// confirmEnd records the end under all runs of a check. Refused is true if the upstream refuses
// connections now.
func (h *Handler) confirmEnd(c *endCheck, refused bool) {
	h.ends.mu.Lock()
	defer h.ends.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	for _, run := range c.runs {
		h.recordEnd(c, run)
	}
	if refused {
		for _, run := range c.accepted {
			h.recordEnd(c, run)
		}
	}
	for _, run := range h.ends.cancelled {
		if run.key == c.replica.Key() && c.brokenAt-run.at <= cancelWindow {
			h.recordEnd(c, run)
		}
	}
}

// refusesConnections ends the check of an upstream to which a connection was refused.
func (h *Handler) refusesConnections(key string) {
	h.ends.mu.Lock()
	c := h.ends.newest[key]
	h.ends.mu.Unlock()
	if c != nil {
		h.confirmEnd(c, true)
	}
}
