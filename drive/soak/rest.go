package soak

import (
	"fmt"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for a worker that turns a request away and states when it accepts
// requests from that entry again: after restDelay, and until then, the entry may send it restSlack.
const (
	restDelay = 500 * time.Millisecond
	restSlack = 2
)

// checkRest returns the cases in which an entry sent an upstream more requests than it may after
// the upstream had turned it away.
func (o *observer) checkRest(w *fake.Worker) []string {
	arrivals := w.Arrivals()
	var broken []string
	for i, turned := range arrivals {
		entry := o.entry(turned.ID)
		if turned.Notice.Rest <= restDelay || entry < 0 {
			continue
		}
		n, first := 0, time.Time{}
		for _, a := range arrivals[i+1:] {
			since := a.At.Sub(turned.At)
			if since > turned.Notice.Rest || a.Life != turned.Life {
				break
			}
			if since > restDelay && o.entry(a.ID) == entry && !o.disturbed(entry, w, turned.At, a.At) {
				n++
				if first.IsZero() {
					first = a.At
				}
			}
		}
		if n > restSlack {
			broken = append(broken, fmt.Sprintf("upstream %s asked entry %d in its answer to %s at %s for %s without requests and got %d, the first %d ms later",
				w.ID, entry, turned.ID, turned.At.Format(time.StampMilli), turned.Notice.Rest, n, first.Sub(turned.At).Milliseconds()))
		}
	}
	return broken
}
