package admit

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

func newController() *Controller {
	return &Controller{MaxQueued: 100, Limits: magno.Limits{Batch: 10, Tokens: 100, Step: 10, Load: 500}}
}

// job returns a job with a nominal run of one second.
func job(id string, left magno.Millis) *magno.Job {
	return &magno.Job{ID: id, Output: 99, Stall: 0.5, Deadline: 1000 + left}
}

func TestAdmit(t *testing.T) {
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
		{"too many loads", 5000, State{Free: 1, LoadWait: 400, Patience: 500, Wanted: maxWanted}, magno.KindLoading},
		{"queue full", 30000, State{Queued: 100}, magno.KindBusy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newController().Admit(1000, job("a", tt.left), tt.view)
			if tt.want == "" {
				if r != nil {
					t.Fatalf("got %v", r)
				}
				return
			}
			if r == nil || r.Kind != tt.want || r.Run != magno.RunNo || (r.After > 0) != tt.want.Answer().Retryable {
				t.Fatalf("got %+v", r)
			}
		})
	}
}

// Many callers are refused at one moment. With the same Retry-After they would come
// back together and be refused again.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := map[magno.Millis]bool{}
	for i := range 100 {
		r := newController().Admit(1000, job(fmt.Sprint(i), 5000), State{Ahead: 60000})
		if r.After < 1000 || r.After > 5000 {
			t.Fatalf("Retry-After is %d ms", r.After)
		}
		seen[r.After] = true
	}
	if len(seen) < 40 {
		t.Fatalf("100 refusals have %d different Retry-After values", len(seen))
	}
}

// Runs take three times their nominal time, and the first admitted jobs are late. The
// estimate must follow, and the margin must shrink again once jobs are in time.
func TestCorrectionsFollow(t *testing.T) {
	c := newController()
	j := job("a", 10000)
	for range 100 {
		c.ObserveRun(j, 3000)
	}
	if run := c.EstimateRun(j); run < 2800 || run > 3200 {
		t.Fatalf("estimated %d ms for runs of 3000 ms", run)
	}
	for range 10 {
		c.ObserveEnd("b", false)
	}
	high := c.margin("b")
	for range 10000 {
		c.ObserveEnd("b", true)
	}
	if high < 1.5 || c.margin("b") != minMargin {
		t.Fatalf("margin is %v after late jobs, %v after jobs in time", high, c.margin("b"))
	}
}

// A profile states how much load stalls weigh. With a Stall of 1 its jobs must be
// refused rather than wait for long; with 0 they may wait for most of their time.
func TestPatienceFallsWithStall(t *testing.T) {
	c := newController()
	last := magno.Hour
	for _, stall := range []float64{0, 0.3, 0.6, 1} {
		j := job("a", 60000)
		j.Stall = stall
		got := c.LoadPatience(1000, j)
		if got >= last {
			t.Fatalf("patience of %d ms with a Stall of %v is no shorter than with less", got, stall)
		}
		last = got
	}
	if last != minPatienceLoads*500 {
		t.Fatalf("patience of %d ms with a Stall of 1", last)
	}
}
