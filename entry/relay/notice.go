package relay

import (
	"magnoliastall.example/magno"
)

// recordNotice records what the upstream that answered states about itself. An answer without
// the request's id may be another upstream's.
func (j *job) recordNotice(key string, reply *magno.Reply) {
	if reply.ID != j.id || !j.Notices.Record(key, reply.Notice, j.sentAt) {
		return
	}
	j.Log.Info("upstream notice", "replica", key, "request", j.id, "limited", reply.Notice.Limited, "rate", reply.Notice.Rate)
}
