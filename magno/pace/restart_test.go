package pace

import (
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

// Guards against processes that keep an upstream's limit, are killed right after they granted a burst,
// and whose successors grant one anew: in any 4 s an upstream accepts 1.5 times its limit and five
// requests.
func TestProcessesThatAreKilledStayWithinTheLimit(t *testing.T) {
	const span = 4 * magno.Second
	for _, rate := range []float64{0.5, 2, 20} {
		for _, life := range []magno.Millis{span / 2, span / 4, span / 8} {
			clock := magno.NewClock(magno.Hour)
			granted := slide.Sum{Window: span}
			most := 0.0
			start := func() *Limiter {
				l := &Limiter{}
				l.Name(rate, clock.Now(), clock.Now())
				return l
			}
			ask := func(l *Limiter) {
				for l.Allows(clock.Now()) {
					l.Take(1)
					granted.Add(1, clock.Now())
				}
				most = max(most, granted.Total(clock.Now()))
			}
			l := start()
			clock.Advance(magno.Minute)
			ask(l) // all that it saved up, right before the kill
			for end := clock.Now() + 3*span; clock.Now() < end; {
				l = start()
				for stop := clock.Now() + life; clock.Now() < stop; clock.Advance(20) {
					ask(l)
				}
			}
			allowed := 1.5*rate*float64(span)/1000 + 5
			t.Logf("%.1f per second, killed each %d ms: %.0f in 4 s, allowed %.0f", rate, life, most, allowed)
			if most > allowed {
				t.Errorf("%.1f per second, killed each %d ms: %.0f in 4 s, allowed %.0f", rate, life, most, allowed)
			}
		}
	}
}
