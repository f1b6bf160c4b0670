package sched

import (
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/route"
)

// Guards against an upstream that an entry leaves alone long after the rest that it stated has
// ended: no request goes there, so no answer replaces the entry's report of the rest.
func TestRestThatEndedKeepsNoRequestsAway(t *testing.T) {
	s, clock := noticeSched()
	r := &route.Router{Clock: clock}
	r.Update([]magno.Target{{Name: "rested"}, {Name: "other"}})
	q := magno.Query{Ref: magno.Ref{Adapter: "m/a"}}
	backlog := func() magno.Backlog {
		b := s.Backlog()
		b.Warm = []uint32{q.Ref.Hash()}
		return b
	}
	s.TakeNotice(magno.Notice{RetryAfter: magno.Minute}, clock.Now())
	r.Report("rested", backlog())
	for left := magno.Minute; left > 0; left -= magno.Second {
		if names := r.Route(q); names[0] != "other" && left > 5*magno.Second {
			t.Fatalf("%v come first %d ms before the end of the rest", names, left)
		}
		clock.Advance(magno.Second)
	}
	if b := s.Backlog(); b.Wait != 0 {
		t.Fatalf("a wait of %d ms after the rest", b.Wait)
	}
	if names := r.Route(q); names[0] != "rested" {
		t.Errorf("%v come first after the rest, want the only holder, which is free", names)
	}
}
