package desk

import (
	"maps"

	"magnoliastall.example/magno"
)

// removedTime is how long the ends of requests are reported to an agent whose engine was removed: longer than a request
// lasts.
const removedTime = magno.Minute

// removedAgents maps the keys of removed engines to their agents.
type removedAgents map[string]removedAgent

type removedAgent struct {
	addr string
	at   magno.Millis
}

// removeAgents ends the waits for permits of the agents in old that are no longer listed, whose permits are of no use.
// It keeps their addresses, as they may have granted others. The caller holds mu.
func (c *Client) removeAgents(old map[string]*agentState) {
	now := c.Clock.Now()
	maps.DeleteFunc(c.removed, func(key string, r removedAgent) bool { return c.agents[key] != nil || now-r.at > removedTime })
	for key, s := range old {
		if c.agents[key] != nil {
			continue
		}
		if c.removed == nil {
			c.removed = removedAgents{}
		}
		c.removed[key] = removedAgent{addr: s.addr, at: now}
		s.removed = true // a poll may be in flight
		if !s.lost {
			s.lost = true
			close(s.lostCh)
		}
	}
}

// agentAddr returns the address of the agent of a replica, also of one that was removed, or an empty string.
func (c *Client) agentAddr(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.agents[key]; s != nil {
		return s.addr
	}
	return c.removed[key].addr
}
