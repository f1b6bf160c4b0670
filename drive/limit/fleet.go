package limit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno/grant"
	"magnoliastall.example/magno/quota"
)

// maxHomeCandidates is the number of entries among which the homes of customers are
// chosen; requestBytes and replyBytes are the wire sizes of a call.
const (
	maxHomeCandidates = 4
	requestBytes      = 170
	replyBytes        = 90
)

// fleet is the state of all entries.
type fleet struct {
	*Simulation
	quotas []*quota.Quota
	grants []*grant.Granter
	calls  []map[string]*pendingCall
}

func newFleet(s *Simulation) *fleet {
	f := &fleet{
		Simulation: s, quotas: make([]*quota.Quota, s.Entries), grants: make([]*grant.Granter, s.Entries),
		calls: make([]map[string]*pendingCall, s.Entries),
	}
	for i := range s.Entries {
		f.start(i)
	}
	return f
}

// pendingCall is the call of one entry to the home of one customer, with the requests that
// wait for the next call.
type pendingCall struct {
	active  bool
	waiting []request
}

type request struct {
	cost    float64
	decided func(bool)
}

// start starts or restarts an entry with empty state.
func (f *fleet) start(i int) {
	f.quotas[i], f.grants[i], f.calls[i] = &quota.Quota{Clock: f.Clock, StartedAt: f.Clock.Now()}, &grant.Granter{Clock: f.Clock, Window: window}, map[string]*pendingCall{}
}

func (f *fleet) admit(i int, customer string, cost float64, decided func(bool)) {
	q, limit := f.quotas[i], *f.limits[customer]
	verdict, _ := q.Take(customer, limit, cost)
	if verdict != quota.Pending {
		decided(verdict == quota.Allowed)
		if verdict == quota.Allowed && q.Low(customer, limit) {
			f.call(i, customer, nil)
		}
		return
	}
	f.call(i, customer, &request{cost, decided})
}

func (f *fleet) tick(i int) {
	if f.Clock.Now()/tickInterval%50 != 0 {
		return
	}
	for customer := range f.quotas[i].Surplus() {
		f.call(i, customer, nil)
	}
}

func (f *fleet) call(i int, customer string, r *request) {
	l := f.calls[i][customer]
	if l == nil {
		l = &pendingCall{}
		f.calls[i][customer] = l
	}
	if r != nil {
		l.waiting = append(l.waiting, *r)
	}
	if l.active {
		return
	}
	l.active = true
	batch := l.waiting
	l.waiting = nil
	need, least := 0.0, 0.0
	for _, r := range batch {
		need += r.cost
		if least == 0 || r.cost < least {
			least = r.cost
		}
	}
	q, limit := f.quotas[i], *f.limits[customer]
	ask := q.Ask(customer, limit, need, least)
	ended := false
	end := func(reply *grant.Reply) {
		if ended || f.calls[i][customer] != l {
			return
		}
		ended, l.active = true, false
		if reply != nil {
			q.Granted(ask, *reply, limit)
		}
		for _, r := range batch {
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
	home := f.home(i, customer)
	if home == i {
		reply := f.grants[i].Grant(ask, limit, f.aliveCount(i), f.granterCount(i))
		end(&reply)
		return
	}
	f.after(callTimeout, func() { end(nil) })
	f.Send(i, home, requestBytes, func() {
		reply := f.grants[home].Grant(ask, limit, f.aliveCount(home), f.granterCount(home))
		f.Send(home, i, replyBytes, func() { end(&reply) })
	})
}

// home returns the home of a customer as seen by an entry.
func (f *fleet) home(self int, customer string) int {
	best, found := -1, 0
	var lowest uint64
	for i := 0; i < f.Entries && found < maxHomeCandidates; i++ {
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

func (f *fleet) aliveCount(self int) (n int) {
	for i := range f.Entries {
		if f.Alive(self, i) {
			n++
		}
	}
	return n
}

// granterCount counts the entries that may hold grants, from the point of view of an
// entry. Entries observed as down hold none. An entry that has just restarted and does not
// know the others yet assumes at least assumedEntries.
func (f *fleet) granterCount(self int) (n int) {
	for i := range f.Entries {
		if !f.observed(i).down || i == self {
			n++
		}
	}
	if f.before[self].down && f.Clock.Now()-f.changedAt[self] < joinTime {
		return max(n, assumedEntries)
	}
	return n
}
