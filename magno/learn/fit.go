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
	// driftGain is the weight of a new sample in a line's drift. maxDrift is the drift, as a
	// logarithm, beyond which the line is scaled: about five samples of an engine that became
	// twice as slow. Reports are 30 ms apart, which makes a short prefill look up to a third
	// longer or shorter; the average of such samples stays below.
	driftGain = 0.1
	maxDrift  = 0.25
	// driftKeep is the share of their weight that earlier samples keep when the line is
	// scaled, so that the next ones correct the estimated factor.
	driftKeep = 0.2
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
//
// Load pattern: an engine slows down by a factor of two or three in the middle of the day.
// By the decay alone its rate follows over a hundred prompts, which takes ten to twenty
// seconds, and its streams pause for too long meanwhile. Samples that are longer or shorter
// than the line by the same factor one after the other scale the whole line.
type line struct {
	n, x, y, xx, xy float64
	// drift is the average logarithm of recent samples over the line.
	drift float64
	// base is the slope after it was last scaled, and takes the place of the prior.
	base float64
}

func (l *line) add(x, y, prior float64) {
	l.follow(x, y, prior)
	l.n = l.n*sampleDecay + 1
	l.x = l.x*sampleDecay + x
	l.y = l.y*sampleDecay + y
	l.xx = l.xx*sampleDecay + x*x
	l.xy = l.xy*sampleDecay + x*y
}

// follow scales the line once recent samples differ from it by more than maxDrift.
func (l *line) follow(x, y, prior float64) {
	if l.n == 0 {
		return
	}
	slope := l.slope(prior)
	expected := l.y/l.n + slope*(x-l.x/l.n)
	if expected <= 0 || y <= 0 {
		return
	}
	l.drift += driftGain * (math.Log(y/expected) - l.drift)
	if math.Abs(l.drift) < maxDrift {
		return
	}
	factor := math.Exp(l.drift)
	l.base, l.drift = slope*factor, 0
	l.y, l.xy = l.y*factor, l.xy*factor
	for _, sum := range []*float64{&l.n, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= driftKeep
	}
}

// slope returns the line's slope, which is prior until samples differ enough in x.
func (l *line) slope(prior float64) float64 {
	if l.n == 0 {
		return prior
	}
	if l.base > 0 {
		prior = l.base
	}
	varX := l.xx - l.x*l.x/l.n
	covXY := l.xy - l.x*l.y/l.n
	return (covXY + prior*priorSpread) / (varX + priorSpread)
}
