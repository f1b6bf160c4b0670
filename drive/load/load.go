// Package load generates the load of a deployment as an open loop: arrivals don't wait for
// responses, as those of real callers don't. A seed always gives the same arrivals,
// whatever serves them.
//
//	Deployment, case, seed, rate --> thinned Poisson process --> class, caller,
//	adapter by Zipf rank --> Arrival, in order of time
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"magnoliastall.example/magno"
)

const (
	// callers is the number of callers of each customer.
	callers = 20
	// rateAmplitude and ratePeriod model the daily cycle, compressed into minutes: the
	// rate varies by 15%, so that the peak at a load of 0.8 stays below capacity.
	rateAmplitude = 0.15
	ratePeriod    = 20 * magno.Minute
	// burstInterval, burstDuration and burstFactor define the bursts of the case Burst.
	burstInterval = magno.Minute
	burstDuration = 5 * magno.Second
	burstFactor   = 3.0
	// hotShare is the share of requests for the hot key; hotCallerFactor multiplies the
	// rate of a hot caller.
	hotShare        = 0.3
	hotCallerFactor = 10
	// coldRank is the popularity rank of the adapter that becomes the hot key.
	coldRank = 500
	// driftInterval is how often a customer's popularity changes: one hot adapter and one
	// cold adapter are swapped, so that 60 adapters of a customer per hour, 6% of 1,000,
	// become hot or cold.
	driftInterval = 2 * magno.Minute
	// hotRanks is the number of a customer's adapters that count as hot.
	hotRanks = 30
	// prefixesPerAdapter is the number of known prompt prefixes of an adapter.
	prefixesPerAdapter = 3
	// longFactor, longMinPromptRatio and longShare define the case Long.
	longFactor         = 4
	longMinPromptRatio = 2 // excludes drafts, whose output is already long
	longShare          = 0.3
	// outputLimitFactor is the callers' output limit relative to the median output;
	// engines often stop earlier.
	outputLimitFactor = 1.5
)

// Workload generates arrivals. Its fields are set before Arrivals is called.
type Workload struct {
	Deployment Deployment
	// Case is one of Cases.
	Case string
	Seed uint64
	// Rate is in requests per second over all pools.
	Rate float64
	// Duration is the length of the run.
	Duration magno.Millis
	// WarmUp is the first part of the run, which is not measured because every run begins
	// with empty engines.
	WarmUp magno.Millis
	// ZipfExponent is the exponent of adapter popularity.
	ZipfExponent float64
	// StallWeight overrides the setting of all engine classes unless it is negative.
	StallWeight float64
}

// Arrival is one request as sent by its caller.
type Arrival struct {
	// Job is what policies see; its Output is the caller's limit.
	Job magno.Job
	// OutputTokens is the actual number of output tokens, at most Job.Output. Only the
	// engine and the bound know it.
	OutputTokens int
	Pool         string
	Entry        int
	// Hot marks the requests that a case adds to the base load, so that the other requests
	// can be measured separately.
	Hot bool
}

// generator is the state of one generation.
type generator struct {
	*Workload
	rand       *rand.Rand
	popularity []float64
	// adapters maps a customer and a popularity rank to the number of an adapter.
	adapters  map[string][]int
	driftedAt magno.Millis
	shifted   bool
	count     int
}

// Arrivals returns all arrivals in order of time.
func (l *Workload) Arrivals() []Arrival {
	g := &generator{Workload: l, rand: rand.New(rand.NewPCG(l.Seed, 0x10ad)), adapters: map[string][]int{}}
	g.popularity = zipfTable(l.Deployment.PerCustomer(), l.ZipfExponent)
	for _, customer := range l.Deployment.Customers {
		g.adapters[customer.Name] = g.rand.Perm(l.Deployment.PerCustomer())
	}
	peak := l.Rate * g.peakFactor()
	arrivals := make([]Arrival, 0, int(l.Rate*float64(l.Duration)/1000))
	for at := 0.0; ; {
		at += g.rand.ExpFloat64() / peak * float64(magno.Second)
		now := magno.Millis(at)
		if now >= l.Duration {
			break
		}
		g.shiftPopularity(now)
		if g.rand.Float64() < l.Rate*g.rateFactor(now)/peak {
			arrivals = append(arrivals, g.arrival(now))
		}
	}
	return g.addHotCaller(arrivals)
}

func (g *generator) peakFactor() float64 {
	if g.Case == Burst {
		return burstFactor * (1 + rateAmplitude)
	}
	return 1 + rateAmplitude
}

// rateFactor is the rate at a time relative to the mean rate. Bursts lower the rate of the
// rest of the minute, so that the mean is unchanged.
func (g *generator) rateFactor(now magno.Millis) float64 {
	s := 1 + rateAmplitude*math.Sin(2*math.Pi*float64(now)/float64(ratePeriod))
	if g.Case != Burst {
		return s
	}
	if now%burstInterval < burstDuration {
		return s * burstFactor
	}
	part := float64(burstDuration) / float64(burstInterval)
	return s * (1 - burstFactor*part) / (1 - part)
}

// shiftPopularity applies the drift of popularity, and in the case Shift the sudden
// change.
func (g *generator) shiftPopularity(now magno.Millis) {
	for ; g.driftedAt+driftInterval <= now; g.driftedAt += driftInterval {
		for _, customer := range g.Deployment.Customers {
			g.swapHot(g.adapters[customer.Name], 1)
		}
	}
	if g.Case == Shift && !g.shifted && now >= g.Duration/2 {
		g.shifted = true
		for _, customer := range g.Deployment.Customers {
			g.swapHot(g.adapters[customer.Name], hotRanks/2)
		}
	}
}

func (g *generator) swapHot(ranked []int, n int) {
	hot := min(hotRanks, len(ranked)/2)
	for _, i := range g.rand.Perm(hot)[:min(n, hot)] {
		j := hot + g.rand.IntN(len(ranked)-hot)
		ranked[i], ranked[j] = ranked[j], ranked[i]
	}
}

func (g *generator) arrival(now magno.Millis) Arrival {
	class := g.class()
	c := &g.Deployment.Classes[class]
	caller := fmt.Sprintf("%s-%02d", c.Customer, g.rand.IntN(callers))
	return g.newArrival(now, class, caller)
}

func (g *generator) newArrival(now magno.Millis, class int, caller string) Arrival {
	c := &g.Deployment.Classes[class]
	g.count++
	j := magno.Job{
		ID: fmt.Sprintf("r%07d", g.count), Customer: c.Customer, Caller: caller, Profile: c.Name,
		Urgency: c.Urgency, Stall: c.StallWeight, Idempotent: c.Idempotent, Fingerprint: g.rand.Uint64(),
		Prompt: g.tokens(c.Prompt, c.Spread), Output: int(outputLimitFactor * float64(c.Output)),
		Arrived: now, Deadline: now + c.Deadline,
	}
	outputTokens := g.tokens(c.Output, c.Spread)
	if c.Pool == PoolReading {
		g.engineJob(&j, c, now)
		if g.Case == Long && c.Prompt > c.Output*longMinPromptRatio && g.rand.Float64() < longShare {
			j.Output *= longFactor
			outputTokens *= longFactor
		}
	}
	return Arrival{
		Job: j, OutputTokens: min(max(1, outputTokens), j.Output), Pool: c.Pool, Entry: g.rand.IntN(g.Deployment.Entries),
	}
}

func (g *generator) engineJob(j *magno.Job, c *Class, now magno.Millis) {
	n := g.adapter(c.Customer, now)
	name := fmt.Sprintf("%s-%04d", c.Customer, n)
	j.Profile = c.Name + "-" + name
	j.Ref = magno.Ref{Adapter: name, Version: "1"}
	if g.StallWeight >= 0 {
		j.Stall = g.StallWeight
	}
	if g.rand.Float64() < c.PrefixShare {
		j.Prefix = uint64(n)<<8 + uint64(g.rand.IntN(prefixesPerAdapter)) + 1
	}
}

// adapter draws an adapter of a customer by popularity.
func (g *generator) adapter(customer string, now magno.Millis) int {
	ranked := g.adapters[customer]
	if g.Case == HotKey && now >= g.Duration/3 && g.rand.Float64() < hotShare*float64(len(g.adapters)) &&
		customer == g.Deployment.Customers[0].Name {
		return ranked[min(coldRank, len(ranked)-1)]
	}
	i := sort.SearchFloat64s(g.popularity, g.rand.Float64())
	return ranked[min(i, len(ranked)-1)]
}

func (g *generator) class() int {
	x := g.rand.Float64()
	for i := range g.Deployment.Classes {
		if x -= g.Deployment.Classes[i].Share; x < 0 {
			return i
		}
	}
	return len(g.Deployment.Classes) - 1
}

// tokens draws a number of tokens from a log-normal distribution with the given median.
func (g *generator) tokens(median int, spread float64) int {
	return int(float64(median) * math.Exp(spread*g.rand.NormFloat64()))
}

// addHotCaller adds the hot caller's requests to the base load, which stays the same, so
// that the responses of the others are comparable with the case Steady.
func (g *generator) addHotCaller(arrivals []Arrival) []Arrival {
	if g.Case != HotCaller {
		return arrivals
	}
	class := 0
	share := g.Deployment.Classes[class].Share / callers
	gap := float64(magno.Second) / (g.Rate * share * (hotCallerFactor - 1))
	for at := float64(g.Duration) / 3; ; {
		at += g.rand.ExpFloat64() * gap
		if magno.Millis(at) >= g.Duration {
			break
		}
		a := g.newArrival(magno.Millis(at), class, g.Deployment.Customers[0].Name+"-00")
		a.Hot = true
		arrivals = append(arrivals, a)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].Job.Arrived < arrivals[j].Job.Arrived })
	return arrivals
}

// zipfTable returns the cumulative distribution of n ranks.
func zipfTable(n int, s float64) []float64 {
	table := make([]float64, n)
	sum := 0.0
	for i := range table {
		sum += math.Pow(float64(i+1), -s)
		table[i] = sum
	}
	for i := range table {
		table[i] /= sum
	}
	return table
}
