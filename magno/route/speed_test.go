package route

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"

	"magnoliastall.example/magno"
)

const (
	// speedRange is the factor between the slowest and the fastest engine that is drawn, and
	// fastest the relative step time of the fastest.
	speedRange, fastest = 3, 0.6
	// leastShare is the share of requests on time, relative to routers that know the speeds.
	leastShare = 0.95
	// mostExtra is by how much loads and requests to other data centres may exceed those of a
	// router that knows the speeds.
	mostExtra = 1.05
	// mostRateError is the highest mean error of the rates that agents have learned from five
	// seconds after a change on. With rates that follow a change over a hundred prompts it is
	// 0.38 to 0.43, otherwise 0.17 to 0.21.
	mostRateError = 0.3
)

// speedDraw returns a scene whose engines differ in speed and change in the middle. Draw 0 has
// two kinds of engines, of which a third slow down while the slow ones recover.
func speedDraw(draw uint64) *scene {
	s := &scene{seed: draw, span: 40 * magno.Second}
	rng := rand.New(rand.NewPCG(draw, 3)) //nolint:gosec // no secret
	speed := func() float64 { return fastest * math.Pow(speedRange, rng.Float64()) }
	for i := range sceneEngines {
		if draw == 0 {
			s.before = append(s.before, []float64{0.7, 0.7, 1.7}[i%3])
			s.after = append(s.after, []float64{0.7, 1.7, 0.7}[i%3])
			continue
		}
		s.before = append(s.before, speed())
		s.after = append(s.after, s.before[i])
		if rng.IntN(3) == 0 {
			s.after[i] = speed()
		}
	}
	return s
}

// Engines of one pool differ in speed by up to a factor of three, and a third of them change in
// the middle. Four entries choose at once from reports that are up to 250 ms old. The share of
// streams whose first event and pauses are on time must come near that of routers that know the
// speeds, without more loads or more traffic between data centres. If the agents' estimates lag
// behind, streams are sent to engines that pause for too long, and prompts aren't spaced there.
func TestStreamsAreOnTimeAtEnginesOfUnequalSpeed(t *testing.T) {
	for i, demand := range []float64{0.5, 0.7, 0.9} {
		var sums [2]outcome
		var mu sync.Mutex
		var wg sync.WaitGroup
		for know := range knowledge(len(sums)) {
			for _, draw := range []uint64{0, uint64(i) + 1} {
				wg.Go(func() {
					s := speedDraw(draw)
					s.know, s.demand = know, demand
					out := s.run()
					mu.Lock()
					defer mu.Unlock()
					sums[know].add(out)
				})
			}
		}
		wg.Wait()
		for know := range sums {
			t.Logf("demand %.1f, router knows %v: %v", demand, knowledge(know), &sums[know])
		}
		got, best := &sums[knowsReports], &sums[knowsSpeeds]
		if got.share() < leastShare*best.share() {
			t.Errorf("demand %.1f: a share of %.3f is on time, %.3f with routers that know the speeds", demand, got.share(), best.share())
		}
		if float64(got.loads) > mostExtra*float64(best.loads) || float64(got.remote) > mostExtra*float64(best.remote) {
			t.Errorf("demand %.1f: %d loads and %d requests to other data centres, %d and %d with routers that know the speeds",
				demand, got.loads, got.remote, best.loads, best.remote)
		}
		if got.meanRateError() > mostRateError {
			t.Errorf("demand %.1f: rates are learned with an error of %.2f", demand, got.meanRateError())
		}
	}
}
