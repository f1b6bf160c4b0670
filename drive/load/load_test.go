package load

import (
	"math"
	"reflect"
	"testing"

	"magnoliastall.example/magno"
)

func generate(t *testing.T, scene string, seed uint64) (*Workload, []Arrival) {
	t.Helper()
	d, err := FindDeployment("delta")
	if err != nil {
		t.Fatal(err)
	}
	l := &Workload{Deployment: d, Case: scene, Seed: seed, Rate: 20, Duration: 20 * magno.Minute, ZipfExponent: 1.5, StallWeight: -1}
	return l, l.Arrivals()
}

// Guards against arrivals that depend on more than the seed: policies are compared on the
// same arrivals.
func TestSameSeedSameArrivals(t *testing.T) {
	for _, scene := range Cases {
		_, a := generate(t, scene, 5)
		_, b := generate(t, scene, 5)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: arrivals of one seed differ between two generations", scene)
		}
	}
	_, a := generate(t, Steady, 5)
	_, c := generate(t, Steady, 6)
	if reflect.DeepEqual(a, c) {
		t.Error("different seeds give the same arrivals")
	}
}

func TestShape(t *testing.T) {
	for _, scene := range []string{Steady, Burst, HotKey, Long} {
		l, jobs := generate(t, scene, 1)
		want := l.Rate * float64(l.Duration) / 1000
		if got := float64(len(jobs)); math.Abs(got/want-1) > 0.03 {
			t.Errorf("%s: %.0f arrivals, want about %.0f", scene, got, want)
		}
		counts, hot, bursts := map[magno.Ref]int{}, 0, 0
		for i, a := range jobs {
			if i > 0 && a.Job.Arrived < jobs[i-1].Job.Arrived {
				t.Fatalf("%s: arrival %d is out of order", scene, i)
			}
			if a.Pool == PoolReading {
				counts[a.Job.Ref]++
				hot = max(hot, counts[a.Job.Ref])
			}
			if a.Job.Arrived%burstInterval < burstDuration {
				bursts++
			}
		}
		share := float64(bursts) / float64(len(jobs))
		if burst := scene == Burst; burst != (share > 0.2) {
			t.Errorf("%s: share of arrivals in the first 5 s of minutes is %.2f", scene, share)
		}
		if key := scene == HotKey; key != (float64(hot) > 0.22*float64(len(jobs))) {
			t.Errorf("%s: the most requested adapter has %d of %d requests", scene, hot, len(jobs))
		}
	}
}

// Guards against a hot caller that changes the base load: the responses of the others
// would then differ from the case Steady for that reason alone.
func TestHotCallerComesOnTop(t *testing.T) {
	_, steady := generate(t, Steady, 2)
	_, mixed := generate(t, HotCaller, 2)
	var base []Arrival
	for _, a := range mixed {
		if !a.Hot {
			base = append(base, a)
		}
	}
	if !reflect.DeepEqual(steady, base) || len(mixed) == len(base) {
		t.Errorf("got %d base arrivals of %d, want %d as in the case Steady", len(base), len(mixed), len(steady))
	}
}
