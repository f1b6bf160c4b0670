package admit

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

func newGate() *Controller {
	return &Controller{MaxQueued: 100, Limits: magno.Limits{Batch: 10, Tokens: 100, Step: 10, Load: 500}}
}

// job runs for a second by the engine's figures.
func job(id string, left magno.Millis) *magno.Job {
	return &magno.Job{ID: id, Output: 99, Stall: 0.5, Deadline: 1000 + left}
}

func TestOffer(t *testing.T) {
	tests := []struct {
		name string
		left magno.Millis
		view State
		want magno.Kind
	}{
		{"room", 5000, State{Free: 1}, ""},
		{"past", 0, State{Free: 1}, magno.KindPast},
		{"run alone too long", 900, State{Free: 1}, magno.KindBusy},
		{"behind others", 5000, State{Ahead: 60000}, magno.KindBusy},
		{"behind its own", 5000, State{Ahead: 60000, OverShare: true}, magno.KindShare},
		{"behind others with time", 30000, State{Ahead: 60000}, ""},
		{"load in time", 5000, State{Free: 1, LoadWait: 400, Patience: 500}, ""},
		{"load too late", 5000, State{Free: 1, LoadWait: 600, Patience: 500}, magno.KindLoading},
		{"too many loads", 5000, State{Free: 1, LoadWait: 400, Patience: 500, Wanted: mostWanted}, magno.KindLoading},
		{"queue full", 30000, State{Queued: 100}, magno.KindBusy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newGate().Admit(1000, job("a", tt.left), tt.view)
			if tt.want == "" {
				if r != nil {
					t.Fatalf("got %v", r)
				}
				return
			}
			if r == nil || r.Kind != tt.want || r.Run != magno.RunNo || (r.After > 0) != tt.want.Answer().Again {
				t.Fatalf("got %+v", r)
			}
		})
	}
}

// Many callers are refused at one moment. If all were told the same time, they
// would come back together and be refused again.
func TestAfterIsSpread(t *testing.T) {
	seen := map[magno.Millis]bool{}
	for i := range 100 {
		r := newGate().Admit(1000, job(fmt.Sprint(i), 5000), State{Ahead: 60000})
		if r.After < 1000 || r.After > 5000 {
			t.Fatalf("come back after %d ms", r.After)
		}
		seen[r.After] = true
	}
	if len(seen) < 40 {
		t.Fatalf("100 refusals name %d times", len(seen))
	}
}

// Runs take three times what the engine's figures say, and at first admitted
// jobs are late. The estimate must follow, and relax when all is well again.
func TestCorrectionsFollow(t *testing.T) {
	g := newGate()
	j := job("a", 10000)
	for range 100 {
		g.ObserveRun(j, 3000)
	}
	if run := g.EstimateRun(j); run < 2800 || run > 3200 {
		t.Fatalf("runs of 3000 ms are expected to take %d", run)
	}
	for range 10 {
		g.ObserveEnd("b", false)
	}
	high := g.factor("b")
	for range 10000 {
		g.ObserveEnd("b", true)
	}
	if high < 1.5 || g.factor("b") != leastMargin {
		t.Fatalf("margin %v after late jobs, %v later", high, g.factor("b"))
	}
}

// A profile states how much load stalls weigh. With 1 its jobs must be refused
// rather than wait long, with 0 they may use most of their time.
func TestPatienceFallsWithStall(t *testing.T) {
	g := newGate()
	last := magno.Hour
	for _, stall := range []float64{0, 0.3, 0.6, 1} {
		j := job("a", 60000)
		j.Stall = stall
		got := g.LoadPatience(1000, j)
		if got >= last {
			t.Fatalf("patience %d at %v is no less than before", got, stall)
		}
		last = got
	}
	if last != stallLoads*500 {
		t.Fatalf("patience %d with 1", last)
	}
}
