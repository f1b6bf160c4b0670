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
			t.Errorf("step %d: %d made, %d used", i, len(made), e.UsedTokens-before)
		}
	}
	// A second job with the same prefix reads half of its prompt, beside the
	// first one's next token.
	e.Start(magno.Job{ID: "y", Ref: ref, Prompt: 12, Prefix: 7}, 1)
	before := e.UsedTokens
	if made := e.Step(); len(made) != 1 || made[0].ID != "x" || e.UsedTokens-before != 7 {
		t.Errorf("%v made, %d used", made, e.UsedTokens-before)
	}
	made := e.Step()
	if len(made) != 2 || !made[0].End || !made[1].End || !made[1].First || e.Running() != 0 {
		t.Errorf("%+v, %d running", made, e.Running())
	}
	if e.Step() != nil || e.Violations != 0 {
		t.Error("an idle engine took a step, or was wronged")
	}
}

// A scheduler that starts a job without its adapter, over the batch, or evicts
// an adapter in use must show in every experiment's results.
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
			t.Errorf("%s: %d wrong", name, e.Violations)
		}
	}
}
