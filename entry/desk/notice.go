package desk

import (
	"context"

	"magnoliastall.example/magno/gate"
)

// adoptNotices records what an agent knows of the statements of its engine, which belongs to a service.
func (c *Client) adoptNotices(service, key string, reply *gate.StatusReply, addr string) {
	if reply.RestartAge > 0 && c.Notices.Restarted(key, c.Clock.Now()-reply.RestartAge) {
		c.Log.Info("upstream notice", "replica", key, "rest", 0, "from", addr)
		if c.OnRestEnded != nil {
			c.OnRestEnded(service, key)
		}
	}
	if reply.LeavingAge > 0 && c.Notices.AdoptLeaving(key, reply.LeavingAge) {
		c.Log.Info("upstream notice", "replica", key, "leaving", true, "from", addr)
	}
	if reply.Limit != nil && c.Notices.Adopt(key, *reply.Limit) {
		c.Log.Info("upstream notice", "replica", key, "limited", reply.Limit.Limited, "rate", reply.Limit.Rate, "from", addr)
	}
}

// ReportNotice passes on what an engine's answer stated. If the notification is lost, the agent
// learns of it with the next permit.
func (c *Client) ReportNotice(key string, call gate.NoticeCall) {
	c.mu.Lock()
	s := c.agents[key]
	c.mu.Unlock()
	if s == nil {
		return
	}
	call.Replica = key
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	if err := c.Mesh.Notify(ctx, s.addr, gate.MethodNotice, call); err != nil {
		c.Log.Info("cannot pass on notice", "replica", key, "request", call.ID, "limited", call.Limited, "error", err)
	}
}
