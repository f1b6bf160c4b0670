// Package admit refuses at once what can't finish before its deadline.
//
// Load pattern: more work arrives than the upstream can do, for seconds or for
// hours. Without it the queue grows until every job in it is late: the engine
// stays busy with answers that nobody waits for any more, and each caller
// learns of it only when its own deadline has passed.
//
// The estimate is the work ahead over the batch places, with two corrections
// measured here: how much longer runs take than the engine's step time says,
// and a margin that grows by lateGrowth with each admitted job that turns out
// late and shrinks by onTimeDecay with each in time. The two balance where one
// admitted job in lateGrowth/onTimeDecay = 500 is late, well under the 1 in
// 100 that issue 5 allows. Each customer has its own, and all have one that
// grows more slowly.
//
// The wait for an adapter is estimated by the harm that waits had done when
// their loads began, in parts of the jobs' patience. Turns to load go to the
// most harmful wait of the pool, so this level is the same on each upstream,
// and a new job waits until its own harm has come up to it.
package admit

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// Limits of the corrections.
const (
	lateGrowth  = 0.25
	lateForAll  = 0.08
	onTimeDecay = 0.0005
	maxMargin   = 4.0
	leastMargin = 1.1
	// farMargin is added for waits of farWait and more: by the time that a
	// wrong estimate shows, as many jobs again were admitted by it.
	farMargin = 0.5
	farWait   = 60 * magno.Second
	// mostMargins bounds the customers whose margin is known.
	mostMargins = 1024

	// runGain weighs a new run in the averages: the last fifty or so count.
	runGain    = 0.04
	minStretch = 0.1
	maxStretch = 50.0

	// stallLoads is the wait, in full-speed loads, that a profile with a
	// Stall of 1 still takes for its adapter. A queue for loads that is never
	// empty loses none of the weight store's allowance; a longer one only
	// makes everybody in it wait.
	stallLoads = 3
	// waitPart is the part of the time before the latest start that may go
	// into the wait for the adapter; the rest is for a place.
	waitPart = 0.7

	// loadGain weighs a new load: there are few, so five or so count.
	loadGain = 0.2
	// levelHalf is the time in which the level at which loads begin fades by
	// half: several loads of one upstream's share of the store.
	levelHalf = 20 * magno.Second
	// mostHarm bounds what one load counts: many who wait together do more
	// harm than it takes to be next.
	mostHarm = 2.5
	// loadGrowth and loadDecay move the margin on waits for loads, as
	// lateGrowth and onTimeDecay do for places.
	loadGrowth = 0.05
	loadDecay  = 0.002

	// minAfter is the shortest Retry-After: below it a caller's round trip
	// dominates. maxAfter is the longest, for the backlog may shrink sooner.
	minAfter = 50 * magno.Millis(1)
	maxAfter = 30 * magno.Second
)

// DefaultMaxQueued bounds a queue in jobs. It guards memory: at the largest job
// record of about a kilobyte it is 4 MB.
const DefaultMaxQueued = 4096

// mostWanted bounds the adapters that are waited for, and with them the cost
// of a decision: some of its steps look at each. One upstream's part of the
// weight store serves a few tens within the longest deadline.
const mostWanted = 256

// everyone is the key of the margin of all customers.
const everyone = ""

// State is what a decision depends on besides the job.
type State struct {
	// Queued counts queued jobs.
	Queued int
	// Free counts idle batch places.
	Free int
	// Hold is the longest that the job is held back for a fuller batch.
	Hold magno.Millis
	// Ahead is the place time of the work that runs first.
	Ahead magno.Millis
	// OverShare is true when the job's customer or caller is over its share.
	OverShare bool
	// LoadWait is the wait for the job's adapter, zero when it is loaded, and
	// Patience the longest that the job is queued for.
	LoadWait magno.Millis
	Patience magno.Millis
	// Wanted counts the adapters that queued jobs wait for, the job's own left
	// out when others wait for it too.
	Wanted int
}

// Controller admits jobs to one upstream. Its exported fields are set before use.
type Controller struct {
	Limits magno.Limits
	// MaxQueued is the most jobs in the queue.
	MaxQueued int

	stretch float64
	// margins holds one for each customer: their queues are served apart, and
	// one that plans three minutes ahead errs more than one that plans one.
	margins map[string]float64
	// level is the harm at which loads began lately, as of levelAt.
	level      float64
	levelAt    magno.Millis
	loadMargin float64
}

// factor is the margin in force for a customer: its own, or that of all, which
// grows more slowly.
func (g *Controller) factor(customer string) float64 {
	return max(g.margins[customer], g.margins[everyone], leastMargin)
}

// nominal is a run's time by the engine's own figures: a step for each token
// and the share of steps that the prompt takes.
func (g *Controller) nominal(prompt, output int) magno.Millis {
	steps := output + 1 + prompt/max(g.Limits.Tokens, 1)
	return magno.Millis(steps) * max(g.Limits.Step, 1)
}

// EstimateRun is how long the job is expected to hold its place.
func (g *Controller) EstimateRun(job *magno.Job) magno.Millis {
	stretch := g.stretch
	if stretch == 0 {
		stretch = 1
	}
	return max(magno.Millis(float64(g.nominal(job.Prompt, job.Output))*stretch), 1)
}

// ObserveRun takes the length of a run that ended well.
func (g *Controller) ObserveRun(job *magno.Job, took magno.Millis) {
	ratio := float64(took) / float64(g.nominal(job.Prompt, job.Output))
	if g.stretch == 0 {
		g.stretch = 1
	}
	g.stretch += runGain * (ratio - g.stretch)
	g.stretch = min(max(g.stretch, minStretch), maxStretch)
}

// ObserveEnd takes whether an admitted job of a customer ended before its deadline.
func (g *Controller) ObserveEnd(customer string, inTime bool) {
	if g.margins == nil || len(g.margins) >= mostMargins {
		g.margins = map[string]float64{}
	}
	if inTime {
		g.move(customer, -onTimeDecay)
		g.move(everyone, -onTimeDecay)
		return
	}
	g.move(customer, lateGrowth)
	g.move(everyone, lateForAll)
}

func (g *Controller) move(customer string, by float64) {
	g.margins[customer] = min(max(g.margins[customer]+by, leastMargin), maxMargin)
}

// ObserveLoadStart takes the harm that the wait for an adapter had done when its load
// began, in parts of the patience of those who waited.
func (g *Controller) ObserveLoadStart(now magno.Millis, harm float64) {
	level := g.LoadThreshold(now)
	g.level, g.levelAt = level+loadGain*(min(harm, mostHarm)-level), now
	g.loadMargin = max(g.loadMargin-loadDecay, 1)
}

// LoadThreshold is the harm at which loads begin. Turns go to the most harmful wait of
// the whole pool, so it is the pool's figure though it is measured here. It
// fades when no load begins, or a level at which everything is refused would
// stay for ever.
func (g *Controller) LoadThreshold(now magno.Millis) float64 {
	return g.level * math.Exp2(-float64(now-g.levelAt)/float64(levelHalf))
}

// ObserveLateLoad takes that an admitted job ran out of time before its adapter came.
func (g *Controller) ObserveLateLoad() {
	g.loadMargin = min(max(g.loadMargin, 1)+loadGrowth, maxMargin)
}

// EstimateLoadWait is the wait until an adapter's load begins, where the harm of its
// wait takes wait to reach the level, and before others of this upstream come
// first. It leaves out the load itself: with it, profiles of little patience
// would be shut out by those of more, which bear a higher level.
func (g *Controller) EstimateLoadWait(wait magno.Millis, before int) magno.Millis {
	return max(scale(wait, max(g.loadMargin, 1)), magno.Millis(before)*g.Limits.Load)
}

// EstimateWait is how long ahead of place time takes, given free places.
func (g *Controller) EstimateWait(ahead magno.Millis, free int, run magno.Millis) magno.Millis {
	places := magno.Millis(max(g.Limits.Batch, 1))
	if free > 0 && ahead < magno.Millis(free)*run {
		return 0
	}
	return (ahead + run) / places
}

// Admit returns nil when the job can be expected to end before its deadline.
func (g *Controller) Admit(now magno.Millis, job *magno.Job, v State) *magno.Refusal {
	if job.Deadline <= now {
		return magno.Refuse(magno.KindPast, "the deadline passed %d ms before", now-job.Deadline)
	}
	run := g.EstimateRun(job)
	if v.Queued >= g.MaxQueued {
		wait := g.EstimateWait(v.Ahead, 0, run)
		return magno.Refuse(magno.KindBusy, "%d jobs are queued", v.Queued).Later(after(job, wait/2))
	}
	margin := g.factor(job.Customer)
	wait := g.EstimateWait(v.Ahead, v.Free, run)
	far := min(float64(wait)/float64(farWait), 1)
	place := max(scale(wait, margin+farMargin*far), v.Hold)
	room := job.Deadline - now - scale(run, margin)
	if room >= place && v.LoadWait <= v.Patience && (v.LoadWait == 0 || v.Wanted < mostWanted) {
		return nil
	}
	return g.refuse(job, v, room, place)
}

// LoadPatience is the longest wait for an adapter that the job is queued for: most
// of what its deadline leaves with a Stall of 0, a few loads with 1. In
// between it falls with the square, for most of the effect of a lower Stall
// comes with the first steps.
func (g *Controller) LoadPatience(now magno.Millis, job *magno.Job) magno.Millis {
	room := max(scale(job.Deadline-now-scale(g.EstimateRun(job), g.factor(job.Customer)), waitPart), 1)
	least := min(room, stallLoads*g.Limits.Load)
	loose := (1 - job.Stall) * (1 - job.Stall)
	return least + scale(room-least, loose)
}

func (g *Controller) refuse(job *magno.Job, v State, room, place magno.Millis) *magno.Refusal {
	switch {
	case room < 0:
		return magno.Refuse(magno.KindBusy, "its run alone takes %d ms longer than its deadline leaves", -room).
			Later(after(job, max(place, v.LoadWait)))
	case place <= room:
		return magno.Refuse(magno.KindLoading, "its adapter is expected in %d ms", v.LoadWait).
			Later(after(job, max(v.LoadWait-v.Patience, g.Limits.Load)))
	case v.OverShare:
		return magno.Refuse(magno.KindShare, "its share of the queue takes %d ms", place).
			Later(after(job, place-room))
	default:
		return magno.Refuse(magno.KindBusy, "the queue takes %d ms", place).
			Later(after(job, place-room))
	}
}

func scale(m magno.Millis, by float64) magno.Millis { return magno.Millis(float64(m) * by) }

// after spreads the time to come back over wait to one and a half times wait.
// Callers that were refused together would otherwise come back together. The
// spread follows from the job, so that a replay gives the same.
func after(job *magno.Job, wait magno.Millis) magno.Millis {
	wait = min(max(wait, minAfter), maxAfter)
	h := xxhash.Sum64String(job.ID)
	return wait + wait*magno.Millis(h>>56)/512
}
