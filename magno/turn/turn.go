// Package turn shares a weight store's allowance over the fleet: one keeper,
// the member that all agents name by the same rule, gives turns to load, the
// most harmful wait first.
//
//	agent -- Ask{harm} --> Keeper -- Turn{id, until} --> agent -- load
//	                         ^                              |
//	                         +---------- End(id) -----------+
//
// Load pattern: after a shift of popularity or a cold start most upstreams
// want loads at once, and the store serves few. Without it all loads run at
// once and slow each other down: the most harmful wait ends no sooner than the
// least, and the store's refusals are tried again by everybody.
//
// A turn is a lease. Its deadline is the keeper's, for a holder that died
// can't end it, and slots that nobody gives back would add up until no load
// runs at all, with no error anywhere. What frees a place is the removal of
// the lease, whether by End or by expiry, so that a late End, or one that is
// sent twice, never frees another holder's place. A missed deadline does not
// prove that the load stopped; the holder has to stop it by itself at Until,
// and the keeper waits Grace longer. These rules and their grounds are from
// the paper "leases and expiry"; the tests here measure the two it warns of, a
// double release and a dead holder.
//
// The keeper holds nothing that lasts. A new one knows no turns and waits for
// the longest lease before it gives its first, so two keepers in turn never
// exceed the width. While no keeper can be reached each agent loads by itself
// at Alone, its static share of the rate.
package turn

import "magnoliastall.example/magno"

const (
	// leaseLoads is how long a turn lasts, in loads at full speed: a store
	// that is three times as slow as usual still ends its loads in time.
	leaseLoads = 4
	// Grace is the time after Until for which a turn still holds its place.
	Grace = 500 * magno.Millis(1)
	// askKeep is how long an ask stands: agents ask again each second or so.
	askKeep = 3 * magno.Second
	// sweepEvery is how often old asks are dropped.
	sweepEvery = magno.Second
	// mostAsks bounds the asks in memory; the least harmful goes first.
	mostAsks = 20000
)

// Ask is an agent's request for a turn. A later one replaces it.
type Request struct {
	Agent string    `json:"agent"`
	Ref   magno.Ref `json:"ref"`
	// Harm is that of the wait; see magno.Turner.
	DelayCost float64 `json:"harm"`
	// At is when the keeper got it.
	ReceivedAt magno.Millis `json:"-"`
}

// Turn is the right to run one load.
type Turn struct {
	ID    uint64    `json:"id"`
	Agent string    `json:"agent"`
	Ref   magno.Ref `json:"ref"`
	// Left is how long it lasts from when it was sent; the holder aborts a
	// load that takes longer.
	Left magno.Millis `json:"left"`
}

type lease struct {
	turn  Turn
	until magno.Millis
}

// Keeper gives turns. One goroutine calls it. Its exported fields are set
// before use.
type Coordinator struct {
	Clock *magno.Clock
	// Rate is loads a second that the store allows, over zero; Width is how
	// many run at once, at least 1.
	Rate     float64
	MaxLoads int
	// Load is the time of a load at full speed.
	LoadTime magno.Millis

	begun bool
	// quiet is until when a new keeper gives no turns.
	quiet magno.Millis
	// next is when the rate allows another load, in fractions of Millis.
	next float64
	seq  uint64
	// swept is when old asks were dropped last.
	swept  magno.Millis
	asks   map[string]Request
	leases map[uint64]lease
}

// Lease is how long a turn lasts.
func (k *Coordinator) LeaseTime() magno.Millis { return leaseLoads * max(k.LoadTime, 1) }

func (k *Coordinator) setup(now magno.Millis) {
	if k.begun {
		return
	}
	k.begun = true
	k.quiet = now + k.LeaseTime() + Grace
	k.asks, k.leases = map[string]Request{}, map[uint64]lease{}
	// Turn numbers of an earlier keeper must not come again: an End meant
	// for it would free a place here.
	k.seq = uint64(now) << 20
}

// Want takes an ask. One whose agent holds a turn is dropped: an agent runs
// one load at a time.
func (k *Coordinator) Submit(a Request) {
	now := k.Clock.Now()
	k.setup(now)
	for _, l := range k.leases {
		if l.turn.Agent == a.Agent {
			return
		}
	}
	a.ReceivedAt = now
	k.asks[a.Agent] = a
	if len(k.asks) > mostAsks {
		delete(k.asks, k.least())
	}
}

// Drop forgets the agent's ask: nothing waits there any more.
func (k *Coordinator) Cancel(agent string) { delete(k.asks, agent) }

func (k *Coordinator) least() string {
	least := Request{}
	for _, a := range k.asks {
		if least.Agent == "" || before(least, a) {
			least = a
		}
	}
	return least.Agent
}

// before orders asks: most harm first, then by name.
func before(a, b Request) bool {
	if a.DelayCost != b.DelayCost {
		return a.DelayCost > b.DelayCost
	}
	return a.Agent < b.Agent
}

// Give returns the turns that begin now.
func (k *Coordinator) Grant() []Turn {
	now := k.Clock.Now()
	k.setup(now)
	k.expire(now)
	if now < k.quiet || len(k.asks) == 0 {
		return nil
	}
	var given []Turn
	for len(k.asks) > 0 && len(k.leases) < max(k.MaxLoads, 1) && k.next <= float64(now) {
		a := k.most()
		delete(k.asks, a.Agent)
		k.seq++
		t := Turn{ID: k.seq, Agent: a.Agent, Ref: a.Ref, Left: k.LeaseTime()}
		k.leases[t.ID] = lease{turn: t, until: now + k.LeaseTime() + Grace}
		// One turn may be saved up, or each late call of Give would lose some
		// of the rate for good.
		each := float64(magno.Second) / k.Rate
		k.next = max(k.next, float64(now)-each) + each
		given = append(given, t)
	}
	return given
}

// most returns the ask that waits with most harm. The walk is over all asks,
// but only for a turn that is given, of which the store allows few a second.
func (k *Coordinator) most() Request {
	most := Request{}
	for _, a := range k.asks {
		if most.Agent == "" || before(a, most) {
			most = a
		}
	}
	return most
}

// expire ends turns whose time is over, and now and then drops old asks.
func (k *Coordinator) expire(now magno.Millis) {
	for id, l := range k.leases {
		if now >= l.until {
			delete(k.leases, id)
		}
	}
	if now < k.swept+sweepEvery {
		return
	}
	k.swept = now
	for agent, a := range k.asks {
		if now-a.ReceivedAt > askKeep {
			delete(k.asks, agent)
		}
	}
}

// End ends a turn early; it tells whether the turn still stood. Only the call
// that removes the turn frees its place.
func (k *Coordinator) Release(id uint64) bool {
	if _, ok := k.leases[id]; !ok {
		return false
	}
	delete(k.leases, id)
	return true
}

// Wake is when Give is worth calling again, if no ask or end comes before.
func (k *Coordinator) NextWake() magno.Millis {
	now := k.Clock.Now()
	k.setup(now)
	at := max(k.quiet, magno.Millis(k.next)+1)
	if len(k.leases) >= max(k.MaxLoads, 1) {
		first := now + k.LeaseTime() + Grace
		for _, l := range k.leases {
			first = min(first, l.until)
		}
		at = max(at, first)
	}
	return max(at, now+1)
}

// Alone is the time between loads of one agent of n while no keeper can be
// reached.
func (k *Coordinator) FallbackInterval(n int) magno.Millis {
	return magno.Millis(float64(magno.Second) * float64(max(n, 1)) / k.Rate)
}

// Asks counts the agents that wait for a turn.
func (k *Coordinator) Pending() int { return len(k.asks) }
