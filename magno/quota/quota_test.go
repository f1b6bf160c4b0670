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

func TestTokensAtHandNeedNoAnswer(t *testing.T) {
	q, _ := newQuota()
	for range 10 { // so much is asked for that some should be at hand
		if v, _ := q.Take("a", limit, 100); v != Waits {
			t.Fatalf("verdict %d with nothing at hand", v)
		}
	}
	ask := q.Ask("a", limit, 100, 100)
	if ask.Need != 100 || ask.Want <= 100 {
		t.Errorf("asks for %v, wants %v", ask.Need, ask.Want)
	}
	q.Granted(ask, grant.Reply{Granted: 200}, limit)
	if v, _ := q.Again("a", limit, 100); v != Runs {
		t.Errorf("verdict %d after it was granted", v)
	}
	if v, _ := q.Take("a", limit, 100); v != Runs {
		t.Errorf("verdict %d with tokens at hand", v)
	}
}

// Guards against a call for each request of a customer that is far over its limit, and
// against refusing for long what may soon be allowed.
func TestOverTheLimitIsRefusedWithoutAnAnswer(t *testing.T) {
	q, clock := newQuota()
	q.Granted(q.Ask("a", limit, 100, 100), grant.Reply{RetryAfter: 4000}, limit)
	if v, after := q.Take("a", limit, 100); v != Refused || after != 4000 {
		t.Errorf("verdict %d, after %d ms", v, after)
	}
	clock.Advance(askAgain)
	if v, _ := q.Take("a", limit, 100); v != Waits {
		t.Errorf("verdict %d when the home may be asked again", v)
	}
}

func TestTokensWithoutUseGoBack(t *testing.T) {
	q, clock := newQuota()
	q.Take("a", limit, 100)
	q.Granted(q.Ask("a", limit, 100, 100), grant.Reply{Granted: 500}, limit)
	q.Again("a", limit, 100)
	if len(q.Idle()) != 1 {
		t.Fatal("400 tokens that nobody needs aren't idle")
	}
	clock.Advance(10 * magno.Second)
	if ask := q.Ask("a", limit, 0, 0); ask.Returned < 390 || ask.Need != 0 || ask.Want > 10 {
		t.Errorf("gives back %v, wants %v", ask.Returned, ask.Want)
	}
	if len(q.Idle()) != 0 {
		t.Error("they are idle still")
	}
}

func TestLoweredLimitTakesWhatIsAtHand(t *testing.T) {
	q, _ := newQuota()
	q.Granted(q.Ask("a", limit, 500, 500), grant.Reply{Granted: 500}, limit)
	low := magno.Limit{Rate: 100, Burst: 100, Tokens: true}
	if v, _ := q.Take("a", low, 400); v == Runs {
		t.Error("tokens of the old limit are used")
	}
}

// Guards against a customer that is refused altogether while its home is lost, and
// against thirty processes that each use all of its allowance.
func TestFallbackUsesItsPart(t *testing.T) {
	q, clock := newQuota()
	var sum float64
	for range 100 {
		if v, _ := q.Fallback("a", limit, 50, 30); v == Runs {
			sum += 50
		}
		clock.Advance(100)
	}
	if part := limit.Rate / 30 * 10; sum < part || sum > 2*part+50 {
		t.Errorf("%v used in 10 s, a part is %v", sum, part)
	}
}
