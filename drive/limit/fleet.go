package limit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno/grant"
	"magnoliastall.example/magno/quota"
)

// homes is how many entries count allowances; askBytes and replyBytes are what a call
// takes on the wire.
const (
	homes      = 4
	askBytes   = 170
	replyBytes = 90
)

// fleet is what the entries know.
type fleet struct {
	*World
	quotas []*quota.Quota
	grants []*grant.Grants
	lines  []map[string]*line
}

func newFleet(w *World) *fleet {
	h := &fleet{
		World: w, quotas: make([]*quota.Quota, w.Entries), grants: make([]*grant.Grants, w.Entries),
		lines: make([]map[string]*line, w.Entries),
	}
	for i := range w.Entries {
		h.start(i)
	}
	return h
}

// line is the call of one entry for one customer, and the requests that wait.
type line struct {
	calling bool
	waiting []request
}

type request struct {
	cost    float64
	decided func(bool)
}

// start has an entry begin, or begin anew with nothing known.
func (h *fleet) start(i int) {
	h.quotas[i], h.grants[i], h.lines[i] = &quota.Quota{Clock: h.Clock}, &grant.Grants{Clock: h.Clock, Window: window}, map[string]*line{}
}

func (h *fleet) ask(i int, customer string, cost float64, decided func(bool)) {
	q, limit := h.quotas[i], *h.limits[customer]
	v, _ := q.Take(customer, limit, cost)
	if v != quota.Waits {
		decided(v == quota.Runs)
		if v == quota.Runs && q.Low(customer, limit) {
			h.call(i, customer, nil)
		}
		return
	}
	h.call(i, customer, &request{cost, decided})
}

func (h *fleet) tick(i int) {
	if h.Clock.Now()/step%50 != 0 {
		return
	}
	for customer := range h.quotas[i].Idle() {
		h.call(i, customer, nil)
	}
}

func (h *fleet) call(i int, customer string, r *request) {
	l := h.lines[i][customer]
	if l == nil {
		l = &line{}
		h.lines[i][customer] = l
	}
	if r != nil {
		l.waiting = append(l.waiting, *r)
	}
	if l.calling {
		return
	}
	l.calling = true
	joined := l.waiting
	l.waiting = nil
	need, least := 0.0, 0.0
	for _, r := range joined {
		need += r.cost
		if least == 0 || r.cost < least {
			least = r.cost
		}
	}
	q, limit := h.quotas[i], *h.limits[customer]
	ask := q.Ask(customer, limit, need, least)
	over := false
	end := func(reply *grant.Reply) {
		if over || h.lines[i][customer] != l {
			return
		}
		over, l.calling = true, false
		if reply != nil {
			q.Granted(ask, *reply, limit)
		}
		for _, r := range joined {
			var v quota.Verdict
			if reply == nil {
				v, _ = q.Alone(customer, limit, r.cost, h.Entries)
			} else {
				v, _ = q.Again(customer, limit, r.cost)
			}
			r.decided(v == quota.Runs)
		}
		if len(l.waiting) > 0 {
			h.call(i, customer, nil)
		}
	}
	at := h.at(i, customer)
	if at == i {
		reply := h.grants[i].Grant(ask, limit, h.alive(i), h.known(i))
		end(&reply)
		return
	}
	h.after(callTime, func() { end(nil) })
	h.Send(i, at, askBytes, func() {
		reply := h.grants[at].Grant(ask, limit, h.alive(at), h.known(at))
		h.Send(at, i, replyBytes, func() { end(&reply) })
	})
}

// at is a customer's home as an entry sees it.
func (h *fleet) at(self int, customer string) int {
	best, found := -1, 0
	var lowest uint64
	for i := 0; i < h.Entries && found < homes; i++ {
		if !h.Alive(self, i) {
			continue
		}
		found++
		if sum := xxhash.Sum64String(fmt.Sprint(customer, i)); best < 0 || sum < lowest {
			best, lowest = i, sum
		}
	}
	return best
}

func (h *fleet) alive(self int) (n int) {
	for i := range h.Entries {
		if h.Alive(self, i) {
			n++
		}
	}
	return n
}

// known counts the entries that may grant something: those that were killed don't.
func (h *fleet) known(self int) (n int) {
	for i := range h.Entries {
		if !h.believed(i).down || i == self {
			n++
		}
	}
	return n
}
