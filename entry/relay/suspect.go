package relay

import (
	"time"

	"magnoliastall.example/magno"
)

// crashCheckDelay is how long after a connection broke the upstream's state is checked. An
// agent notices a crash within half a second, and reports it with the next poll.
const crashCheckDelay = 1200 * magno.Millis(1)

// suspectIfCrashed counts a crash against the request if the upstream turns out to have crashed
// while running it. A response that breaks off for another reason doesn't count.
func (j *job) suspectIfCrashed(key string) {
	if j.fingerprint == 0 || j.service.Engine == nil {
		j.Log.Info("crash not checked", "request", j.id, "replica", key, "target", j.r.RequestURI, "body", len(j.body), "engine", j.service.Engine != nil)
		return
	}
	fingerprint, h, id, target := j.fingerprint, j.Handler, j.id, j.r.RequestURI
	end := magno.NewUpstreamEnd(j.service.Name, key)
	end.Age = crashCheckDelay
	time.AfterFunc(crashCheckDelay.Duration(), func() {
		if !h.Permits.Down(key) {
			h.Log.Info("no crash", "request", id, "replica", key, "target", target)
			return
		}
		h.Suspects.RecordEnd(fingerprint, end)
		h.Log.Warn("suspect", "request", id, "replica", key, "ends", h.Suspects.Count(fingerprint))
	})
}
