package route

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

const (
	// reportHalfLife is the age at which a reported wait counts half: queues turn over
	// within seconds.
	reportHalfLife = 20 * magno.Second

	// slownessGain is the weight of a new answer in a target's slowness, an average
	// over about ten answers.
	slownessGain = 0.1
	// paceGain is the weight of a new answer in the pool's pace, an average over about
	// a hundred.
	paceGain = 0.01
	// slownessHalfLife is the time in which the slowness of an unused target counts
	// half, so that a target that was slow is tried again, at first with few requests.
	slownessHalfLife = 10 * magno.Second

	// failureFactor multiplies the weight of a target at each failure.
	failureFactor = 0.5
	// minWeight is the lowest weight: one request in fifty finds out whether the target
	// has recovered.
	minWeight = 0.02
	// weightStep is added to the weight for each successful answer. recoveryHalfLife is
	// the time in which half of the missing weight returns without any.
	weightStep       = 0.02
	recoveryHalfLife = 5 * magno.Second
	// maxOutages bounds how often outages in succession double recoveryHalfLife.
	// outageMemory is the time without a failure after which they are no longer
	// counted.
	maxOutages   = 5
	outageMemory = 5 * magno.Minute
)

// peer is the router's state of one target.
type peer struct {
	name    string
	dc      string
	leaving bool
	build   string
	// restUntil is when p accepts work again.
	restUntil magno.Millis

	report magno.Backlog
	// reportedAt is when report arrived.
	reportedAt magno.Millis
	// sentWork is the work sent since then, outstanding all that wasn't answered, in
	// tokens.
	sentWork    int
	outstanding int

	// slowness is the logarithm of the target's time per token over the pool's.
	slowness   float64
	slownessAt magno.Millis

	// weight is the share of its requests that the target gets, 0 to 1.
	weight   float64
	weightAt magno.Millis
	outages  int
	failedAt magno.Millis
}

func decay(age, halfLife magno.Millis) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// usable reports whether work may be sent to p. A choice that names only targets known
// to be down would have the request refused although others can serve it.
func (p *peer) usable(now magno.Millis) bool {
	return !p.leaving && !p.report.Down && now >= p.restUntil
}

// holds reports whether the adapter was loaded according to the last report.
func (p *peer) holds(hash uint32) bool {
	_, loaded := slices.BinarySearch(p.report.Warm, hash)
	return loaded
}

// updateWeight adds the recovery until now to the weight and returns it.
func (p *peer) updateWeight(now magno.Millis) float64 {
	if p.weight < 1 {
		halfLife := recoveryHalfLife << min(p.outages, maxOutages)
		p.weight = 1 - (1-p.weight)*decay(now-p.weightAt, halfLife)
		p.weightAt = now
		if p.weight > 0.99 {
			p.weight = 1
		}
	}
	return p.weight
}

// recordResult updates the weight after an answer or a failure. A target that flaps,
// failing again soon after it recovered, regains its weight more slowly each time.
func (p *peer) recordResult(now magno.Millis, ok bool) {
	weight := p.updateWeight(now)
	if ok {
		p.weight, p.weightAt = min(weight+weightStep, 1), now
		return
	}
	if now-p.failedAt > outageMemory {
		p.outages = 0
	}
	if weight > failureFactor { // failures in quick succession are one outage
		p.outages++
	}
	p.failedAt = now
	p.weight, p.weightAt = max(weight*failureFactor, minWeight), now
}

// recordPace updates the slowness by the logarithm of an answer's time per token over
// the pool's.
func (p *peer) recordPace(now magno.Millis, logRatio float64) {
	p.slowness *= decay(now-p.slownessAt, slownessHalfLife)
	p.slowness += slownessGain * (logRatio - p.slowness)
	p.slownessAt = now
}

// slowdown returns how many times as long as elsewhere work takes at p, at least 1.
func (p *peer) slowdown(now magno.Millis) float64 {
	return math.Exp(max(p.slowness*decay(now-p.slownessAt, slownessHalfLife), 0))
}

// queueWait returns the reported wait of a customer's work for a place in the batch. A
// queue full of one customer's jobs is short for the others: judged by its whole
// length, their work would stay at targets where it already waits and get nothing of
// the rest.
func (p *peer) queueWait(customer string) magno.Millis {
	if customer == "" || p.report.Waits == nil {
		return p.report.Wait
	}
	return p.report.Waits[customer]
}
