package relay

import (
	"magnoliastall.example/entry/hop"
)

// abort resets the connection of the last send, whose response isn't whole. The upstream may still read the request if
// its machine has acknowledged it.
func (j *job) abort(conn *hop.Conn) {
	unacked, known := conn.Unacked()
	if !known {
		unacked = -1
	}
	j.Log.Info("abort", "request", j.id, "replica", j.lastReplica, "after", j.Clock.Now()-j.sentAt, "unacked", unacked, "responding", j.responding)
	conn.Abort()
}
