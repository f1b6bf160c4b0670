package scene

import (
	"fmt"
	"math"
	"math/rand/v2"

	"magnoliastall.example/magno"
)

// meanBurst is the mean number of requests that arrive together.
const meanBurst = 3

// StreamedRequest is a response that the caller reads as it is streamed, FormRequest the
// filling of a form within seconds.
var (
	StreamedRequest = Request{Prompt: 630, Output: 200, Rank: 1, StartTarget: 800, Timeout: 12_000}
	FormRequest     = Request{Prompt: 1800, Output: 20, Rank: 0, StartTarget: 1000, Timeout: 3000}
)

// Traffic draws both kinds of request over a span at a rate per second, in bursts.
// Popularity is skewed: the n-th of 3,000 adapters is requested in proportion to a power
// of n.
func Traffic(seed uint64, span magno.Millis, rate float64) []Request {
	return traffic(seed, span, rate, 5, 5, func(rnd *rand.Rand) int {
		return int(math.Pow(3000, rnd.Float64()*rnd.Float64()))
	})
}

// WideTraffic draws requests for a fleet with many entries, as at a site of hundreds of
// machines. A third are form requests, and the n-th of 24,000 adapters is requested in
// proportion to n to the power of -1.2.
func WideTraffic(seed uint64, span magno.Millis, rate float64, entries int) []Request {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(seed, 4)), 1.2, 1, 24_000) //nolint:gosec // no secret
	list := traffic(seed, span, rate, entries, 3, func(*rand.Rand) int { return int(zipf.Uint64()) })
	rnd := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // no secret
	for i := range list {
		list[i].ExpectedOutput = max(1, int(float64(list[i].Output)*math.Exp(rnd.NormFloat64()/2)))
	}
	return list
}

// traffic draws requests in bursts; one in formRatio is a form request.
func traffic(seed uint64, span magno.Millis, rate float64, entries, formRatio int, adapter func(*rand.Rand) int) []Request {
	rnd := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // no secret
	var list []Request
	for at := 0.0; at < float64(span); at += rnd.ExpFloat64() * meanBurst * 1000 / rate {
		for range 1 + rnd.IntN(2*meanBurst-1) {
			a := StreamedRequest
			if rnd.IntN(formRatio) == 0 {
				a = FormRequest
			}
			a.At, a.Entry = magno.Millis(at), rnd.IntN(entries)
			a.Adapter = fmt.Sprint("a", adapter(rnd))
			a.Prompt = logNormal(rnd, a.Prompt, 7000)
			a.Output = logNormal(rnd, a.Output, 600)
			list = append(list, a)
		}
	}
	return list
}

// Burst draws n requests of one kind over a span.
func Burst(seed uint64, kind Request, n int, at, span magno.Millis, adapter func(i int) string) []Request {
	rnd := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // no secret
	list := make([]Request, 0, n)
	for i := range n {
		a := kind
		a.At, a.Entry, a.Adapter = at+magno.Millis(rnd.Int64N(int64(span))), rnd.IntN(5), adapter(i)
		a.Prompt = logNormal(rnd, a.Prompt, 7000)
		list = append(list, a)
	}
	return list
}

// logNormal draws a size with the given mean from a long-tailed distribution, capped at
// limit.
func logNormal(rnd *rand.Rand, mean, limit int) int {
	return max(1, min(limit, int(float64(mean)*math.Exp(rnd.NormFloat64()*0.8-0.32))))
}
