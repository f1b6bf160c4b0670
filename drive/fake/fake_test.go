package fake

import (
	"testing"

	"magnoliastall.example/magno"
)

func TestStepSharesTokens(t *testing.T) {
	ref := magno.Ref{Adapter: "a", Version: "1"}
	e := &Engine{Limits: magno.Limits{Slots: 1, Batch: 2, Tokens: 10, Step: 5}, PrefixCacheSize: 1}
	e.Load(ref)
	e.Start(magno.Job{ID: "x", Ref: ref, Prompt: 12, Prefix: 7}, 3)
	steps := []struct {
		made int
		used int64
	}{{0, 10}, {0, 2}, {1, 1}}
	for i, want := range steps {
		before := e.UsedTokens
		made := e.Step()
		if len(made) != want.made || e.UsedTokens-before != want.used {
			t.Errorf("step %d: %d results, %d tokens used", i, len(made), e.UsedTokens-before)
		}
	}
	// With the prefix cached, the second job processes half of its prompt, in the same
	// step as the next token of the first job.
	e.Start(magno.Job{ID: "y", Ref: ref, Prompt: 12, Prefix: 7}, 1)
	before := e.UsedTokens
	if made := e.Step(); len(made) != 1 || made[0].ID != "x" || e.UsedTokens-before != 7 {
		t.Errorf("got results %v, %d tokens used", made, e.UsedTokens-before)
	}
	made := e.Step()
	if len(made) != 2 || !made[0].End || !made[1].End || !made[1].First || e.Running() != 0 {
		t.Errorf("got results %+v, %d jobs running", made, e.Running())
	}
	if e.Step() != nil || e.Violations != 0 {
		t.Error("an idle engine took a step, or counted a violation")
	}
}

// Guards against scheduler faults that don't show in the results: jobs started without
// their adapter or beyond the batch limit, and evictions of adapters in use.
func TestWrongOrders(t *testing.T) {
	ref := magno.Ref{Adapter: "a", Version: "1"}
	tests := map[string]func(e *Engine){
		"not loaded": func(e *Engine) { e.Start(magno.Job{Ref: magno.Ref{Adapter: "b", Version: "1"}}, 1) },
		"over batch": func(e *Engine) {
			e.Start(magno.Job{Ref: ref}, 1)
			e.Start(magno.Job{Ref: ref}, 1)
		},
		"evicted in use": func(e *Engine) {
			e.Start(magno.Job{Ref: ref}, 1)
			e.Unload(ref)
		},
	}
	for name, do := range tests {
		e := &Engine{Limits: magno.Limits{Slots: 1, Batch: 1, Tokens: 10, Step: 5}}
		e.Load(ref)
		if do(e); e.Violations != 1 {
			t.Errorf("%s: got %d violations, want 1", name, e.Violations)
		}
	}
}
