package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// A caller complains that its answer came late, and the log says that it waited
// for its permit. Whether slots, the weight store or prompts before it were to
// blame must show, or the operators add engines where a faster store was needed.
func TestWaitsAreToldByCause(t *testing.T) {
	tests := []struct {
		cause Cause
		// before fills the engine with what makes the request "x" wait.
		before func(w *world)
		ask    Request
	}{
		{CauseLoad, func(*world) {}, Request{Adapter: "x"}},
		{CauseSlot, func(w *world) {
			for i := range 2 {
				w.offer(w.ask(fmt.Sprint(i), fmt.Sprint("a", i), 100))
			}
			w.run(1200, nil)
		}, Request{Adapter: "x"}},
		{CauseCapacity, func(w *world) {
			w.running = 64
			w.report()
		}, Request{}},
		{CausePrefill, func(w *world) {
			for i := range 4 {
				w.offer(w.ask(fmt.Sprint(i), "", 4000))
			}
		}, Request{}},
		{CauseModel, func(w *world) {
			w.gate.ApplyReport(&magno.Report{Born: 2, Held: map[string]map[string]int64{}}, w.clock.Now())
		}, Request{}},
	}
	for _, tt := range tests {
		w := newWorld(t, 2)
		tt.before(w)
		a := w.ask("x", tt.ask.Adapter, 100)
		a.MaxWait = 6000 // longer than a base model takes to load
		w.offer(a)
		from := w.clock.Now()
		w.gate.Decide()
		w.clock.Advance(100)
		w.gate.Decide()
		i := len(w.gate.queue) - 1
		if i < 0 {
			t.Errorf("%s: the request didn't wait", tt.cause)
			continue
		}
		waits := w.gate.queue[i].waits
		if waits[tt.cause] != w.clock.Now()-from {
			t.Errorf("%s: waited %v by cause, want 100 for that one", tt.cause, waits)
		}
	}
}
