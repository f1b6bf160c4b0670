package learn

import "math"

const (
	// priorSpan is the weight of a ratio's prior, in ms, and spanHalfLife the time, in
	// ms, in which observations count half.
	priorSpan    = 1000.0
	spanHalfLife = 20_000.0
	// priorSpread is the weight of a slope's prior, as a sum of squared differences of
	// tokens: a dozen prompts of usual spread.
	priorSpread = 12 * 1000.0 * 1000.0
	// sampleDecay multiplies the weight of earlier samples at each new one: about a
	// hundred count.
	sampleDecay = 0.99
)

// ratio is a sum of milliseconds over a count of what was done in them. Both decay with
// the time that is added, so that recent samples count more.
type ratio struct {
	span, done float64
}

// add records span milliseconds in which done units were done.
func (r *ratio) add(span, done float64) {
	decay := math.Exp2(-span / spanHalfLife)
	r.span = r.span*decay + span
	r.done = r.done*decay + done
}

// value returns the milliseconds per unit, which is prior until enough was observed.
func (r *ratio) value(prior float64) float64 {
	return (priorSpan + r.span) / (priorSpan/prior + r.done)
}

// pauseDecay multiplies the weight of earlier streams at each new one: about ten count.
const pauseDecay = 0.9

// mean is the average of decaying samples.
type mean struct {
	n, sum float64
}

func (m *mean) add(x float64) {
	m.n = m.n*pauseDecay + 1
	m.sum = m.sum*pauseDecay + x
}

// value is zero before the first sample.
func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / m.n
}

// line is a least-squares line through decaying samples.
type line struct {
	n, x, y, xx, xy float64
}

func (l *line) add(x, y float64) {
	l.n = l.n*sampleDecay + 1
	l.x = l.x*sampleDecay + x
	l.y = l.y*sampleDecay + y
	l.xx = l.xx*sampleDecay + x*x
	l.xy = l.xy*sampleDecay + x*y
}

// slope returns the line's slope, which is prior until samples differ enough in x.
func (l *line) slope(prior float64) float64 {
	if l.n == 0 {
		return prior
	}
	varX := l.xx - l.x*l.x/l.n
	covXY := l.xy - l.x*l.y/l.n
	return (covXY + prior*priorSpread) / (varX + priorSpread)
}
