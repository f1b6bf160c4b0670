package route

import (
	"math"
	"slices"

	"magnoliastall.example/magno"
)

const (
	// reportHalf is the age at which a reported wait counts half: queues turn over
	// within seconds.
	reportHalf = 20 * magno.Second

	// slowGain weighs a new answer in a target's pace; ten or so count.
	slowGain = 0.1
	// paceGain weighs it in the pool's: a hundred or so count.
	paceGain = 0.01
	// slowHalf is the time in which an unused target's slowness counts half,
	// so that one that was slow is tried again, first with little.
	slowHalf = 10 * magno.Second

	// failCut is by how much a failure cuts the share that a target gets.
	failCut = 0.5
	// leastEase is the least share: one request in fifty finds out whether
	// the target is well again.
	leastEase = 0.02
	// easeStep is what each good answer gives back, easeHalf the time in
	// which half of the rest comes back without any.
	easeStep = 0.02
	easeHalf = 5 * magno.Second
	// mostStrikes bounds how far failures that follow each other slow the
	// way back: each doubles easeHalf. strikeKeep is how long one counts.
	mostStrikes = 5
	strikeKeep  = 5 * magno.Minute
)

// peer is what is known of one target.
type peer struct {
	name    string
	dc      string
	leaving bool

	report magno.Backlog
	// at is when report came.
	at magno.Millis
	// fresh is the work sent since then, open all that wasn't answered.
	fresh int
	open  int

	// slow is the logarithm of the target's pace over the pool's.
	slow   float64
	slowAt magno.Millis

	// ease is the share of its requests that the target gets, 0 to 1.
	ease     float64
	easeAt   magno.Millis
	strikes  int
	strikeAt magno.Millis
}

func half(age, life magno.Millis) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(life))
}

// usable tells whether work may be sent there. A choice of upstreams that are all
// known to be down would have the work refused beside others that are well.
func (p *peer) usable() bool { return !p.leaving && !p.report.Down }

// holds tells whether the adapter was in the last report.
func (p *peer) holds(hash uint32) bool {
	_, held := slices.BinarySearch(p.report.Warm, hash)
	return held
}

// share returns ease, brought up to now.
func (p *peer) share(now magno.Millis) float64 {
	if p.ease < 1 {
		life := easeHalf << min(p.strikes, mostStrikes)
		p.ease = 1 - (1-p.ease)*half(now-p.easeAt, life)
		p.easeAt = now
		if p.ease > 0.99 {
			p.ease = 1
		}
	}
	return p.ease
}

// ended takes whether an answer came. A target that flaps, failing again soon
// after it came back, gets its share back more slowly each time.
func (p *peer) ended(now magno.Millis, ok bool) {
	share := p.share(now)
	if ok {
		p.ease, p.easeAt = min(share+easeStep, 1), now
		return
	}
	if now-p.strikeAt > strikeKeep {
		p.strikes = 0
	}
	if share > failCut { // several failures at once are one strike
		p.strikes++
	}
	p.strikeAt = now
	p.ease, p.easeAt = max(share*failCut, leastEase), now
}

// paced takes the logarithm of an answer's time a token over the pool's.
func (p *peer) paced(now magno.Millis, ratio float64) {
	p.slow *= half(now-p.slowAt, slowHalf)
	p.slow += slowGain * (ratio - p.slow)
	p.slowAt = now
}

// factor is how many times as long as elsewhere work takes, at least 1.
func (p *peer) factor(now magno.Millis) float64 {
	return math.Exp(max(p.slow*half(now-p.slowAt, slowHalf), 0))
}

// placeWait is the reported wait for a place of one customer's work. A queue
// full of one customer's jobs is short for the others; by its whole length,
// they would keep to the targets where they wait themselves, and get nothing
// of the rest.
func (p *peer) placeWait(customer string) magno.Millis {
	if customer == "" || p.report.Waits == nil {
		return p.report.Wait
	}
	return p.report.Waits[customer]
}
