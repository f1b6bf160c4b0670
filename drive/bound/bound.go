// Package bound calculates limits that no policy can exceed for given arrivals, with all of them
// known in advance. Each limit is calculated for a relaxed problem, so it may be higher than what
// is achievable:
//
//   - batch efficiency: any job may share a step with any other, regardless of arrival times,
//     deadlines, adapters and engines. What remains are the tokens of a step and the size of the
//     batch: a job stays for at least one step per output token and per step's worth of its
//     prompt. Every cached prefix counts as a miss, which only adds tokens to full steps.
//   - goodput: engines are one pool that works without idle time from the first arrival to the
//     last deadline and holds all adapters. The jobs with the lowest cost per token are chosen
//     regardless of their deadlines, except those that even an idle engine can't finish in time.
//     A cached prefix costs nothing, and every plain call is answered.
//   - mean load stall: slots are unlimited and keep an adapter after its first load. The store
//     loads at full speed from the start, and at any time it has loaded the adapters with most
//     requests so far, even if a moment earlier these were others. The limit is valid for
//     policies that refuse nothing: refusing the requests that would stall avoids all stalls.
package bound

import (
	"slices"
	"sort"

	"magnoliastall.example/drive/load"
	"magnoliastall.example/magno"
)

// Bound holds the limits for one workload.
type Bound struct {
	// BatchEfficiency is the highest batch efficiency.
	BatchEfficiency float64
	// GoodShare is the highest share of engine requests answered in time. Goodput is in
	// tokens per second, over these and all plain calls.
	GoodShare, Goodput float64
	// MeanStall is the shortest mean load stall in milliseconds.
	MeanStall float64
	// Requests counts the engine requests.
	Requests int
}

// jobCost is the lowest cost of one engine job.
type jobCost struct {
	tokens int
	// minSteps is its minimum engine time in steps, with ideal sharing of the batch.
	minSteps float64
}

// New calculates the bounds for a workload and its arrivals.
func New(l *load.Workload, arrivals []load.Arrival) *Bound {
	b := &Bound{}
	limits := l.Deployment.Limits
	var jobs []jobCost
	var tokens, batchSteps, requests, plainTokens float64
	var end magno.Millis
	for i := range arrivals {
		a := &arrivals[i]
		work := a.Job.Prompt + a.OutputTokens
		if a.Job.Arrived < l.WarmUp {
			continue
		}
		if a.Pool != load.PoolReading {
			plainTokens += float64(work)
			continue
		}
		requests++
		end = max(end, a.Job.Deadline)
		promptSteps := float64(a.Job.Prompt) / float64(limits.Tokens)
		steps := promptSteps + float64(a.OutputTokens)
		tokens += float64(work)
		batchSteps += steps
		if magno.Millis(a.OutputTokens)*limits.Step > a.Job.Deadline-a.Job.Arrived {
			continue
		}
		output := float64(a.OutputTokens)
		least := max(output/float64(limits.Tokens), output/float64(limits.Batch))
		if a.Job.Prefix == 0 {
			least = max(float64(work)/float64(limits.Tokens), steps/float64(limits.Batch))
		}
		jobs = append(jobs, jobCost{work, least})
	}
	if tokens > 0 {
		full := tokens / float64(limits.Tokens)
		b.BatchEfficiency = full / max(full, batchSteps/float64(limits.Batch))
	}
	b.Requests = int(requests)
	b.goodput(l, jobs, requests, end)
	b.Goodput += plainTokens / (float64(l.Duration-l.WarmUp) / float64(magno.Second))
	b.stall(l, arrivals)
	return b
}

// goodput fills the available engine time with the cheapest jobs, for GoodShare, and with
// those of the most tokens per engine time, for Goodput.
func (b *Bound) goodput(l *load.Workload, jobs []jobCost, n float64, end magno.Millis) {
	room := float64(end-l.WarmUp) / float64(l.Deployment.Limits.Step) * float64(l.Deployment.Engines)
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].minSteps < jobs[j].minSteps })
	count, left := 0.0, room
	for _, j := range jobs {
		if left -= j.minSteps; left < 0 {
			break
		}
		count++
	}
	if n > 0 {
		b.GoodShare = count / n
	}
	sort.Slice(jobs, func(i, j int) bool {
		return float64(jobs[i].tokens)*jobs[j].minSteps > float64(jobs[j].tokens)*jobs[i].minSteps
	})
	sum := 0.0
	left = room
	for _, j := range jobs {
		if left -= j.minSteps; left < 0 {
			break
		}
		sum += float64(j.tokens)
	}
	b.Goodput = sum / (float64(l.Duration-l.WarmUp) / float64(magno.Second))
}

// stall integrates, over time, the number of requests that would wait for their adapter
// with any choice of loaded adapters.
func (b *Bound) stall(l *load.Workload, arrivals []load.Arrival) {
	span := l.Deployment.Limits.Load
	counts := map[magno.Ref]int{}
	total, i, waited := 0, 0, 0.0
	for end := span; end-span < l.Duration; end += span {
		waited += float64(span) * float64(total-sumLargest(counts, int(end/span-1)*l.Deployment.ParallelLoads))
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

// sumLargest returns the sum of the n largest counts.
func sumLargest(counts map[magno.Ref]int, n int) int {
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
