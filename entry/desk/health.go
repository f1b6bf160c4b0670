package desk

import (
	"context"

	"magnoliastall.example/magno"
)

const (
	// healthAge is how long the result of a health check is taken for the state of an engine.
	healthAge = 250 * magno.Millis(1)
	// silenceAge is how long an engine that was silent counts as silent while it is checked again.
	silenceAge = magno.Second
)

// healthCheck is a call to an engine whose agent is lost.
type healthCheck struct {
	// ended is closed once responds and endedAt are set.
	ended    chan struct{}
	responds bool
	endedAt  magno.Millis
}

// hasEnded reports whether the call has ended.
func (h *healthCheck) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// Responds reports whether the incarnation of an engine answers by itself, though its agent doesn't.
//
// Load pattern: a machine stands still with its agent and its engine, and goes on after seconds. Its kernel accepts what
// entries send meanwhile, and the engine reads all of it then, though the callers have left. From the silence of the
// agent alone, its end can't be told from that of the machine. Only the first request waits for the engine; those that
// follow know that it is silent.
func (c *Client) Responds(ctx context.Context, key string) bool {
	h := c.checkHealth(key)
	if h == nil {
		return false
	}
	select {
	case <-h.ended:
		return h.responds
	case <-ctx.Done():
		return false
	}
}

// checkHealth returns the health check that tells the state of an engine. It begins another one if the last is old. It
// returns nil for unknown engines.
func (c *Client) checkHealth(key string) *healthCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now := c.agents[key], c.Clock.Now()
	if s == nil {
		return nil
	}
	if s.check != nil && s.check.hasEnded() {
		s.lastCheck = s.check
	}
	last := s.lastCheck
	if last != nil && now-last.endedAt < healthAge {
		return last
	}
	if s.check == last { // none is in progress
		s.check = &healthCheck{ended: make(chan struct{})}
		if s.engine == nil {
			s.engine = c.Engine(s.replica.Address)
		}
		go c.callEngine(s.engine, s.replica, s.check)
	}
	if last != nil && !last.responds && now-last.endedAt < silenceAge {
		return last
	}
	return s.check
}

// callEngine makes the call of a health check. A context of its own bounds it: several requests wait for it.
func (c *Client) callEngine(engine magno.EngineClient, r *magno.Replica, h *healthCheck) {
	defer close(h.ended)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	begunAt := c.Clock.Now()
	report, err := engine.Report(ctx)
	h.responds = err == nil && (report.StartedAt == 0 || r.StartedAt == 0 || report.StartedAt == r.StartedAt)
	h.endedAt = c.Clock.Now()
	c.Log.Info("health check", "replica", r.Key(), "responds", h.responds, "took", h.endedAt-begunAt, "error", err)
}
