package desk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// Acquire requests a permit for a request to start at a replica, and waits for the decision.
// ErrAgentLost means that there was none.
func (c *Client) Acquire(ctx context.Context, key string, req gate.Request) (*gate.PermitReply, error) {
	c.mu.Lock()
	s := c.agents[key]
	if s == nil || s.lost {
		c.mu.Unlock()
		return nil, ErrAgentLost
	}
	s.usedAt = c.Clock.Now()
	lostCh, addr := s.lostCh, s.addr
	req.RoundTrip = magno.Millis(s.roundTrip)
	call := gate.PermitCall{Request: req, Replica: key, ListsHash: s.status.ListsHash, Limit: c.Notices.State(key)}
	if s.status.Replica != key {
		// The agent's next poll may be a second away; after a power loss of all machines this
		// applies to every agent.
		call.Spec, call.Revision = s.spec, s.specRevision
	}
	c.mu.Unlock()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go c.watchAgent(s, lostCh, stop, cancel)
	var reply gate.PermitReply
	err := c.Mesh.Call(waiting, addr, gate.MethodPermit, call, &reply)
	if err != nil {
		if ctx.Err() == nil {
			c.pollSoon(s, c.Clock.Now())
		}
		if !wire.NotSent(err) {
			c.Release(key, gate.EndCall{ID: req.ID}) // the permit may have been granted meanwhile
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
	c.mu.Lock()
	s := c.agents[key]
	c.mu.Unlock()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	if err := c.Mesh.Notify(ctx, s.addr, gate.MethodEnd, call); err != nil {
		c.Log.Debug("cannot release permit", "replica", key, "request", call.ID, "error", err)
	}
}
