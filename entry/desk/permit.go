package desk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/wire"
)

// Acquire asks that a request may begin at a replica, and waits. ErrAgentLost means
// that nobody decided.
func (d *Client) Acquire(ctx context.Context, key string, ask gate.Request) (*gate.PermitReply, error) {
	d.mu.Lock()
	s := d.seats[key]
	if s == nil || s.dead {
		d.mu.Unlock()
		return nil, ErrAgentLost
	}
	s.used = d.Clock.Now()
	lost, addr := s.lost, s.addr
	call := gate.PermitCall{Request: ask, Replica: key, ListsHash: s.status.ListsHash}
	if s.status.Replica != key {
		// The agent's turn to be polled may be a second away, and after a loss
		// of all power that is so for all agents.
		call.Spec, call.Revision = s.spec, s.revision
	}
	d.mu.Unlock()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go d.wait(s, lost, stop, cancel)
	var reply gate.PermitReply
	err := d.Mesh.Call(waiting, addr, gate.MethodPermit, call, &reply)
	if err != nil {
		if ctx.Err() == nil {
			d.hurry(s, d.Clock.Now())
		}
		if !wire.NotSent(err) {
			d.Release(key, gate.EndCall{ID: ask.ID}) // it may have been let through since
		}
		return nil, errors.Mark(err, ErrAgentLost)
	}
	d.heard(s, &reply.Status, call.ListsHash)
	d.mu.Lock()
	s.asked = d.Clock.Now()
	d.mu.Unlock()
	return &reply, nil
}

// wait ends the wait for a permit once its agent is lost, and finds out whether an
// agent that doesn't answer is.
func (d *Client) wait(s *seat, lost, stop chan struct{}, cancel context.CancelFunc) {
	asked := d.Clock.Now()
	silent := time.NewTimer(pollTime.Span())
	defer silent.Stop()
	for {
		select {
		case <-lost:
			cancel()
			return
		case <-stop:
			return
		case <-silent.C:
			d.hurry(s, asked)
		}
	}
}

// Release tells the agent that a request ended. If the word is lost, the agent
// forgets the request at its deadline.
func (d *Client) Release(key string, call gate.EndCall) {
	d.mu.Lock()
	s := d.seats[key]
	d.mu.Unlock()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTime.Span())
	defer cancel()
	if err := d.Mesh.Notify(ctx, s.addr, gate.MethodEnd, call); err != nil {
		d.Log.Debug("end", "replica", key, "request", call.ID, "error", err)
	}
}
