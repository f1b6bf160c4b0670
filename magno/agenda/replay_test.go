package agenda

import (
	"math/rand/v2"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// The replayed service runs 18 requests of 73 ms each at a time, 245 a second, and refuses what
// finds 24 others waiting. Requests arrive at a steady rate, and 500 more in one second.
const (
	replaySlots     = 18
	replayQueue     = 24
	replayRunTime   = 73 * magno.Millis(1)
	replayBurst     = 500
	replayBurstAt   = 5 * magno.Second
	replayEnd       = 15 * magno.Second
	replayRetry     = 200 * magno.Millis(1) // Retry-After of a refusal without an agenda
	replayJitter    = 20                    // spread of callers' returns, in ms
	replaySlowAfter = 500 * magno.Millis(1) // from the burst's begin, where the pool slows down
)

// returned counts the callers that were refused at first, by what their only retry got.
type returned struct{ served, refused int }

func (r returned) share() float64 { return float64(r.served) / float64(r.served+r.refused) }

// replayCase is a load on a pool with two entries, each of which has its own agenda.
type replayCase struct {
	name string
	// rate is the steady rate of requests per second.
	rate float64
	// timeout is that of the callers.
	timeout magno.Millis
	// slowdown is the factor by which requests take longer from replaySlowAfter on.
	slowdown magno.Millis
	// entryDies is true if one of the entries is lost then.
	entryDies bool
}

// replayPool is the state of a replay.
type replayPool struct {
	replayCase
	withAgenda bool
	clock      *magno.Clock
	rand       *rand.Rand
	entries    []*Agenda
	// ends are the times at which running requests end, and returns those at which refused callers return.
	ends, returns []magno.Millis
	waiting       int
	result        returned
}

// replay replays a load, and returns what callers that came back got.
func replay(c replayCase, withAgenda bool) returned {
	clock := magno.NewClock(magno.Hour)
	p := &replayPool{
		replayCase: c, withAgenda: withAgenda, clock: clock, entries: []*Agenda{{Clock: clock}, {Clock: clock}},
		rand: rand.New(rand.NewPCG(5, 2)), //nolint:gosec // no secret
	}
	began := clock.Now()
	for clock.Now() < began+replayEnd {
		p.step(clock.Now() - began)
		clock.Advance(1)
	}
	return p.result
}

// arrive has a caller arrive, for the first time or again.
func (p *replayPool) arrive(again bool) {
	now := p.clock.Now()
	switch {
	case len(p.ends)+p.waiting < replaySlots+replayQueue:
		p.waiting++
		if again {
			p.result.served++
		}
	case again:
		p.result.refused++
	default:
		at := now + replayRetry
		if p.withAgenda {
			at = p.entry().Promise(0, at, now+p.timeout/3)
		}
		p.returns = append(p.returns, at+magno.Millis(p.rand.IntN(replayJitter)))
	}
}

// entry draws the entry of a caller.
func (p *replayPool) entry() *Agenda { return p.entries[p.rand.IntN(len(p.entries))] }

// step replays one millisecond, at a time since the begin.
func (p *replayPool) step(since magno.Millis) {
	now := p.clock.Now()
	p.ends = slices.DeleteFunc(p.ends, func(end magno.Millis) bool {
		if now >= end {
			p.entry().Served()
		}
		return now >= end
	})
	runTime := replayRunTime
	if since > replayBurstAt+replaySlowAfter {
		runTime *= p.slowdown
		if p.entryDies {
			p.entries = p.entries[:1]
		}
	}
	for p.waiting > 0 && len(p.ends) < replaySlots {
		p.waiting--
		p.ends = append(p.ends, now+runTime/2+magno.Millis(p.rand.Int64N(int64(runTime))))
	}
	rate := p.rate
	if since >= replayBurstAt && since < replayBurstAt+magno.Second {
		rate += replayBurst
	}
	if p.rand.Float64() < rate/1000 {
		p.arrive(false)
	}
	p.returns = slices.DeleteFunc(p.returns, func(at magno.Millis) bool {
		if now >= at {
			p.arrive(true)
		}
		return now >= at
	})
}

// Some hundred callers are refused within a second, and each returns once. Guards against an agenda
// with which fewer of them find room than without, also where the pool slows down meanwhile, or
// where one of two entries is lost with its reservations and all callers return to the other one.
func TestRefusedCallersFindRoom(t *testing.T) {
	for _, c := range []replayCase{
		{"low load", 20, 12 * magno.Second, 1, false},
		{"usual load", 100, 12 * magno.Second, 1, false},
		{"high load", 180, 12 * magno.Second, 1, false},
		{"short timeout", 100, 3 * magno.Second, 1, false},
		{"pool slows down", 20, 12 * magno.Second, 2, false},
		{"an entry dies", 100, 12 * magno.Second, 1, true},
	} {
		without, with := replay(c, false), replay(c, true)
		t.Logf("%s: %d of %d callers that returned are served without the agenda, %d of %d with it", c.name,
			without.served, without.served+without.refused, with.served, with.served+with.refused)
		if with.share() <= without.share() {
			t.Errorf("%s: %.2f of the callers that return are served with the agenda, %.2f without", c.name, with.share(), without.share())
		}
	}
}
