package queue

import (
	"math"
	"testing"

	"magnoliastall.example/magno"
)

// sceneSeeds is the number of seeds over which outcomes are added up.
const sceneSeeds = 4

// peakSeeds replaces sceneSeeds near capacity, where single seeds differ by percents.
const peakSeeds = 24

// steady is a constant level.
func steady(level float64) func(magno.Millis) float64 {
	return func(magno.Millis) float64 { return level }
}

// wave has the mean 0.6 and the peak 0.95.
func wave(at magno.Millis) float64 { return 0.6 + 0.35*math.Sin(2*math.Pi*float64(at)/17000) }

// overload is calm for three seconds, then 1.3 for four, then calm.
func overload(at magno.Millis) float64 {
	if at >= 3000 && at < 7000 {
		return 1.3
	}
	return 0.6
}

// slowTurns makes each upstream slow for 15% of the time, in turns of 1.5 s.
func slowTurns(up int, at magno.Millis) bool { return (int(at)+up*3300)%10000 < 1500 }

// expectation is what the queue must reach against sending at once.
type expectation int

const (
	notWorse  expectation = iota // on time within a percent, hardly any refused
	better                       // more on time, no more refused
	moreValue                    // more value and fewer refused
)

// TestLoad replays loads with the queue and with the policy without it. Without the queue, upstreams
// fill by chance, and under overload every answer waits for a whole upstream queue.
func TestLoad(t *testing.T) {
	for _, l := range []struct {
		name         string
		entries, ups int
		level        func(magno.Millis) float64
		slow         func(int, magno.Millis) bool
		// burst is the number of requests that each entry has at its start.
		burst int
		// hot is true if one entry has as many requests as 100 others, and another one from the
		// middle on.
		hot  bool
		end  magno.Millis
		want expectation
	}{
		{"calm", 30, 3, steady(0.5), nil, 0, false, 20000, notWorse},
		{"calm with slow upstreams", 30, 3, steady(0.5), slowTurns, 0, false, 20000, notWorse},
		{"waves", 30, 3, wave, nil, 0, false, 34000, notWorse},
		{"waves with slow upstreams", 30, 3, wave, slowTurns, 0, false, 34000, better},
		{"peak", 30, 3, steady(0.95), nil, 0, false, 20000, notWorse},
		{"peak with slow upstreams", 30, 3, steady(0.95), slowTurns, 0, false, 20000, better},
		{"overload", 30, 3, overload, nil, 0, false, 15000, better},
		{"overload with slow upstreams", 30, 3, overload, slowTurns, 0, false, 15000, better},
		{"long overload", 30, 3, steady(1.3), nil, 0, false, 30000, better},
		{"start with a backlog", 30, 3, steady(0.6), nil, 12, false, 6000, moreValue},
		{"one entry with most requests", 30, 3, steady(0.7), nil, 0, true, 10000, notWorse},
		{"96 entries with one with most requests", 96, 15, steady(0.7), nil, 0, true, 10000, notWorse},
		{"96 entries with an overload", 96, 15, overload, nil, 0, false, 10000, better},
	} {
		t.Run(l.name, func(t *testing.T) {
			play := func(direct bool) (sum outcome) {
				seeds := uint64(sceneSeeds)
				if l.name == "peak" {
					seeds = peakSeeds
				}
				for seed := range seeds {
					s := newScene(seed+1, l.entries, l.ups, direct)
					s.slow = l.slow
					for _, f := range s.fronts {
						for range l.burst {
							s.arrive(magno.Millis(s.rand.IntN(100)), f)
						}
					}
					s.loadHalves(l.end, l.level, l.hot)
					s.run(l.end + 2*scenePatient)
					sum.add(s.outcome(0, l.end))
				}
				return sum
			}
			compareOutcomes(t, play(true), play(false), l.want)
		})
	}
}

func compareOutcomes(t *testing.T, direct, queued outcome, want expectation) {
	t.Helper()
	t.Logf("direct %v", direct)
	t.Logf("queued %v", queued)
	if queued.open > 0 {
		t.Errorf("%d requests were never decided on", queued.open)
	}
	percent := queued.total() / 100
	switch {
	case want == notWorse && (queued.onTime < direct.onTime-percent || queued.refused > direct.refused+percent/5):
		t.Error("worse than sending at once")
	case want == better && (queued.onTime <= direct.onTime || queued.refused > direct.refused):
		t.Error("not better than sending at once")
	case want == moreValue && (queued.value() <= direct.value() || queued.refused > direct.refused/2):
		t.Error("no more value than by sending at once")
	}
}

const (
	// dayEnd is the length of the day, dayEntries the number of its entries.
	dayEnd     = 34000
	dayEntries = 29
	// dayDemand is the mean demand per second, dayWave the part by which it varies within dayPeriod,
	// and dayPeak a time at which it is highest.
	dayDemand = 144
	dayWave   = 0.55
	dayPeriod = 17000
	dayPeak   = 18500
	// dayErrors: 14% of a fifth of the requests are answered with an error status.
	dayErrors = 0.2 * 0.14
	daySeeds  = 12
)

// dayLevel is the demand per second.
func dayLevel(at magno.Millis) float64 {
	return dayDemand * (1 + dayWave*math.Cos(2*math.Pi*float64(at-dayPeak)/dayPeriod))
}

// daySlow makes each upstream slow for 15% of the time, in periods of 600 ms.
func daySlow(up int, at magno.Millis) bool { return (int(at)+up*1300)%4000 < 600 }

// dayOverload reports whether more requests arrive than the upstreams can answer.
func dayOverload(at magno.Millis) bool {
	return (at >= 4000 && at < 5000) || (at >= 15000 && at < 22000) || (at >= 29000 && at < dayEnd)
}

// dayCalm reports whether the upstreams can answer all requests and have no backlog.
func dayCalm(at magno.Millis) bool { return at < 4000 || (at >= 8000 && at < 14000) }

// dayOutcome is the outcome of a day.
type dayOutcome struct {
	all, overload, calm outcome
	// arrivals and answers are those of each second.
	arrivals, answers [dayEnd / 1000]int
}

func (d *dayOutcome) add(other *dayOutcome) {
	d.all.add(other.all)
	d.overload.add(other.overload)
	d.calm.add(other.calm)
	for i := range d.answers {
		d.arrivals[i] += other.arrivals[i]
		d.answers[i] += other.answers[i]
	}
}

// overloadAnswers counts the upstreams' answers in the overload.
func (d *dayOutcome) overloadAnswers() (n int) {
	for i, answers := range d.answers {
		if dayOverload(magno.Millis(i) * 1000) {
			n += answers
		}
	}
	return n
}

// mostOnTime returns how many of the requests of the overload can be on time with as many answers. Of
// n requests in a second and a answers at most a are on time. If none waits in vain, a request that
// isn't on time takes part of an answer too: a whole one if it is late, and if it is refused at once it
// returns and gets one with the same probability p as a first one, since entries can't tell it apart.
// So a >= n*p + n*(1-p)*p, and n*p is at most n*(1-sqrt(1-a/n)).
func (d *dayOutcome) mostOnTime() (firstOnly, withReturns float64) {
	for i := range d.answers {
		if dayOverload(magno.Millis(i) * 1000) {
			n, a := float64(d.arrivals[i]), float64(d.answers[i])
			firstOnly += min(n, a) * (1 - dayErrors)
			withReturns += n * (1 - math.Sqrt(max(1-a/n, 0))) * (1 - dayErrors)
		}
	}
	return firstOnly, withReturns
}

// playDay replays the busiest day of the device lab: one of three upstreams leaves at 4 s and another
// at 25 s, callers return once after a refusal, and their target counts from their first request.
func playDay(seed uint64, direct bool) *dayOutcome {
	s := newScene(seed, dayEntries, 3, direct)
	s.slow, s.returns, s.errorShare = daySlow, true, dayErrors
	s.at(4000, func() { s.leave(0) })
	s.at(25000, func() { s.leave(1) })
	s.loadBursts(dayEnd, dayLevel)
	s.run(dayEnd + 2*scenePatient)
	d := &dayOutcome{
		all:      s.outcomeWhere(func(at magno.Millis) bool { return at < dayEnd }),
		overload: s.outcomeWhere(dayOverload), calm: s.outcomeWhere(dayCalm),
	}
	for _, r := range s.reqs {
		if at := r.at - magno.Hour; at < dayEnd {
			d.arrivals[at/1000]++
		}
	}
	for _, at := range s.answers {
		if at < dayEnd {
			d.answers[at/1000]++
		}
	}
	return d
}

// TestDay guards against a queue that leaves request slots idle in an overload, or that serves less than
// sending at once does, where refused callers return.
func TestDay(t *testing.T) {
	var direct, queued dayOutcome
	for seed := range uint64(daySeeds) {
		direct.add(playDay(seed+1, true))
		queued.add(playDay(seed+1, false))
	}
	for _, d := range []struct {
		name string
		*dayOutcome
	}{{"direct", &direct}, {"queued", &queued}} {
		t.Logf("%s: value %.0f, %v", d.name, d.all.value(), d.all)
		t.Logf("%s: calm: %v", d.name, d.calm)
		t.Logf("%s: overload: %d answers, value %.0f, %v", d.name, d.overloadAnswers(), d.overload.value(), d.overload)
	}
	firstOnly, withReturns := direct.mostOnTime()
	unserved := func(o outcome) int { return o.late + o.refused }
	t.Logf("late or refused in the overload: %d, %d with the queue; with half of them on time, %d would be; at most %.0f can if no caller returns, %.0f if they do and none waits in vain",
		unserved(direct.overload), unserved(queued.overload), direct.overload.onTime+unserved(direct.overload)/2, firstOnly, withReturns)
	if queued.all.open > 0 {
		t.Errorf("%d requests were never decided on", queued.all.open)
	}
	if a, b := queued.all.value(), direct.all.value(); a <= b {
		t.Errorf("value %.0f, %.0f by sending at once", a, b)
	}
	if a, b := queued.calm.onTime, direct.calm.onTime; a < b-direct.calm.total()/100 {
		t.Errorf("%d of the calm part on time, %d by sending at once", a, b)
	}
	if a, b := queued.overloadAnswers(), direct.overloadAnswers(); float64(a) < 0.97*float64(b) {
		t.Errorf("%d answers in the overload, %d by sending at once", a, b)
	}
}
