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

// replayCase is a load: the steady rate per second, the callers' timeout, the factor by which
// requests take longer from some time in the burst on, and whether one of the two entries, each of
// which has its own agenda, is lost then.
type replayCase struct {
	name      string
	rate      float64
	timeout   magno.Millis
	slowdown  magno.Millis
	entryDies bool
}

// replay replays a load, and returns what those that came back found.
func replay(c replayCase, withAgenda bool) returned {
	clock := magno.NewClock(magno.Hour)
	entries := []*Agenda{{Clock: clock}, {Clock: clock}}
	r := rand.New(rand.NewPCG(5, 2)) //nolint:gosec // no secret
	began := clock.Now()
	var ends, returns []magno.Millis
	var waiting int
	var result returned
	arrive := func(again bool) {
		now := clock.Now()
		switch {
		case len(ends)+waiting < replaySlots+replayQueue:
			waiting++
			if again {
				result.served++
			}
		case again:
			result.refused++
		default:
			at := now + replayRetry
			if withAgenda {
				at = entries[r.IntN(len(entries))].Promise(0, at, now+c.timeout/3)
			}
			returns = append(returns, at+magno.Millis(r.IntN(replayJitter)))
		}
	}
	for clock.Now() < began+replayEnd {
		now := clock.Now()
		since := now - began
		ends = slices.DeleteFunc(ends, func(end magno.Millis) bool {
			if now >= end {
				entries[r.IntN(len(entries))].Served()
			}
			return now >= end
		})
		runTime := replayRunTime
		if since > replayBurstAt+replaySlowAfter {
			runTime *= c.slowdown
			if c.entryDies {
				entries = entries[:1]
			}
		}
		for waiting > 0 && len(ends) < replaySlots {
			waiting--
			ends = append(ends, now+runTime/2+magno.Millis(r.Int64N(int64(runTime))))
		}
		rate := c.rate
		if since >= replayBurstAt && since < replayBurstAt+magno.Second {
			rate += replayBurst
		}
		if r.Float64() < rate/1000 {
			arrive(false)
		}
		returns = slices.DeleteFunc(returns, func(at magno.Millis) bool {
			if now >= at {
				arrive(true)
			}
			return now >= at
		})
		clock.Advance(1)
	}
	return result
}

// Some hundred callers are refused within a second, and each returns once. With the agenda more
// of them must find room, also where the pool slows down meanwhile, or where one of two entries is
// lost with its reservations and all callers return to the other one.
func TestRefusedCallersFindRoom(t *testing.T) {
	for _, c := range []replayCase{
		{"quiet", 20, 12 * magno.Second, 1, false},
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
