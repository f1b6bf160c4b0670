package desk

import (
	"log/slog"
	"maps"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// A changed weight must reach the agents as a new spec, and a configuration without customers, or
// with equal weights, must leave the specs as they are: each new one is sent to every agent.
func TestWeightsAreInTheSpec(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	book := &view.Store{Clock: clock}
	client := &Client{Clock: clock, Book: book, Log: slog.New(slog.DiscardHandler), AgentPort: 1}
	changes := []magno.Change{
		{Key: "r", Revision: 1, Replica: &magno.Replica{ID: "r", Service: "s", Address: "127.0.0.1:1", DataCentre: "x", Slots: 1}},
	}
	for i, step := range []struct {
		customers []magno.Customer
		weights   map[string]float64
		changed   bool
	}{
		{nil, nil, true},
		{[]magno.Customer{{Name: "a", Weight: 1}, {Name: "b"}}, nil, false},
		{[]magno.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}, map[string]float64{"b": 3}, true},
		{[]magno.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "c", Weight: 1}}, map[string]float64{"b": 3}, false},
		{[]magno.Customer{{Name: "a", Weight: 1}}, nil, true},
	} {
		revision := magno.Revision(i + 1)
		plan := &magno.Plan{Version: int64(i + 1), Services: []magno.Service{{Name: "s", Engine: &magno.Engine{Batch: 1}}}, Customers: step.customers}
		book.ApplyRead(append(changes, magno.Change{Key: "plan", Revision: revision, Plan: plan}), revision, true)
		client.syncAgents()
		s := client.agents["r@0"]
		if s == nil {
			t.Fatalf("no agent among %v", client.agents)
		}
		if !maps.Equal(s.spec.Weights, step.weights) || (s.specRevision == revision) != step.changed {
			t.Errorf("step %d: weights are %v at revision %d", i, s.spec.Weights, s.specRevision)
		}
	}
}
