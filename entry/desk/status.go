package desk

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
)

// recordMiss records that an agent didn't answer. One that is lost before it answered for its replica
// is reported as down: nothing is known to be held there, so no request can be sent, and routers would
// keep choosing it before engines that are usable.
func (c *Client) recordMiss(s *agentState, err error) {
	c.mu.Lock()
	s.misses++
	if s.misses == 1 {
		s.silentSince = c.Clock.Now()
	}
	lost := s.misses == maxMisses && !s.lost
	if lost {
		s.lost = true
		close(s.lostCh)
		c.Log.Warn("agent lost", "replica", s.replica.Key(), "addr", s.addr, "error", err)
	}
	key, service := s.replica.Key(), s.replica.Service
	unknown := s.status.Replica != key
	c.mu.Unlock()
	if lost && unknown && c.OnBacklog != nil {
		c.OnBacklog(service, key, magno.Backlog{Down: true})
	}
}

// recordStatus records the state that an agent reported. listsHash is the one that was sent with
// the call: the reply may leave out lists that the caller already has.
func (c *Client) recordStatus(s *agentState, reply *gate.StatusReply, listsHash uint64) {
	c.mu.Lock()
	reply.Restore(listsHash, &s.status)
	if s.removed {
		c.mu.Unlock()
		return
	}
	if s.lost {
		s.lostCh = make(chan struct{})
		c.Log.Info("agent back", "replica", s.replica.Key(), "addr", s.addr)
	}
	s.calm = isCalm(&s.status, reply)
	if reply.Down != s.status.Down {
		c.Log.Info("engine", "replica", s.replica.Key(), "down", reply.Down)
	}
	wasUsable, wasDown := s.usable(), s.down()
	s.misses, s.unreachable, s.heardAt, s.status, s.lost = 0, false, c.Clock.Now(), *reply, false
	key, service := s.replica.Key(), s.replica.Service
	current, b := reply.Replica == key, reply.Backlog
	superseded, usable := s.superseded(), s.usable() && !wasUsable
	b.Down = s.down()
	if b.Down && !wasDown {
		s.downSince = s.heardAt
	}
	c.mu.Unlock()
	switch {
	case superseded:
		// Without this, requests would be refused there until the list changes here.
		b = magno.Backlog{Down: true}
		c.fetchRevision(reply.Revision)
	case !current:
		return
	default:
		c.adoptNotices(service, key, reply, s.addr)
	}
	if c.OnBacklog != nil {
		c.OnBacklog(service, key, b)
	}
	if usable && c.OnUsable != nil {
		c.OnUsable(service)
	}
}

// fetchRevision has the changes of the list up to a revision fetched, unless they are known.
func (c *Client) fetchRevision(revision magno.Revision) {
	if c.FetchRevision != nil && revision > c.Book.Current().Revision {
		c.FetchRevision(revision)
	}
}

// ReportUnreachable records that a connection to an engine failed. If its agent is lost as
// well, the machine is gone: the engine holds nothing any more, and no requests are sent to it
// until its agent answers again.
func (c *Client) ReportUnreachable(key string) {
	c.mu.Lock()
	s := c.agents[key]
	if s == nil || !s.lost || s.unreachable {
		c.mu.Unlock()
		return
	}
	s.unreachable = true
	service := s.replica.Service
	c.Log.Info("engine unreached", "replica", key, "addr", s.addr)
	c.mu.Unlock()
	if c.OnBacklog != nil {
		c.OnBacklog(service, key, magno.Backlog{Down: true})
	}
}

// pollSoon schedules a poll for the next tick if the agent hasn't been heard from since the
// given time.
func (c *Client) pollSoon(s *agentState, since magno.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.heardAt < since && !s.lost {
		s.polledAt = 0
	}
}

// Holds reports whether an engine held a model or adapter when its agent was last heard from,
// provided that the agent hasn't been silent for longer than heldRetention.
func (c *Client) Holds(key, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.agents[key]
	if s == nil || s.unreachable || s.status.Replica != key || (s.misses > 0 && c.Clock.Now()-s.silentSince > heldRetention) {
		return false
	}
	hash := magno.Ref{Adapter: name}.Hash()
	for _, h := range s.status.Backlog.Warm {
		if h == hash {
			return true
		}
	}
	return false
}

// Down reports whether the engine is known to be down, or to have restarted since the list
// named this incarnation. Unknown incarnations count as down.
func (c *Client) Down(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.agents[key]
	if s == nil {
		return true
	}
	return s.down()
}

// Restarted reports whether the engine is known to have restarted since the list named this incarnation. One that is
// down otherwise may only be silent.
func (c *Client) Restarted(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.agents[key]
	return s != nil && s.restarted()
}
