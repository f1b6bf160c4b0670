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
	// minAnswerTokens and maxAnswerTokens bound the length of a response. One in
	// longAnswerInterval is longAnswerFactor times as long.
	minAnswerTokens, maxAnswerTokens = 8, 48
	longAnswerInterval               = 20
	longAnswerFactor                 = 5
	// plainShare is the share of requests to plain services.
	plainShare = 0.25
	// keyedShare is the share of engine requests to profiles that require a key, which the
	// Zipf distribution over all profiles would rarely select.
	keyedShare = 0.2
	// streamShare is the share of engine requests that are streamed.
	streamShare        = 0.5
	callersPerCustomer = 12
	// maxResendDelay limits the time between a request and its duplicate.
	maxResendDelay = 400 * time.Millisecond
)

// target is a profile that requests can name.
type target struct {
	magno.Profile
	plain bool
}

// request is one request of a caller.
type request struct {
	target
	// payload is the prompt or the body, unique to the request.
	payload   string
	key       string
	caller    string
	maxTokens int
	stream    bool
	entry     int
	timeout   magno.Millis
	// resendAfter is the delay of the duplicate; negative means that there is none.
	resendAfter time.Duration
}

// listTargets returns the profiles that are not retired, in the order of the configuration.
func (l *LoadTest) listTargets() []target {
	plain := map[string]bool{}
	for _, p := range l.Config.Pools {
		plain[p.Name] = p.Kind == magno.PoolPlain
	}
	var targets []target
	for _, p := range l.Config.Profiles {
		if !p.Retired {
			targets = append(targets, target{p, plain[p.Pool]})
		}
	}
	return targets
}

// pickTarget draws a target: plain and keyed profiles uniformly, all others by a Zipf
// distribution over their order.
func (l *LoadTest) pickTarget() target {
	x := l.rand.Float64()
	wantPlain := x < plainShare
	wantKey := !wantPlain && x < plainShare+(1-plainShare)*keyedShare
	var candidates []target
	for _, k := range l.targets {
		if k.plain == wantPlain && (wantPlain || k.Idempotent != wantKey) {
			candidates = append(candidates, k)
		}
	}
	if len(candidates) == 0 {
		return l.targets[l.rand.IntN(len(l.targets))]
	}
	if wantPlain || wantKey {
		return candidates[l.rand.IntN(len(candidates))]
	}
	return candidates[zipfRank(l.rand, len(candidates), l.ZipfExponent)]
}

// zipfRank draws from a Zipf distribution over n ranks by inversion of its continuous form.
func zipfRank(r *rand.Rand, n int, s float64) int {
	u := r.Float64()
	if math.Abs(s-1) < 1e-9 {
		return min(n-1, int(math.Pow(float64(n+1), u))-1)
	}
	top := math.Pow(float64(n+1), 1-s) - 1
	return min(n-1, int(math.Pow(1+u*top, 1/(1-s)))-1)
}

// nextRequest builds request number n.
func (l *LoadTest) nextRequest(n int) request {
	r := request{target: l.pickTarget(), entry: l.rand.IntN(len(l.Entries)), resendAfter: -1}
	r.timeout = r.Deadline
	if r.timeout == 0 {
		r.timeout = 20 * magno.Second
	}
	r.caller = fmt.Sprintf("%s-%02d", r.Customer, l.rand.IntN(callersPerCustomer))
	r.maxTokens = minAnswerTokens + l.rand.IntN(maxAnswerTokens-minAnswerTokens)
	if l.rand.IntN(longAnswerInterval) == 0 {
		r.maxTokens *= longAnswerFactor
	}
	filler := strings.Repeat(" line of text", 1+l.rand.IntN(60))
	r.payload = fmt.Sprintf("%s of %s, run %s, number %d:%s", r.Name, r.Customer, l.runID, n, filler)
	if r.plain {
		r.payload = fmt.Sprintf(`{"run": %q, "number": %d}`, l.runID, n)
	}
	r.stream = !r.plain && l.rand.Float64() < streamShare
	if !r.Idempotent {
		r.key = uuid.Must(uuid.NewV7()).String()
		if l.rand.Float64() < l.ResendShare {
			r.resendAfter = time.Duration(l.rand.Float64() * float64(maxResendDelay))
		}
	}
	return r
}
