package soak

import (
	"math/rand/v2"
	"net/http"

	"magnoliastall.example/stand/endless"
)

// startEndless makes an upstream answer without end and returns the name of the fault and the function that ends it.
// Streams of valid events are left out: their callers have to read them.
func (f *fleet) startEndless(u *upstream, rnd *rand.Rand) (string, func()) {
	row := endless.Row(rnd.IntN(int(endless.Events)))
	return "endless " + row.String(), f.answerEndlessly(u, row)
}

// answerEndlessly makes an upstream answer with a row until the returned function is called.
func (f *fleet) answerEndlessly(u *upstream, row endless.Row) (undo func()) {
	w := f.current(u)
	u.handler.mu.Lock()
	defer u.handler.mu.Unlock()
	next := u.handler.h
	h := &endless.Handler{Next: next, Own: w.OwnHeader}
	u.handler.h = h
	end := h.Set(row)
	f.endless.Add(1)
	return func() {
		f.endless.Add(-1)
		end() // a later fault may have it behind its own handler
		u.handler.mu.Lock()
		defer u.handler.mu.Unlock()
		if u.handler.h == http.Handler(h) { // no other incarnation serves there by now
			u.handler.h = next
		}
	}
}
