package scene

import (
	"fmt"
	"math"
	"math/rand/v2"

	"magnoliastall.example/magno"
)

// clump is how many requests come together on average.
const clump = 3

// Reading is an answer that callers read as it comes, Draft a form that must be
// filled within seconds.
var (
	Reading = Ask{Prompt: 630, Output: 200, Rank: 1, Aim: 800, Limit: 12_000}
	Draft   = Ask{Prompt: 1800, Output: 20, Rank: 0, Aim: 1000, Limit: 3000}
)

// Traffic draws readings and drafts over a span, so many a second, in clumps. A
// few adapters take most of it: the nth is asked for in proportion to a power of
// n, among 3,000.
func Traffic(seed uint64, span magno.Millis, rate float64) []Ask {
	return traffic(seed, span, rate, 5, 5, func(rnd *rand.Rand) int {
		return int(math.Pow(3000, rnd.Float64()*rnd.Float64()))
	})
}

// Wide draws them for a fleet of so many entries, as at a site of hundreds of
// machines: a third are drafts, and of 24,000 adapters the nth is asked for in
// proportion to n to the power of -1.2.
func Wide(seed uint64, span magno.Millis, rate float64, entries int) []Ask {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(seed, 4)), 1.2, 1, 24_000) //nolint:gosec // no secret
	list := traffic(seed, span, rate, entries, 3, func(*rand.Rand) int { return int(zipf.Uint64()) })
	rnd := rand.New(rand.NewPCG(seed, 5)) //nolint:gosec // no secret
	for i := range list {
		list[i].Hint = max(1, int(float64(list[i].Output)*math.Exp(rnd.NormFloat64()/2)))
	}
	return list
}

// traffic draws asks in clumps; one in so many is a draft.
func traffic(seed uint64, span magno.Millis, rate float64, entries, drafts int, adapter func(*rand.Rand) int) []Ask {
	rnd := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // no secret
	var list []Ask
	for at := 0.0; at < float64(span); at += rnd.ExpFloat64() * clump * 1000 / rate {
		for range 1 + rnd.IntN(2*clump-1) {
			a := Reading
			if rnd.IntN(drafts) == 0 {
				a = Draft
			}
			a.At, a.Entry = magno.Millis(at), rnd.IntN(entries)
			a.Adapter = fmt.Sprint("a", adapter(rnd))
			a.Prompt = spread(rnd, a.Prompt, 7000)
			a.Output = spread(rnd, a.Output, 600)
			list = append(list, a)
		}
	}
	return list
}

// Burst is so many asks of one kind over a span.
func Burst(seed uint64, kind Ask, n int, at, span magno.Millis, adapter func(i int) string) []Ask {
	rnd := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // no secret
	list := make([]Ask, 0, n)
	for i := range n {
		a := kind
		a.At, a.Entry, a.Adapter = at+magno.Millis(rnd.Int64N(int64(span))), rnd.IntN(5), adapter(i)
		a.Prompt = spread(rnd, a.Prompt, 7000)
		list = append(list, a)
	}
	return list
}

// spread draws a size around a mean, with a long tail up to most.
func spread(rnd *rand.Rand, mean, most int) int {
	return max(1, min(most, int(float64(mean)*math.Exp(rnd.NormFloat64()*0.8-0.32))))
}
