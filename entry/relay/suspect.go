package relay

import (
	"time"

	"magnoliastall.example/magno"
)

// crashLook is when an upstream is looked at again after a connection to it
// broke: its agent notices a crash within half a second, and tells of it at the
// next poll.
const crashLook = 1200 * magno.Millis(1)

// suspect counts a crash against the request if the upstream turns out to have
// crashed under it. Answers that break off for other reasons are no sign of it.
func (j *job) suspect(key string) {
	if j.print == 0 || j.service.Engine == nil {
		return
	}
	print, h, id := j.print, j.Handler, j.id
	time.AfterFunc(crashLook.Span(), func() {
		if !h.Permits.Down(key) {
			return
		}
		h.Suspects.RecordFailure(print)
		h.Log.Warn("suspect", "request", id, "replica", key, "crashes", h.Suspects.CrashCount(print))
	})
}
