// Package bound works out what no policy can beat on given arrivals, knowing
// all of them beforehand. Each figure relaxes what makes the real problem
// hard, so it may lie above what can be reached:
//
//   - batch efficiency: any job may share a step with any other, whenever both
//     came and whatever their deadlines, adapters and engines. Left are the
//     step's tokens and the batch's places: a job stays at least one step for
//     each output token and for each step's worth of its prompt. Every known
//     prefix is taken as a miss, which only adds tokens to a full step.
//   - goodput: engines are one pool that works without a pause from the first
//     arrival to the last deadline and holds all adapters; the jobs that are
//     cheapest for their tokens are chosen, whatever their deadlines, but for
//     those that even an empty engine can't finish in time. A known prefix
//     costs nothing, and every plain call is answered.
//   - mean load stall: slots are without limit and hold an adapter for ever
//     after its first load; the store works from the beginning at full speed,
//     and at each moment it has loaded whichever adapters have most requests
//     so far, even if these are others than a moment before. It holds for
//     policies that refuse nothing: who refuses what would stall has no stalls.
package bound

import (
	"slices"
	"sort"

	"magnoliastall.example/drive/load"
	"magnoliastall.example/magno"
)

// Bound is worked out by New.
type Bound struct {
	// BatchEfficiency is the highest batch efficiency.
	BatchEfficiency float64
	// GoodShare is the highest share of engine requests answered in time, Goodput
	// the tokens a second of them and of all plain calls.
	GoodShare, Goodput float64
	// MeanStall is the shortest mean load stall in milliseconds.
	MeanStall float64
	// Requests counts engine requests.
	Requests int
}

// cost is one engine job's least use of engines.
type cost struct {
	tokens int
	// least is the engine time in steps that it takes when all is shared
	// best.
	least float64
}

// New works the bounds out for a workload.
func New(l *load.Workload, arrivals []load.Arrival) *Bound {
	b := &Bound{}
	limits := l.Deployment.Limits
	var jobs []cost
	var tokens, places, n, plain float64
	var end magno.Millis
	for i := range arrivals {
		a := &arrivals[i]
		work := a.Job.Prompt + a.OutputTokens
		if a.Job.Arrived < l.WarmUp {
			continue
		}
		if a.Pool != load.PoolReading {
			plain += float64(work)
			continue
		}
		n++
		end = max(end, a.Job.Deadline)
		reading := float64(a.Job.Prompt) / float64(limits.Tokens)
		steps := reading + float64(a.OutputTokens)
		tokens += float64(work)
		places += steps
		if magno.Millis(a.OutputTokens)*limits.Step > a.Job.Deadline-a.Job.Arrived {
			continue
		}
		made := float64(a.OutputTokens)
		least := max(made/float64(limits.Tokens), made/float64(limits.Batch))
		if a.Job.Prefix == 0 {
			least = max(float64(work)/float64(limits.Tokens), steps/float64(limits.Batch))
		}
		jobs = append(jobs, cost{work, least})
	}
	if tokens > 0 {
		full := tokens / float64(limits.Tokens)
		b.BatchEfficiency = full / max(full, places/float64(limits.Batch))
	}
	b.Requests = int(n)
	b.goodput(l, jobs, n, end)
	b.Goodput += plain / (float64(l.Duration-l.WarmUp) / float64(magno.Second))
	b.stall(l, arrivals)
	return b
}

// goodput fills the engines' time with the jobs of most tokens, and of most
// number, for their time.
func (b *Bound) goodput(l *load.Workload, jobs []cost, n float64, end magno.Millis) {
	room := float64(end-l.WarmUp) / float64(l.Deployment.Limits.Step) * float64(l.Deployment.Engines)
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].least < jobs[j].least })
	count, left := 0.0, room
	for _, j := range jobs {
		if left -= j.least; left < 0 {
			break
		}
		count++
	}
	if n > 0 {
		b.GoodShare = count / n
	}
	sort.Slice(jobs, func(i, j int) bool {
		return float64(jobs[i].tokens)*jobs[j].least > float64(jobs[j].tokens)*jobs[i].least
	})
	sum := 0.0
	left = room
	for _, j := range jobs {
		if left -= j.least; left < 0 {
			break
		}
		sum += float64(j.tokens)
	}
	b.Goodput = sum / (float64(l.Duration-l.WarmUp) / float64(magno.Second))
}

// stall sums, over time, the requests that no choice of loaded adapters could
// have freed.
func (b *Bound) stall(l *load.Workload, arrivals []load.Arrival) {
	span := l.Deployment.Limits.Load
	counts := map[magno.Ref]int{}
	total, i, waited := 0, 0, 0.0
	for end := span; end-span < l.Duration; end += span {
		waited += float64(span) * float64(total-most(counts, int(end/span-1)*l.Deployment.ParallelLoads))
		for ; i < len(arrivals) && arrivals[i].Job.Arrived < end; i++ {
			if ref := arrivals[i].Job.Ref; ref != (magno.Ref{}) && arrivals[i].Job.Arrived >= l.WarmUp {
				counts[ref]++
				total++
			}
		}
	}
	if total > 0 {
		b.MeanStall = waited / float64(total)
	}
}

// most sums the n largest counts.
func most(counts map[magno.Ref]int, n int) int {
	list := make([]int, 0, len(counts))
	for _, c := range counts {
		list = append(list, c)
	}
	slices.Sort(list)
	sum := 0
	for _, c := range list[max(0, len(list)-n):] {
		sum += c
	}
	return sum
}
