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
	grants []*grant.Granter
	lines  []map[string]*line
}

func newFleet(w *World) *fleet {
	f := &fleet{
		World: w, quotas: make([]*quota.Quota, w.Entries), grants: make([]*grant.Granter, w.Entries),
		lines: make([]map[string]*line, w.Entries),
	}
	for i := range w.Entries {
		f.start(i)
	}
	return f
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
func (f *fleet) start(i int) {
	f.quotas[i], f.grants[i], f.lines[i] = &quota.Quota{Clock: f.Clock}, &grant.Granter{Clock: f.Clock, Window: window}, map[string]*line{}
}

func (f *fleet) ask(i int, customer string, cost float64, decided func(bool)) {
	q, limit := f.quotas[i], *f.limits[customer]
	v, _ := q.Take(customer, limit, cost)
	if v != quota.Pending {
		decided(v == quota.Allowed)
		if v == quota.Allowed && q.Low(customer, limit) {
			f.call(i, customer, nil)
		}
		return
	}
	f.call(i, customer, &request{cost, decided})
}

func (f *fleet) tick(i int) {
	if f.Clock.Now()/step%50 != 0 {
		return
	}
	for customer := range f.quotas[i].Surplus() {
		f.call(i, customer, nil)
	}
}

func (f *fleet) call(i int, customer string, r *request) {
	l := f.lines[i][customer]
	if l == nil {
		l = &line{}
		f.lines[i][customer] = l
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
	q, limit := f.quotas[i], *f.limits[customer]
	ask := q.Ask(customer, limit, need, least)
	over := false
	end := func(reply *grant.Reply) {
		if over || f.lines[i][customer] != l {
			return
		}
		over, l.calling = true, false
		if reply != nil {
			q.Granted(ask, *reply, limit)
		}
		for _, r := range joined {
			var v quota.Verdict
			if reply == nil {
				v, _ = q.Fallback(customer, limit, r.cost, f.Entries)
			} else {
				v, _ = q.TakeAgain(customer, limit, r.cost)
			}
			r.decided(v == quota.Allowed)
		}
		if len(l.waiting) > 0 {
			f.call(i, customer, nil)
		}
	}
	at := f.at(i, customer)
	if at == i {
		reply := f.grants[i].Grant(ask, limit, f.alive(i), f.known(i))
		end(&reply)
		return
	}
	f.after(callTime, func() { end(nil) })
	f.Send(i, at, askBytes, func() {
		reply := f.grants[at].Grant(ask, limit, f.alive(at), f.known(at))
		f.Send(at, i, replyBytes, func() { end(&reply) })
	})
}

// at is a customer's home as an entry sees it.
func (f *fleet) at(self int, customer string) int {
	best, found := -1, 0
	var lowest uint64
	for i := 0; i < f.Entries && found < homes; i++ {
		if !f.Alive(self, i) {
			continue
		}
		found++
		if sum := xxhash.Sum64String(fmt.Sprint(customer, i)); best < 0 || sum < lowest {
			best, lowest = i, sum
		}
	}
	return best
}

func (f *fleet) alive(self int) (n int) {
	for i := range f.Entries {
		if f.Alive(self, i) {
			n++
		}
	}
	return n
}

// known counts the entries that may grant something: those that were killed don't, and
// one that has just started takes it that there are some.
func (f *fleet) known(self int) (n int) {
	for i := range f.Entries {
		if !f.believed(i).down || i == self {
			n++
		}
	}
	if f.was[self].down && f.Clock.Now()-f.changed[self] < met {
		return max(n, unmet)
	}
	return n
}
