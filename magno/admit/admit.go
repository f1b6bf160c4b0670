// Package admit refuses jobs that can't finish before their deadline.
//
// Load pattern: more work arrives than the upstream can do, for seconds or for hours.
// Without admission control the queue then grows until every job in it is late: the
// engine stays busy with answers that nobody waits for any more, and each caller finds
// out only at its own deadline.
//
// The estimate is the work ahead over the batch places, with two measured corrections:
// the stretch of runs over the engine's nominal time, and a margin that grows by
// lateGrowth with each admitted job that is late and shrinks by onTimeDecay with each
// that is in time. The two balance where one admitted job in lateGrowth/onTimeDecay =
// 500 is late, well under the 1 in 100 that is allowed. Each customer has its own
// margin, and a margin shared by all grows more slowly.
//
// The wait for an adapter is estimated from the harm that earlier waits had done when
// their loads began, in parts of the jobs' patience. Turns to load go to the most
// harmful wait of the pool, so this threshold is the same on each upstream, and a new
// job waits until its own harm has reached it.
package admit

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// Parameters of the corrections.
const (
	lateGrowth    = 0.25
	lateGrowthAll = 0.08
	onTimeDecay   = 0.0005
	maxMargin     = 4.0
	minMargin     = 1.1
	// longWaitMargin is added to the margin for waits of longWait and more, a part of
	// it for shorter ones: by the time that a wrong estimate shows, as many jobs again
	// have been admitted by it.
	longWaitMargin = 0.5
	longWait       = 60 * magno.Second
	// maxMargins bounds the customers whose margin is tracked.
	maxMargins = 1024

	// runGain is the weight of a new run in the stretch, an average over about fifty
	// runs.
	runGain    = 0.04
	minStretch = 0.1
	maxStretch = 50.0

	// minPatienceLoads is the wait for an adapter, in loads at full speed, that a
	// profile with a Stall of 1 still accepts. A load queue that is never empty uses
	// the weight store's whole allowance; a longer one only makes all jobs in it wait.
	minPatienceLoads = 3
	// loadWaitShare is the share of the time before the latest start that may be spent
	// on the wait for the adapter; the rest is for a place.
	loadWaitShare = 0.7

	// loadGain is the weight of a new load in the threshold: loads are few, so about
	// five count.
	loadGain = 0.2
	// thresholdHalfLife is the time in which the threshold decays by half: several
	// loads at one upstream's share of the weight store.
	thresholdHalfLife = 20 * magno.Second
	// maxHarm bounds the harm of one load in the threshold: many jobs that wait
	// together do more harm than it takes to be next.
	maxHarm = 2.5
	// loadMarginGrowth and loadMarginDecay adjust the margin on waits for loads, as
	// lateGrowth and onTimeDecay do for places.
	loadMarginGrowth = 0.05
	loadMarginDecay  = 0.002

	// minRetryAfter is the shortest Retry-After: below it a caller's round trip
	// dominates. maxRetryAfter is the longest, for the backlog may shrink sooner.
	minRetryAfter = 50 * magno.Millis(1)
	maxRetryAfter = 30 * magno.Second
)

// DefaultMaxQueued is the default bound of a queue, in jobs. It limits memory: at the
// largest job record of about 1 kB it is 4 MB.
const DefaultMaxQueued = 4096

// maxWanted bounds the adapters that jobs wait for, and with them the cost of a
// decision, since some of its steps visit each. One upstream's share of the weight
// store serves a few tens within the longest deadline.
const maxWanted = 256

// allCustomers is the key of the margin shared by all customers.
const allCustomers = ""

// State is what a decision depends on besides the job.
type State struct {
	// Queued is the number of queued jobs.
	Queued int
	// Free is the number of idle batch places.
	Free int
	// Hold is the longest time for which the job is held back for a fuller batch.
	Hold magno.Millis
	// Ahead is the run time of the work that runs first, summed over places.
	Ahead magno.Millis
	// OverShare is true when the job's customer or caller is over its share.
	OverShare bool
	// LoadWait is the wait for the job's adapter, zero when it is loaded, and Patience
	// the longest such wait for which the job is queued.
	LoadWait magno.Millis
	Patience magno.Millis
	// Wanted is the number of adapters that queued jobs wait for, not counting the
	// job's own when others wait for it too.
	Wanted int
}

// Controller decides on the admission of jobs to one upstream. Its exported fields are
// set before use.
type Controller struct {
	Limits magno.Limits
	// MaxQueued is the most jobs in the queue.
	MaxQueued int

	stretch float64
	// margins holds one for each customer: their queues are served apart, and estimates
	// three minutes ahead have larger errors than those one minute ahead.
	margins map[string]float64
	// threshold is the recent harm at which loads began, as of thresholdAt.
	threshold   float64
	thresholdAt magno.Millis
	loadMargin  float64
}

// margin returns the margin that applies to a customer: the larger of its own and the
// one shared by all, which grows more slowly.
func (c *Controller) margin(customer string) float64 {
	return max(c.margins[customer], c.margins[allCustomers], minMargin)
}

// nominalRun returns a run's time by the engine's own figures: one step for each token,
// and the steps that the prompt takes.
func (c *Controller) nominalRun(prompt, output int) magno.Millis {
	steps := output + 1 + prompt/max(c.Limits.Tokens, 1)
	return magno.Millis(steps) * max(c.Limits.Step, 1)
}

// EstimateRun returns how long the job is expected to hold its place.
func (c *Controller) EstimateRun(job *magno.Job) magno.Millis {
	stretch := c.stretch
	if stretch == 0 {
		stretch = 1
	}
	return max(magno.Millis(float64(c.nominalRun(job.Prompt, job.Output))*stretch), 1)
}

// ObserveRun records the length of a run that succeeded.
func (c *Controller) ObserveRun(job *magno.Job, took magno.Millis) {
	ratio := float64(took) / float64(c.nominalRun(job.Prompt, job.Output))
	if c.stretch == 0 {
		c.stretch = 1
	}
	c.stretch += runGain * (ratio - c.stretch)
	c.stretch = min(max(c.stretch, minStretch), maxStretch)
}

// ObserveEnd records whether an admitted job of a customer ended before its deadline.
func (c *Controller) ObserveEnd(customer string, inTime bool) {
	if c.margins == nil || len(c.margins) >= maxMargins {
		c.margins = map[string]float64{}
	}
	if inTime {
		c.adjustMargin(customer, -onTimeDecay)
		c.adjustMargin(allCustomers, -onTimeDecay)
		return
	}
	c.adjustMargin(customer, lateGrowth)
	c.adjustMargin(allCustomers, lateGrowthAll)
}

func (c *Controller) adjustMargin(customer string, delta float64) {
	c.margins[customer] = min(max(c.margins[customer]+delta, minMargin), maxMargin)
}

// ObserveLoadStart records the harm that the wait for an adapter had done when its load
// began, in parts of the patience of the jobs that waited.
func (c *Controller) ObserveLoadStart(now magno.Millis, harm float64) {
	threshold := c.LoadThreshold(now)
	c.threshold, c.thresholdAt = threshold+loadGain*(min(harm, maxHarm)-threshold), now
	c.loadMargin = max(c.loadMargin-loadMarginDecay, 1)
}

// LoadThreshold returns the harm at which loads begin. Turns go to the most harmful
// wait of the whole pool, so the value holds for the pool though it is measured here.
// It decays while no load begins, since a threshold at which every job is refused would
// otherwise stay for ever.
func (c *Controller) LoadThreshold(now magno.Millis) float64 {
	return c.threshold * math.Exp2(-float64(now-c.thresholdAt)/float64(thresholdHalfLife))
}

// ObserveLateLoad records that the time of an admitted job ran out before its adapter
// was loaded.
func (c *Controller) ObserveLateLoad() {
	c.loadMargin = min(max(c.loadMargin, 1)+loadMarginGrowth, maxMargin)
}

// EstimateLoadWait returns the wait until an adapter's load begins, where the harm of
// its wait reaches the threshold after wait, and ahead other loads of this upstream
// come first. It leaves out the load itself: with it, profiles with little patience
// would be shut out by those with more, which accept a higher threshold.
func (c *Controller) EstimateLoadWait(wait magno.Millis, ahead int) magno.Millis {
	return max(scale(wait, max(c.loadMargin, 1)), magno.Millis(ahead)*c.Limits.Load)
}

// EstimateWait returns the wait of a job of length run for a place, behind work that
// takes ahead, with free places idle.
func (c *Controller) EstimateWait(ahead magno.Millis, free int, run magno.Millis) magno.Millis {
	places := magno.Millis(max(c.Limits.Batch, 1))
	if free > 0 && ahead < magno.Millis(free)*run {
		return 0
	}
	return (ahead + run) / places
}

// Admit returns nil when the job can be expected to end before its deadline.
func (c *Controller) Admit(now magno.Millis, job *magno.Job, s State) *magno.Refusal {
	if job.Deadline <= now {
		return magno.Refuse(magno.KindPast, "the deadline passed %d ms before", now-job.Deadline)
	}
	run := c.EstimateRun(job)
	if s.Queued >= c.MaxQueued {
		wait := c.EstimateWait(s.Ahead, 0, run)
		return magno.Refuse(magno.KindBusy, "%d jobs are queued", s.Queued).WithRetryAfter(retryAfter(job, wait/2))
	}
	margin := c.margin(job.Customer)
	wait := c.EstimateWait(s.Ahead, s.Free, run)
	longWaitPart := min(float64(wait)/float64(longWait), 1)
	place := max(scale(wait, margin+longWaitMargin*longWaitPart), s.Hold)
	room := job.Deadline - now - scale(run, margin)
	if room >= place && s.LoadWait <= s.Patience && (s.LoadWait == 0 || s.Wanted < maxWanted) {
		return nil
	}
	return c.refuse(job, s, room, place)
}

// LoadPatience returns the longest wait for an adapter for which the job is queued:
// most of what its deadline leaves with a Stall of 0, a few loads with 1. In between it
// falls with the square, since most of the effect of a lower Stall comes with the first
// steps.
func (c *Controller) LoadPatience(now magno.Millis, job *magno.Job) magno.Millis {
	room := max(scale(job.Deadline-now-scale(c.EstimateRun(job), c.margin(job.Customer)), loadWaitShare), 1)
	shortest := min(room, minPatienceLoads*c.Limits.Load)
	part := (1 - job.Stall) * (1 - job.Stall)
	return shortest + scale(room-shortest, part)
}

func (c *Controller) refuse(job *magno.Job, s State, room, place magno.Millis) *magno.Refusal {
	switch {
	case room < 0:
		return magno.Refuse(magno.KindBusy, "its run alone takes %d ms longer than its deadline leaves", -room).
			WithRetryAfter(retryAfter(job, max(place, s.LoadWait)))
	case place <= room:
		return magno.Refuse(magno.KindLoading, "its adapter is expected in %d ms", s.LoadWait).
			WithRetryAfter(retryAfter(job, max(s.LoadWait-s.Patience, c.Limits.Load)))
	case s.OverShare:
		return magno.Refuse(magno.KindShare, "its share of the queue takes %d ms", place).
			WithRetryAfter(retryAfter(job, place-room))
	default:
		return magno.Refuse(magno.KindBusy, "the queue takes %d ms", place).
			WithRetryAfter(retryAfter(job, place-room))
	}
}

func scale(m magno.Millis, factor float64) magno.Millis { return magno.Millis(float64(m) * factor) }

// retryAfter spreads the time to come back over wait to one and a half times wait,
// since callers that were refused together would otherwise come back together. The
// spread is derived from the job's ID, so that a replay gives the same.
func retryAfter(job *magno.Job, wait magno.Millis) magno.Millis {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	h := xxhash.Sum64String(job.ID)
	return wait + wait*magno.Millis(h>>56)/512
}
