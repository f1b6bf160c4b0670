package learn

import "math"

const (
	// priorSpan is the time, in ms, that the prior of a ratio weighs as much as,
	// and halfSpan that in which what was seen counts half.
	priorSpan = 1000.0
	halfSpan  = 20_000.0
	// priorSpread is the sum of squared differences of tokens that the prior of a
	// slope weighs as much as: a dozen prompts of usual spread.
	priorSpread = 12 * 1000.0 * 1000.0
	// keepSample is what each further sample leaves of the weight of those
	// before: some hundred count.
	keepSample = 0.99
)

// ratio is a sum of milliseconds over a sum of what was done in them. Both decay
// with the time that is added, so that recent looks count more.
type ratio struct {
	span, done float64
}

// add takes so many milliseconds in which so much was done.
func (r *ratio) add(span, done float64) {
	keep := math.Exp2(-span / halfSpan)
	r.span = r.span*keep + span
	r.done = r.done*keep + done
}

// value is the milliseconds for one, which is prior until more was seen.
func (r *ratio) value(prior float64) float64 {
	return (priorSpan + r.span) / (priorSpan/prior + r.done)
}

// keepPause is what each further stream leaves of the weight of those before: about ten
// count.
const keepPause = 0.9

// mean is the average of decaying samples.
type mean struct {
	n, sum float64
}

func (m *mean) add(x float64) {
	m.n = m.n*keepPause + 1
	m.sum = m.sum*keepPause + x
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
	l.n = l.n*keepSample + 1
	l.x = l.x*keepSample + x
	l.y = l.y*keepSample + y
	l.xx = l.xx*keepSample + x*x
	l.xy = l.xy*keepSample + x*y
}

// slope is the line's, which is prior until samples differ enough in x.
func (l *line) slope(prior float64) float64 {
	if l.n == 0 {
		return prior
	}
	spread := l.xx - l.x*l.x/l.n
	both := l.xy - l.x*l.y/l.n
	return (both + prior*priorSpread) / (spread + priorSpread)
}
