package desk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// maxPermitCalls bounds the calls for one permit: one more to an agent that turns out to lack its spec.
const maxPermitCalls = 2

// Acquire requests a permit for a request to start at a replica, and waits for the decision.
// ErrAgentLost means that there was none.
func (c *Client) Acquire(ctx context.Context, key string, req gate.Request) (*gate.PermitReply, error) {
	var reply *gate.PermitReply
	for range maxPermitCalls {
		s, call := c.prepareCall(key, req)
		if s == nil {
			return nil, ErrAgentLost
		}
		var err error
		if reply, err = c.callPermit(ctx, s, call); err != nil {
			return nil, err
		}
		// An agent that has just restarted refuses what it has no spec for.
		if call.Spec != nil || reply.Refusal == nil || !c.lacksSpec(s, &reply.Status) {
			break
		}
	}
	return reply, nil
}

// prepareCall returns the agent of a replica and the call to it, or nil if it is unknown or lost.
func (c *Client) prepareCall(key string, req gate.Request) (*agentState, *gate.PermitCall) {
	s := c.findAgent(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == nil || s.lost {
		return nil, nil
	}
	s.usedAt = c.Clock.Now()
	req.RoundTrip = magno.Millis(s.roundTrip)
	call := &gate.PermitCall{Request: req, Replica: key, ListsHash: s.status.ListsHash, Limit: c.Notices.State(key)}
	if s.status.Replica != key {
		// The agent's next poll may be a second away; after a power loss of all machines this
		// applies to every agent.
		call.Spec, call.Revision = s.spec, s.specRevision
	}
	return s, call
}

// findAgent returns the agent of a replica, also of one that was listed a moment ago.
func (c *Client) findAgent(key string) *agentState {
	c.mu.Lock()
	s := c.agents[key]
	c.mu.Unlock()
	if s != nil {
		return s
	}
	c.syncAgents()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[key]
}

// lacksSpec reports whether an agent replied without the spec that this entry has for it.
func (c *Client) lacksSpec(s *agentState, status *gate.StatusReply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return status.Replica != s.replica.Key() && status.Revision < s.specRevision
}

// callPermit sends one permit call and records the agent's status.
func (c *Client) callPermit(ctx context.Context, s *agentState, call *gate.PermitCall) (*gate.PermitReply, error) {
	c.mu.Lock()
	lostCh := s.lostCh
	c.mu.Unlock()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go c.watchAgent(s, lostCh, stop, cancel)
	var reply gate.PermitReply
	err := c.Mesh.Call(waiting, s.addr, gate.MethodPermit, call, &reply)
	if err != nil {
		if ctx.Err() == nil {
			c.pollSoon(s, c.Clock.Now())
		}
		if !wire.NotSent(err) {
			c.Release(call.Replica, gate.EndCall{ID: call.ID}) // the permit may have been granted meanwhile
		}
		return nil, errors.Mark(err, ErrAgentLost)
	}
	c.recordStatus(s, &reply.Status, call.ListsHash)
	c.mu.Lock()
	s.polledAt = c.Clock.Now()
	c.mu.Unlock()
	return &reply, nil
}

// watchAgent cancels the wait for a permit once its agent is lost. It polls an agent that takes
// longer than callTimeout, to find out whether the agent is lost.
func (c *Client) watchAgent(s *agentState, lostCh, stop chan struct{}, cancel context.CancelFunc) {
	sentAt := c.Clock.Now()
	timer := time.NewTimer(callTimeout.Duration())
	defer timer.Stop()
	for {
		select {
		case <-lostCh:
			cancel()
			return
		case <-stop:
			return
		case <-timer.C:
			c.pollSoon(s, sentAt)
		}
	}
}

// Release notifies the agent that a request ended. If the notification is lost, the agent drops
// the request at its deadline.
func (c *Client) Release(key string, call gate.EndCall) {
	addr := c.agentAddr(key)
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	if err := c.Mesh.Notify(ctx, addr, gate.MethodEnd, call); err != nil {
		c.Log.Debug("cannot release permit", "replica", key, "request", call.ID, "error", err)
	}
}
