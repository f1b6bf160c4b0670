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
		return
	}
	fingerprint, h, id := j.fingerprint, j.Handler, j.id
	time.AfterFunc(crashCheckDelay.Duration(), func() {
		if !h.Permits.Down(key) {
			return
		}
		h.Suspects.RecordFailure(fingerprint)
		h.Log.Warn("suspect", "request", id, "replica", key, "crashes", h.Suspects.CrashCount(fingerprint))
	})
}
