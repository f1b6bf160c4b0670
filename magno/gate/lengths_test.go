package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// The kinds of the replays of token memory: a usual stream, one with a hint, short ones, and short ones
// with a long prompt. They declare far more than they use.
var (
	memoryGuide  = replayKind{name: "guide", prompt: 826, events: 44, spread: 0.4, declared: 1160, rank: 1, target: 800, wait: 3000, value: 1, late: 0.5}
	memoryHinted = replayKind{name: "hinted", prompt: 826, events: 44, spread: 0.4, declared: 1160, hintSpread: 0.8, rank: 1, target: 800, wait: 3000, value: 1, late: 0.5}
	memoryShort  = replayKind{name: "short", prompt: 100, events: 10, spread: 0.4, declared: 1200, rank: 1, target: 800, wait: 3000, value: 1, late: 0.5}
	memoryBrief  = replayKind{name: "brief", prompt: 826, events: 12, spread: 0.4, declared: 1160, rank: 1, target: 800, wait: 3000, value: 1, late: 0.5}
)

// memoryLoad is a load on two engines whose token memory is the limiting factor.
func memoryLoad(tokens int, perSecond float64, kinds ...replayKind) replayLoad {
	return replayLoad{
		speeds: []float64{32, 32}, kinds: kinds, span: 20 * magno.Second, tokens: tokens, batch: 64,
		rate: func(int, magno.Millis) float64 { return perSecond },
	}
}

// runLengths plays a load with and without learned lengths.
func runLengths(t *testing.T, load replayLoad, estimate, declared bool) *replayResult {
	t.Helper()
	r := newReplay(load, false, 1)
	for _, e := range r.engines {
		e.gate.declaredLengths, e.gate.OrderByEstimate = declared, estimate
	}
	res := r.run()
	blocked := 0
	for _, n := range res.blocked {
		blocked += n
	}
	t.Logf("declared maxima alone %v, by estimate %v: %v, preempted %d, waits for capacity %.2f",
		declared, estimate, res, res.preempted, float64(res.blocked[CauseCapacity])/float64(max(blocked, 1)))
	return res
}

// Token memory is the limiting factor. Guards against requests that wait or are refused beside memory
// that is reserved and not used, and against preemption.
func TestUnusedTokenMemoryIsUsed(t *testing.T) {
	loads := map[string]replayLoad{
		"guides":                 memoryLoad(65_536, 48, memoryGuide),
		"guides, half":           memoryLoad(32_768, 48, memoryGuide),
		"hints":                  memoryLoad(65_536, 48, memoryHinted),
		"short and guides":       memoryLoad(65_536, 48, memoryShort, memoryGuide),
		"short and guides, half": memoryLoad(32_768, 48, memoryShort, memoryGuide),
	}
	for name, load := range loads {
		for _, estimate := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/estimate=%v", name, estimate), func(t *testing.T) {
				without, with := runLengths(t, load, estimate, true), runLengths(t, load, estimate, false)
				if with.value < 1.05*without.value {
					t.Errorf("the value is %.0f with learned lengths, and %.0f without", with.value, without.value)
				}
				if with.preempted > 0 {
					t.Errorf("%d requests were preempted", with.preempted)
				}
				for kind := range load.kinds {
					if with.refused[kind] > without.refused[kind] {
						t.Errorf("%s: %d refused with learned lengths, %d without", load.kinds[kind].name, with.refused[kind], without.refused[kind])
					}
				}
			})
		}
	}
}

// The declared maxima fit into the memory. Guards against a change of any decision there.
func TestLengthsChangeNothingWhereDeclaredMaximaFit(t *testing.T) {
	for name, load := range replayLoads {
		t.Run(name, func(t *testing.T) {
			load.tokens = 126_376 // outputs are recorded
			without, with := runLengths(t, load, true, true), runLengths(t, load, true, false)
			if with.String() != without.String() {
				t.Error("learned lengths changed the outcomes")
			}
		})
	}
}

// The engines of two deployments, 32 and 64 request slots, at demands up to twice what they take. Their
// token memory isn't the limiting factor. Guards against a change of any decision there.
func TestLengthsChangeNothingWhereRequestSlotsAreFullFirst(t *testing.T) {
	check := replayKind{name: "check", prompt: 2368, events: 3, spread: 0.1, declared: 72, target: 600, wait: 1900, value: 1, late: 0.5}
	for _, size := range [][2]int{{126_376, 32}, {132_164, 64}} {
		for _, perSecond := range []float64{16, 32, 64} {
			t.Run(fmt.Sprintf("%d tokens, %d request slots, %g a second", size[0], size[1], perSecond), func(t *testing.T) {
				load := memoryLoad(size[0], perSecond, memoryGuide, check)
				load.batch = size[1]
				load.rate = func(kind int, _ magno.Millis) float64 {
					if kind == 0 {
						return perSecond
					}
					return perSecond / 5
				}
				without, with := runLengths(t, load, false, true), runLengths(t, load, false, false)
				if with.String() != without.String() {
					t.Error("learned lengths changed the outcomes")
				}
			})
		}
	}
}

// All answers become six or twelve times as long at once. Guards against engines that preempt more than
// one request in a hundred: with six times, of those that started, with twelve times, of all.
func TestAllAnswersLongAtOnce(t *testing.T) {
	for _, tokens := range []int{32_768, 65_536} {
		for _, perSecond := range []float64{24, 48, 96} {
			for _, times := range []float64{6, 12} {
				t.Run(fmt.Sprintf("%d tokens, %g a second, %g times", tokens, perSecond, times), func(t *testing.T) {
					load := memoryLoad(tokens, perSecond, memoryBrief)
					load.longFrom, load.longTimes = 8*magno.Second, times
					res := runLengths(t, load, false, false)
					of := res.onTime[0] + res.late[0]
					if times > 6 {
						of = res.all[0]
					}
					if 100*res.preempted > of {
						t.Errorf("%d of %d were preempted", res.preempted, of)
					}
				})
			}
		}
	}
}

// memoryHarness is a gate of an engine with little token memory, on which the base model is loaded.
func memoryHarness(t testing.TB, tokens, batch int) *Gate {
	t.Helper()
	g := &Gate{Clock: magno.NewClock(magno.Hour)}
	g.SetSpec(Spec{Replica: "r@1", ID: "r", Engine: magno.Engine{
		Models: []magno.Model{{Name: model, Size: 1000, Adapter: 10, Load: 3200, Disk: 1300}}, Slots: 8, Memory: 2000, Tokens: tokens, Batch: batch, Stride: 6,
	}})
	g.ApplyReport(&magno.Report{StartedAt: 1, Loaded: map[string]map[string]int64{model: {}}}, g.Clock.Now())
	return g
}

func memoryRequest(id string) Request {
	return Request{ID: id, Route: "r", Model: model, Prompt: 100, MaxOutput: 1000, StartTarget: magno.Hour, MaxWait: magno.Hour, TimeLeft: magno.Hour}
}

// runMany has many requests end one after the other, with the output that their entry reports.
func runMany(t testing.TB, g *Gate, output int) {
	t.Helper()
	for i := range 60 {
		a := memoryRequest(fmt.Sprint("past", i))
		if r := g.Offer(a); r != nil {
			t.Fatal(r)
		}
		g.Decide()
		if g.active[a.ID] == nil {
			t.Fatalf("%s didn't start alone", a.ID)
		}
		g.Clock.Advance(100)
		if output > 0 {
			g.RecordOutput(a.ID, output)
		}
		g.Done(a.ID, true)
	}
}

// startMany offers requests at once and returns how many run, and the grants.
func startMany(t *testing.T, g *Gate, n int) (grants []Grant) {
	t.Helper()
	for i := range n {
		_ = g.Offer(memoryRequest(fmt.Sprint(i)))
	}
	for range n {
		grants = append(grants, g.Decide().Grants...)
		g.Clock.Advance(20)
	}
	return grants
}

// Guards against a restarted agent, or one whose entries are of a version that reports no output, that
// admits by lengths it doesn't know.
func TestNothingLearnedMeansDeclaredMaxima(t *testing.T) {
	g := memoryHarness(t, 4000, 30)
	runMany(t, g, 0)
	if grants := startMany(t, g, 12); len(grants) != 5 { // 700 tokens each, of 3,600
		t.Errorf("%d run, want 5", len(grants))
	}
}

// Answers have 48 tokens of 1,000 declared. Guards against admission by declared maxima alone, beyond
// the bound on overcommitment, and without a trace for operators.
func TestLearnedLengthsAdmitMore(t *testing.T) {
	g := memoryHarness(t, 4000, 30)
	runMany(t, g, 48)
	grants := startMany(t, g, 12)
	if len(grants) != 6 { // 700 tokens each, of 1.2 times 4,000
		t.Errorf("%d run, want 6", len(grants))
	}
	for i, grant := range grants {
		if grant.ByLength != (i == 5) {
			t.Errorf("request %d is admitted by length: %v", i, grant.ByLength)
		}
	}
	// What was learned is about callers, not about the engine.
	g.ApplyReport(&magno.Report{StartedAt: 2, Loaded: map[string]map[string]int64{model: {}}}, g.Clock.Now())
	if grants := startMany(t, g, 12); len(grants) != 6 {
		t.Errorf("%d run after a restart of the engine, want 6", len(grants))
	}
}

// Answers are longer than the constant that is reserved. Guards against as many requests as that
// constant allows, of which the engine would preempt some.
func TestLongAnswersAdmitFewer(t *testing.T) {
	g := memoryHarness(t, 4000, 30)
	runMany(t, g, 990)
	if grants := startMany(t, g, 12); len(grants) != 3 {
		t.Errorf("%d run, want the 3 whose answers fit", len(grants))
	}
}

// The engine reports more memory in use than its requests with permits account for. Guards against
// admission into memory that isn't free.
func TestUsedMemoryCounts(t *testing.T) {
	for used, want := range map[int]int{600: 4, 3950: 3} {
		g := memoryHarness(t, 4000, 30)
		runMany(t, g, 48)
		started := len(startMany(t, g, 3))
		g.ApplyReport(&magno.Report{StartedAt: 1, Running: 3, Used: used, Loaded: map[string]map[string]int64{model: {}}}, g.Clock.Now())
		if r := g.Offer(memoryRequest("next")); r != nil {
			t.Fatal(r)
		}
		if n := started + len(g.Decide().Grants); n != want {
			t.Errorf("%d run with %d tokens in use, want %d", n, used, want)
		}
	}
}

// A request declares more than the whole memory. Guards against its admission by a length that was learned
// beside others: it could crash the engine.
func TestRequestThatCouldExceedTheMemoryIsAdmittedAsBefore(t *testing.T) {
	for declared, want := range map[int]int{3000: 6, 5000: 5} {
		g := memoryHarness(t, 4000, 30)
		runMany(t, g, 48)
		started := len(startMany(t, g, 5))
		a := memoryRequest("large")
		a.MaxOutput = declared
		if r := g.Offer(a); r != nil {
			t.Fatal(r)
		}
		g.Clock.Advance(100)
		if n := started + len(g.Decide().Grants); n != want {
			t.Errorf("%d run with %d tokens declared, want %d", n, declared, want)
		}
	}
}

// A request needs more than the memory at most, and nothing runs. Guards against a change of what is
// admitted alone.
func TestRequestAloneIsAdmittedAsBefore(t *testing.T) {
	g := memoryHarness(t, 900, 30)
	runMany(t, g, 990)
	if grants := startMany(t, g, 3); len(grants) != 1 || grants[0].ByLength {
		t.Errorf("got %+v, want one request", grants)
	}
}

func BenchmarkDecideByLength(b *testing.B) {
	for _, declared := range []bool{true, false} {
		b.Run(fmt.Sprintf("declared=%v", declared), func(b *testing.B) {
			g := memoryHarness(b, 60_000, 64)
			g.declaredLengths = declared
			for i := range 4096 * 4 {
				a := memoryRequest("")
				a.Customer = fmt.Sprint("customer", i%4096)
				g.lengths.table.Add(a.lengthKey(), a.MaxOutput, 0, 50+i%400)
			}
			for i := range 64 + maxQueued {
				a := memoryRequest(fmt.Sprint(i))
				a.Customer = fmt.Sprint("customer", i%4096)
				a.Prompt = 1000
				if i < 64 {
					g.active[a.ID] = &activeRequest{request: a, grantedAt: g.Clock.Now(), expiresAt: g.Clock.Now() + magno.Hour, events: 1 + i%20}
					continue
				}
				if r := g.Offer(a); r != nil {
					b.Fatal(r)
				}
			}
			g.spec.Engine.Batch = 128
			b.ReportAllocs()
			for b.Loop() {
				g.lengths.invalidate()
				g.Decide()
			}
		})
	}
}
