package gate

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// The time that a request waits for its permit is attributed to the resource that it waits for.
// Otherwise operators would add engines where a faster weight store was needed.
func TestWaitsAreCountedByCause(t *testing.T) {
	tests := []struct {
		cause Cause
		// before brings the engine into a state in which the request "x" has to wait.
		before func(h *harness)
		ask    Request
	}{
		{CauseLoad, func(*harness) {}, Request{Adapter: "x"}},
		{CauseSlot, func(h *harness) {
			for i := range 2 {
				h.offer(h.request(fmt.Sprint(i), fmt.Sprint("a", i), 100))
			}
			h.run(1200, nil)
		}, Request{Adapter: "x"}},
		{CauseCapacity, func(h *harness) {
			h.running = 64
			h.report()
		}, Request{}},
		{CausePrefill, func(h *harness) {
			for i := range 4 {
				h.offer(h.request(fmt.Sprint(i), "", 4000))
			}
		}, Request{}},
		{CauseModel, func(h *harness) {
			h.gate.ApplyReport(&magno.Report{StartedAt: 2, Loaded: map[string]map[string]int64{}}, h.clock.Now())
		}, Request{}},
	}
	for _, tt := range tests {
		h := newHarness(t, 2)
		tt.before(h)
		a := h.request("x", tt.ask.Adapter, 100)
		a.MaxWait = 6000 // longer than the load time of a base model
		h.offer(a)
		from := h.clock.Now()
		h.gate.Decide()
		h.clock.Advance(100)
		h.gate.Decide()
		i := len(h.gate.queue) - 1
		if i < 0 {
			t.Errorf("%s: the request didn't wait", tt.cause)
			continue
		}
		waits := h.gate.queue[i].waits
		if waits[tt.cause] != h.clock.Now()-from {
			t.Errorf("%s: waits by cause are %v, want 100 ms for this one", tt.cause, waits)
		}
	}
}
