package pace

import (
	"testing"

	"magnoliastall.example/magno"
)

// take counts the requests that pass within a time if one is tried each millisecond.
func take(l *Limiter, clock *magno.Clock, within magno.Millis) int {
	n := 0
	for range within {
		if l.Allows(clock.Now()) {
			l.Take(1)
			n++
		}
		clock.Advance(1)
	}
	return n
}

func TestLimitIsKept(t *testing.T) {
	for _, c := range []struct {
		rate     float64
		min, max int
	}{{0, 0, 1}, {1.8, 7, 7}, {2, 8, 8}, {50, 198, 200}, {400, 1597, 1600}} {
		clock := magno.NewClock(magno.Hour)
		var l Limiter
		l.Name(c.rate, clock.Now(), clock.Now())
		if n := take(&l, clock, 4*magno.Second+1); n < c.min || n > c.max {
			t.Errorf("%d requests in 4 s at a limit of %v, want %d to %d", n, c.rate, c.min, c.max)
		}
	}
}

// Guards against a burst after a time without requests that is over the upstream's tolerance:
// half as much again, and five requests.
func TestBurstStaysWithinTolerance(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 3, 20, 300} {
		clock := magno.NewClock(magno.Hour)
		var l Limiter
		l.Name(rate, clock.Now(), clock.Now())
		clock.Advance(magno.Minute)
		if n := take(&l, clock, 4*magno.Second); float64(n) > 1.5*4*rate+5 {
			t.Errorf("%d requests in 4 s at a limit of %v", n, rate)
		}
	}
}

// Guards against statements that arrive out of order: an answer from before the limit must not
// end it, and an old limit must not return.
func TestStatementsOutOfOrder(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var l Limiter
	granted := clock.Now()
	clock.Advance(100)
	named := clock.Now()
	if !l.Name(2, named, named) || l.Name(2, named, named) {
		t.Error("the limit is no change, or one twice")
	}
	if l.End(granted, clock.Now()) {
		t.Error("an answer to a request from before the limit ended it")
	}
	clock.Advance(100)
	if !l.End(clock.Now(), clock.Now()) || !l.Allows(clock.Now()) || l.State(clock.Now()).Limited {
		t.Error("the limit didn't end")
	}
	if l.Name(2, named, clock.Now()) {
		t.Error("a statement from before the end brought the limit back")
	}
	clock.Advance(100)
	if !l.Name(2, clock.Now(), clock.Now()) || l.Allows(clock.Now()) {
		t.Error("a new limit doesn't hold, or begins with a burst")
	}
}

func TestLoweredLimitBindsAtOnce(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var l Limiter
	l.Name(100, clock.Now(), clock.Now())
	clock.Advance(magno.Second)
	l.Name(1, clock.Now(), clock.Now())
	if n := take(&l, clock, magno.Second); n > 2 {
		t.Errorf("%d requests in the second after the limit was lowered to 1", n)
	}
}

// Guards against all refused requests returning at the same moment, and against a time to
// return that is far beyond the end of the limit.
func TestRefusedRequestsAreSpaced(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var l Limiter
	l.Name(4, clock.Now(), clock.Now())
	var last magno.Millis
	for i := range 20 {
		after := l.RetryAfter(clock.Now())
		if after < min(last+250, maxRetryAfter) || after > maxRetryAfter {
			t.Fatalf("request %d is told to return after %d ms, the one before after %d ms", i, after, last)
		}
		last = after
	}
}

func TestDelayGrowsWithTheQueue(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var l Limiter
	if l.Delay(9, clock.Now()) != 0 {
		t.Error("a delay without a limit")
	}
	l.Name(2, clock.Now(), clock.Now())
	if first, third := l.Delay(1, clock.Now()), l.Delay(3, clock.Now()); first != 501 || third != 1501 {
		t.Errorf("delays of %d and %d ms, want 501 and 1501", first, third)
	}
}

// Guards against a process with older knowledge replacing the limit in force.
func TestOlderLimitDoesNotReplaceANewerOne(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	var l Limiter
	old := clock.Now()
	clock.Advance(100)
	l.Name(2, clock.Now(), clock.Now())
	if l.Name(50, old, clock.Now()) || l.State(clock.Now()).Rate != 2 {
		t.Errorf("the limit is %v", l.State(clock.Now()).Rate)
	}
}
