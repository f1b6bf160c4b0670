package quota

import (
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/grant"
)

var limit = magno.Limit{Rate: 1000, Burst: 1000, Tokens: true}

func newQuota() (*Quota, *magno.Clock) {
	clock := magno.NewClock(magno.Hour)
	return &Quota{Clock: clock}, clock
}

func TestLeasedTokensNeedNoCall(t *testing.T) {
	q, _ := newQuota()
	for range 10 { // enough demand to lease tokens ahead
		if v, _ := q.Take("a", limit, 100); v != Pending {
			t.Fatalf("verdict %d without leased tokens", v)
		}
	}
	ask := q.Ask("a", limit, 100, 100)
	if ask.Need != 100 || ask.Want <= 100 {
		t.Errorf("call needs %v and wants %v tokens", ask.Need, ask.Want)
	}
	q.Granted(ask, grant.Reply{Granted: 200}, limit)
	if v, _ := q.TakeAgain("a", limit, 100); v != Allowed {
		t.Errorf("verdict %d after tokens were granted", v)
	}
	if v, _ := q.Take("a", limit, 100); v != Allowed {
		t.Errorf("verdict %d with leased tokens", v)
	}
}

// A customer far over its limit must not cause a call for each request, and the home must
// be asked again soon, since tokens may be available before the time that it stated.
func TestOverTheLimitIsRefusedWithoutAnAnswer(t *testing.T) {
	q, clock := newQuota()
	q.Granted(q.Ask("a", limit, 100, 100), grant.Reply{RetryAfter: 4000}, limit)
	if v, after := q.Take("a", limit, 100); v != Refused || after != 4000 {
		t.Errorf("verdict %d, retry after %d ms", v, after)
	}
	clock.Advance(askInterval)
	if v, _ := q.Take("a", limit, 100); v != Pending {
		t.Errorf("verdict %d when the home may be asked again", v)
	}
}

func TestTokensWithoutUseGoBack(t *testing.T) {
	q, clock := newQuota()
	q.Take("a", limit, 100)
	q.Granted(q.Ask("a", limit, 100, 100), grant.Reply{Granted: 500}, limit)
	q.TakeAgain("a", limit, 100)
	if len(q.Surplus()) != 1 {
		t.Fatal("400 unneeded tokens are no surplus")
	}
	clock.Advance(10 * magno.Second)
	if ask := q.Ask("a", limit, 0, 0); ask.Returned < 390 || ask.Need != 0 || ask.Want > 10 {
		t.Errorf("call returns %v and wants %v tokens", ask.Returned, ask.Want)
	}
	if len(q.Surplus()) != 0 {
		t.Error("the customer still has a surplus")
	}
}

func TestLoweredLimitScalesLeasedTokens(t *testing.T) {
	q, _ := newQuota()
	q.Granted(q.Ask("a", limit, 500, 500), grant.Reply{Granted: 500}, limit)
	low := magno.Limit{Rate: 100, Burst: 100, Tokens: true}
	if v, _ := q.Take("a", low, 400); v == Allowed {
		t.Error("a request was allowed by tokens leased under the old limit")
	}
}

// While a customer's home is lost, its requests must not all be refused, and thirty
// processes must not each use its whole allowance.
// Guards against processes that can't know how many others there are and each use a share while no home answers.
func TestFallbackWithoutContactGrantsNothing(t *testing.T) {
	q, clock := newQuota()
	for range 100 {
		if v, after := q.Fallback("a", limit, 50, 1<<20); v != Refused || after <= 0 {
			t.Fatalf("got %v, return after %d ms", v, after)
		}
		clock.Advance(100)
	}
	if v, _ := q.Fallback("a", limit, 50, 1); v != Allowed {
		t.Error("refused once it knows that it is alone")
	}
}

func TestFallbackUsesItsPart(t *testing.T) {
	q, clock := newQuota()
	var sum float64
	for range 100 {
		if v, _ := q.Fallback("a", limit, 50, 30); v == Allowed {
			sum += 50
		}
		clock.Advance(100)
	}
	if part := limit.Rate / 30 * 10; sum < part || sum > 2*part+50 {
		t.Errorf("%v tokens used in 10 s, the process's share is %v", sum, part)
	}
}

// Guards against processes that are killed again and again while no home can be reached, and each use
// a share of the allowance at once: one request of any size in each life.
func TestFallbackOfManyLivesUsesOnePart(t *testing.T) {
	const lives, life, known = 20, 400 * magno.Millis(1), 30
	clock := magno.NewClock(magno.Hour)
	sum := 0.0
	for range lives {
		q := &Quota{Clock: clock, StartedAt: clock.Now()}
		for end := clock.Now() + life; clock.Now() < end; clock.Advance(100) {
			if v, _ := q.Fallback("a", limit, 500, known); v == Allowed {
				sum += 500
			}
		}
	}
	if part := limit.Rate / known * float64(lives*life) / 1000; sum > part {
		t.Errorf("%v tokens used in %d lives, the process's share is %v", sum, lives, part)
	}
}
