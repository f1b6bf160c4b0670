package soak

import (
	"fmt"
	"time"

	"magnoliastall.example/platform/fake"
)

// drainDelay is the time after an entry received the statement of an upstream that it leaves, from
// which on the entry must send it no request that a caller sent later.
const drainDelay = 2 * time.Second

// checkLeaving returns the requests that reached an upstream from entries that had received its
// statement that it leaves.
func (o *observer) checkLeaving(w *fake.Worker) []string {
	told := map[int]time.Time{}
	var broken []string
	for _, a := range w.Arrivals() {
		entry, sentAt := o.entry(a.ID), o.sentAt(a.ID)
		first, known := told[entry]
		switch {
		case entry < 0:
		case !a.Notice.Leaving:
			delete(told, entry) // a new incarnation under the same name
		case !known || o.disturbed(entry, w, first, a.At):
			delete(told, entry)
			if !a.Unanswered { // else the entry got no response that states it
				told[entry] = a.At
			}
		case sentAt.Sub(first) > drainDelay:
			broken = append(broken, fmt.Sprintf("upstream %s got request %s from entry %d, sent %d ms after it stated there that it leaves",
				w.ID, a.ID, entry, sentAt.Sub(first).Milliseconds()))
		}
	}
	return broken
}
