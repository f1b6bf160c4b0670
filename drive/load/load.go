// Package load generates the work of a deployment: an open loop of arrivals
// that doesn't wait for answers, for callers don't either. One seed gives the
// same arrivals every time, whatever serves them.
//
//	Deploy, case, seed, rate --> thinned Poisson process --> class, caller,
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
	// wave and period shape the day, squeezed into minutes: the rate swings
	// by 15% so that the peak of a load of 0.8 stays under capacity.
	wave   = 0.15
	period = 20 * magno.Minute
	// burstEvery, burstFor and burstRate shape the bursts.
	burstEvery = magno.Minute
	burstFor   = 5 * magno.Second
	burstRate  = 3.0
	// hotShare is what the hot key takes; hotCaller how many times its share
	// a hot caller sends.
	hotShare  = 0.3
	hotCaller = 10
	// coldRank is the rank of the adapter that becomes the hot key.
	coldRank = 500
	// drift is how often a customer's popularity moves: one hot adapter and
	// one cold one change places, so that 60 an hour in each customer, 6% of
	// 1,000, wake up or fall idle.
	drift = 2 * magno.Minute
	// hotRanks is how many adapters of a customer count as hot.
	hotRanks = 30
	// prefixes is how many known prompt starts an adapter has.
	prefixes = 3
	// longFactor and longShare shape the case of long jobs.
	longFactor = 4
	longRatio  = 2 // drafts are long already
	longShare  = 0.3
	// allowed is the limit on tokens that callers state, against the median
	// of what comes: engines often stop before it.
	allowed = 1.5
)

// Workload generates arrivals. Its fields are set before Jobs.
type Workload struct {
	Deployment Deployment
	// Case is one of Scenes.
	Case string
	Seed uint64
	// Rate is requests a second over all pools.
	Rate float64
	// Duration is the length of the run.
	Duration magno.Millis
	// WarmUp is its first part, which isn't counted: every run begins with
	// empty engines.
	WarmUp magno.Millis
	// ZipfExponent is the exponent of popularity.
	ZipfExponent float64
	// StallWeight replaces the setting of all engine classes when it is not
	// negative.
	StallWeight float64
}

// Arrival is one request as it leaves its caller.
type Arrival struct {
	// Job is what policies see; its Output is the caller's limit.
	Job magno.Job
	// OutputTokens is how many tokens will come, at most Job.Output. Only the engine
	// and the bound know it.
	OutputTokens int
	Pool         string
	Entry        int
	// Hot is true when it comes of the case and not of the base load, so
	// that the others' answers can be judged alone.
	Hot bool
}

// maker holds the state of one generation.
type maker struct {
	*Workload
	r    *rand.Rand
	zipf []float64
	// rank maps a customer and a rank to an adapter's number.
	rank  map[string][]int
	moved magno.Millis
	done  bool
	n     int
}

// Arrivals returns every arrival in order of time.
func (l *Workload) Arrivals() []Arrival {
	m := &maker{Workload: l, r: rand.New(rand.NewPCG(l.Seed, 0x10ad)), rank: map[string][]int{}}
	m.zipf = zipfTable(l.Deployment.PerCustomer(), l.ZipfExponent)
	for _, b := range l.Deployment.Customers {
		m.rank[b.Name] = m.r.Perm(l.Deployment.PerCustomer())
	}
	peak := l.Rate * m.peak()
	jobs := make([]Arrival, 0, int(l.Rate*float64(l.Duration)/1000))
	for at := 0.0; ; {
		at += m.r.ExpFloat64() / peak * float64(magno.Second)
		now := magno.Millis(at)
		if now >= l.Duration {
			break
		}
		m.move(now)
		if m.r.Float64() < l.Rate*m.shape(now)/peak {
			jobs = append(jobs, m.arrival(now))
		}
	}
	return m.withHot(jobs)
}

func (m *maker) peak() float64 {
	if m.Case == Burst {
		return burstRate * (1 + wave)
	}
	return 1 + wave
}

// shape is the rate at now against the mean. Bursts take their work from the
// rest of the minute, so the mean load stays as it was asked for.
func (m *maker) shape(now magno.Millis) float64 {
	s := 1 + wave*math.Sin(2*math.Pi*float64(now)/float64(period))
	if m.Case != Burst {
		return s
	}
	if now%burstEvery < burstFor {
		return s * burstRate
	}
	part := float64(burstFor) / float64(burstEvery)
	return s * (1 - burstRate*part) / (1 - part)
}

// move lets popularity drift, and shift at once in its case.
func (m *maker) move(now magno.Millis) {
	for ; m.moved+drift <= now; m.moved += drift {
		for _, b := range m.Deployment.Customers {
			m.swap(m.rank[b.Name], 1)
		}
	}
	if m.Case == Shift && !m.done && now >= m.Duration/2 {
		m.done = true
		for _, b := range m.Deployment.Customers {
			m.swap(m.rank[b.Name], hotRanks/2)
		}
	}
}

func (m *maker) swap(rank []int, n int) {
	hot := min(hotRanks, len(rank)/2)
	for _, i := range m.r.Perm(hot)[:min(n, hot)] {
		j := hot + m.r.IntN(len(rank)-hot)
		rank[i], rank[j] = rank[j], rank[i]
	}
}

func (m *maker) arrival(now magno.Millis) Arrival {
	class := m.class()
	c := &m.Deployment.Classes[class]
	caller := fmt.Sprintf("%s-%02d", c.Customer, m.r.IntN(callers))
	return m.job(now, class, caller)
}

func (m *maker) job(now magno.Millis, class int, caller string) Arrival {
	c := &m.Deployment.Classes[class]
	m.n++
	j := magno.Job{
		ID: fmt.Sprintf("r%07d", m.n), Customer: c.Customer, Caller: caller, Profile: c.Name,
		Urgency: c.Urgency, Stall: c.StallWeight, Repeat: c.Idempotent, Print: m.r.Uint64(),
		Prompt: m.size(c.Prompt, c.Spread), Output: int(allowed * float64(c.Output)),
		Arrived: now, Deadline: now + c.Deadline,
	}
	made := m.size(c.Output, c.Spread)
	if c.Pool == PoolReading {
		m.engineJob(&j, c, now)
		if m.Case == Long && c.Prompt > c.Output*longRatio && m.r.Float64() < longShare {
			j.Output *= longFactor
			made *= longFactor
		}
	}
	return Arrival{
		Job: j, OutputTokens: min(max(1, made), j.Output), Pool: c.Pool, Entry: m.r.IntN(m.Deployment.Entries),
	}
}

func (m *maker) engineJob(j *magno.Job, c *Class, now magno.Millis) {
	n := m.pick(c.Customer, now)
	name := fmt.Sprintf("%s-%04d", c.Customer, n)
	j.Profile = c.Name + "-" + name
	j.Ref = magno.Ref{Adapter: name, Version: "1"}
	if m.StallWeight >= 0 {
		j.Stall = m.StallWeight
	}
	if m.r.Float64() < c.PrefixShare {
		j.Prefix = uint64(n)<<8 + uint64(m.r.IntN(prefixes)) + 1
	}
}

// pick draws an adapter of a customer.
func (m *maker) pick(customer string, now magno.Millis) int {
	rank := m.rank[customer]
	if m.Case == HotKey && now >= m.Duration/3 && m.r.Float64() < hotShare*float64(len(m.rank)) &&
		customer == m.Deployment.Customers[0].Name {
		return rank[min(coldRank, len(rank)-1)]
	}
	i := sort.SearchFloat64s(m.zipf, m.r.Float64())
	return rank[min(i, len(rank)-1)]
}

func (m *maker) class() int {
	x := m.r.Float64()
	for i := range m.Deployment.Classes {
		if x -= m.Deployment.Classes[i].Share; x < 0 {
			return i
		}
	}
	return len(m.Deployment.Classes) - 1
}

// size draws a log-normal number of tokens around a median.
func (m *maker) size(median int, spread float64) int {
	return int(float64(median) * math.Exp(spread*m.r.NormFloat64()))
}

// withHot adds the hot caller's work to the base load, which stays the same,
// so that the others' answers compare with those of the steady case.
func (m *maker) withHot(jobs []Arrival) []Arrival {
	if m.Case != HotCaller {
		return jobs
	}
	class := 0
	share := m.Deployment.Classes[class].Share / callers
	gap := float64(magno.Second) / (m.Rate * share * (hotCaller - 1))
	for at := float64(m.Duration) / 3; ; {
		at += m.r.ExpFloat64() * gap
		if magno.Millis(at) >= m.Duration {
			break
		}
		a := m.job(magno.Millis(at), class, m.Deployment.Customers[0].Name+"-00")
		a.Hot = true
		jobs = append(jobs, a)
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].Job.Arrived < jobs[j].Job.Arrived })
	return jobs
}

// zipfTable returns the cumulative shares of n ranks.
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
