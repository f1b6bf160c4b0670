package live

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"magnoliastall.example/magno"
)

const (
	// wordsLeast and wordsMost bound the length of an answer; long ones have
	// longFactor times as many, one in longEvery.
	wordsLeast, wordsMost = 8, 48
	longEvery             = 20
	longFactor            = 5
	// plainShare is the share of requests that go to plain services.
	plainShare = 0.25
	// namedShare is the share of engine requests that go to profiles with a
	// key, which a Zipf law over all would hardly reach.
	namedShare = 0.2
	// streamed is the share of engine requests that are streamed.
	streamed = 0.5
	// callers is the number of callers of each customer.
	callers = 12
	// startSpan is how long before its resend a request was sent at most.
	startSpan = 400 * time.Millisecond
)

// kind is a profile that can be asked for.
type kind struct {
	magno.Profile
	plain bool
}

// request is one call of one caller.
type request struct {
	kind
	// text is the prompt or the body, unlike that of any other request.
	text   string
	key    string
	caller string
	max    int
	stream bool
	entry  int
	left   magno.Millis
	// again is after how long it is sent a second time; negative means never.
	again time.Duration
}

// profiles lists what can be asked for, first the engines' repeatable ones.
func (l *LoadTest) profiles() []kind {
	plain := map[string]bool{}
	for _, p := range l.Config.Pools {
		plain[p.Name] = p.Kind == magno.PoolPlain
	}
	var kinds []kind
	for _, p := range l.Config.Profiles {
		if !p.Retired {
			kinds = append(kinds, kind{p, plain[p.Pool]})
		}
	}
	return kinds
}

// pick draws a profile: plain ones and those with a key evenly, the others by
// a Zipf law in their order.
func (l *LoadTest) pick() kind {
	x := l.rand.Float64()
	wantPlain := x < plainShare
	wantKey := !wantPlain && x < plainShare+(1-plainShare)*namedShare
	var some []kind
	for _, k := range l.kinds {
		if k.plain == wantPlain && (wantPlain || k.Repeat != wantKey) {
			some = append(some, k)
		}
	}
	if len(some) == 0 {
		return l.kinds[l.rand.IntN(len(l.kinds))]
	}
	if wantPlain || wantKey {
		return some[l.rand.IntN(len(some))]
	}
	return some[rank(l.rand, len(some), l.ZipfExponent)]
}

// rank draws from a Zipf law over n by inversion of its continuous form.
func rank(r *rand.Rand, n int, s float64) int {
	u := r.Float64()
	if math.Abs(s-1) < 1e-9 {
		return min(n-1, int(math.Pow(float64(n+1), u))-1)
	}
	top := math.Pow(float64(n+1), 1-s) - 1
	return min(n-1, int(math.Pow(1+u*top, 1/(1-s)))-1)
}

// next makes the request number n.
func (l *LoadTest) next(n int) request {
	r := request{kind: l.pick(), entry: l.rand.IntN(len(l.Entries)), again: -1}
	r.left = r.Deadline
	if r.left == 0 {
		r.left = 20 * magno.Second
	}
	r.caller = fmt.Sprintf("%s-%02d", r.Customer, l.rand.IntN(callers))
	r.max = wordsLeast + l.rand.IntN(wordsMost-wordsLeast)
	if l.rand.IntN(longEvery) == 0 {
		r.max *= longFactor
	}
	filler := strings.Repeat(" line of text", 1+l.rand.IntN(60))
	r.text = fmt.Sprintf("%s of %s, run %s, number %d:%s", r.Name, r.Customer, l.mark, n, filler)
	if r.plain {
		r.text = fmt.Sprintf(`{"run": %q, "number": %d}`, l.mark, n)
	}
	r.stream = !r.plain && l.rand.Float64() < streamed
	if !r.Repeat {
		r.key = uuid.Must(uuid.NewV7()).String()
		if l.rand.Float64() < l.ResendShare {
			r.again = time.Duration(l.rand.Float64() * float64(startSpan))
		}
	}
	return r
}
