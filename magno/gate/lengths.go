package gate

import (
	"cmp"
	"math"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/length"
)

const (
	// memoryRiskDeviations is the number of standard deviations that a normal variable exceeds
	// with a probability of one in a thousand.
	memoryRiskDeviations = 3.09
	// maxOvercommit bounds what would be reserved for declared maxima, relative to the token memory, for
	// the case that all answers become long at once. With a bound of 1.5, 2.3% of the requests of the
	// replay were preempted when answers became twelve times as long; with 1.2 at most 0.7%.
	maxOvercommit = 1.2
	// horizonSteps bounds the horizons, which are powers of two tokens, for which sums are kept.
	horizonSteps = 20
)

// memoryNeed is the token memory that requests are expected to need, as a mean and a variance.
type memoryNeed struct{ mean, variance float64 }

func (n *memoryNeed) add(mean, variance float64) {
	n.mean += mean
	n.variance += variance
}

// atMost is what the need doesn't exceed, except with a probability of one in a thousand.
func (n *memoryNeed) atMost() float64 { return n.mean + memoryRiskDeviations*math.Sqrt(n.variance) }

// lengthEstimates has the learned output lengths, and the sums that decisions need of the running
// requests.
type lengthEstimates struct {
	table length.Table
	// needs are the needs of the running requests within each horizon, declared is the sum of
	// their prompts and declared maxima. They are computed at first use after invalidate.
	needs    [horizonSteps]memoryNeed
	summed   [horizonSteps]bool
	declared int
	counted  bool
}

// invalidate must be called after each change of the running requests, of what they have produced
// and of the table.
func (l *lengthEstimates) invalidate() { l.summed, l.counted = [horizonSteps]bool{}, false }

// lengthKey names the requests whose lengths are alike.
func (req *Request) lengthKey() string { return req.Route + "\x00" + req.Customer }

func (g *Gate) lengthOf(req *Request) length.Dist {
	return g.lengths.table.Estimate(req.lengthKey(), req.MaxOutput, req.ExpectedOutput)
}

// RecordOutput takes the output tokens of a request whose answer was complete. It must be called
// before Done.
func (g *Gate) RecordOutput(id string, output int) {
	g.setup()
	if r := g.active[id]; r != nil && output > 0 {
		g.lengths.table.Add(r.request.lengthKey(), r.request.MaxOutput, r.request.ExpectedOutput, output)
		g.lengths.invalidate()
	}
}

// declaredTokens is the token memory that a request needs at most.
func declaredTokens(req *Request) int { return req.Prompt + req.MaxOutput }

// activeDeclared is the token memory that the running requests need at most.
func (g *Gate) activeDeclared() int {
	l := &g.lengths
	if !l.counted {
		l.counted, l.declared = true, 0
		for _, r := range g.active {
			l.declared += declaredTokens(&r.request)
		}
	}
	return l.declared
}

// learnedCapacity reports whether the token memory suffices for one more request, with a
// probability of at least 0.999, while it runs. It is known only if the declared needs exceed the
// memory and lengths of such requests were learned: otherwise reserved maxima decide. They also decide
// about a request that could exceed the whole memory by itself, which no other may make room for.
func (g *Gate) learnedCapacity(req *Request) (fits, known bool) {
	memory := g.spec.Engine.Tokens
	if g.declaredLengths || memory <= 0 || declaredTokens(req) > memory || g.activeDeclared()+declaredTokens(req) <= memory {
		return false, false
	}
	d := g.lengthOf(req)
	if !d.Known() {
		return false, false
	}
	mean, variance := d.Remaining(0, math.Inf(1))
	need := g.activeNeed(mean)
	need.add(float64(req.Prompt)+mean, variance)
	return need.atMost() <= float64(memory) && float64(g.reservedTokens(req)) <= maxOvercommit*float64(memory), true
}

// activeNeed is the token memory that the running requests need while each of them produces the
// given number of further tokens, at least what the engine reports as used: requests can reach it
// without a permit. Requests that end meanwhile are not subtracted.
func (g *Gate) activeNeed(tokens float64) memoryNeed {
	step := min(max(int(math.Ceil(math.Log2(max(tokens, 1)))), 0), horizonSteps-1)
	l := &g.lengths
	if !l.summed[step] {
		l.summed[step], l.needs[step] = true, memoryNeed{}
		for _, r := range g.active {
			l.needs[step].add(g.needWithin(r, math.Exp2(float64(step))))
		}
		l.needs[step].mean = max(l.needs[step].mean, float64(g.inventory.usedTokens))
	}
	return l.needs[step]
}

// needWithin is the need of one running request while it produces the given number of tokens.
func (g *Gate) needWithin(r *activeRequest, horizon float64) (mean, variance float64) {
	d := g.lengthOf(&r.request)
	if !d.Known() {
		return float64(memoryTokens(&r.request)), 0
	}
	produced := g.produced(r)
	mean, variance = d.Remaining(produced, horizon)
	return float64(r.request.Prompt+produced) + mean, variance
}

// produced is the number of output tokens that the engine has reported of a request.
func (g *Gate) produced(r *activeRequest) int { return r.events * max(g.pacer.engine.Stride, 1) }

// expectedTokens is the token memory that a request is expected to need.
func (g *Gate) expectedTokens(req *Request) int {
	d := g.lengthOf(req)
	if !d.Known() {
		return memoryTokens(req)
	}
	return req.Prompt + int(d.Mean())
}

// release is the end of a running request: the time until it, and the tokens that are free by then,
// by lengths and by what is reserved for declared maxima.
type release struct {
	in              magno.Millis
	freed, reserved float64
}

// releases are the ends of the running requests in their order, and the need of all of them.
type releases struct {
	computed, known bool
	list            []release
	need            float64
}

// releasesOf computes the releases. They are known if the lengths of a running request are.
func (g *Gate) releasesOf(now magno.Millis) releases {
	all := releases{computed: true, list: make([]release, 0, len(g.active))}
	outputs := 0.0
	for _, r := range g.active {
		d, reserved := g.lengthOf(&r.request), float64(memoryTokens(&r.request))
		if !d.Known() {
			all.list = append(all.list, release{g.remainingTime(r, now), reserved, reserved})
			continue
		}
		all.known = true
		outputs += d.Mean()
		rest, _ := d.Remaining(g.produced(r), math.Inf(1))
		in := g.decodeTime(int(rest))
		if r.events == 0 {
			in += max(g.pacer.prefillTime(r.prefillTokens)-(now-r.grantedAt), 0)
		}
		all.list = append(all.list, release{in, float64(r.request.Prompt+g.produced(r)) + rest, reserved})
	}
	if !all.known {
		return all
	}
	slices.SortFunc(all.list, func(a, b release) int { return cmp.Compare(a.in, b.in) })
	for i := range all.list[1:] {
		all.list[i+1].freed += all.list[i].freed
		all.list[i+1].reserved += all.list[i].reserved
	}
	need := g.activeNeed(outputs / float64(len(g.active)))
	all.need = need.atMost()
	return all
}

// learnedWait is the expected wait for token memory behind the given position, by the lengths of
// the running requests. It is known under the conditions of learnedCapacity.
func (s *schedule) learnedWait(ahead position) (wait magno.Millis, known bool) {
	g, memory := s.gate, s.gate.spec.Engine.Tokens
	if g.declaredLengths || memory <= 0 || g.activeDeclared()+ahead.declared <= memory {
		return 0, false
	}
	if !s.releases.computed {
		s.releases = g.releasesOf(s.now)
	}
	all := &s.releases
	if !all.known {
		return 0, false
	}
	over := all.need + float64(ahead.expected) - float64(memory)
	wait = all.waitFor(over, func(r release) float64 { return r.freed }, g.meanRunTime/float64(memory))
	over = s.memory + float64(ahead.memory) - maxOvercommit*float64(memory)
	return max(wait, all.waitFor(over, func(r release) float64 { return r.reserved }, g.meanRunTime/(maxOvercommit*float64(memory)))), true
}

// waitFor returns the time until as many tokens as given are free, of those that the function
// returns. Beyond the running requests a token takes the given time.
func (a *releases) waitFor(tokens float64, of func(release) float64, perToken float64) magno.Millis {
	if tokens <= 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(a.list, tokens, func(r release, tokens float64) int { return cmp.Compare(of(r), tokens) })
	if i < len(a.list) {
		return a.list[i].in
	}
	last := a.list[len(a.list)-1]
	return last.in + magno.Millis(perToken*(tokens-of(last)))
}
