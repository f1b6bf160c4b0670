package fault

import (
	"math"
	"testing"

	"magnoliastall.example/magno"
)

// allKinds supports every kind, with Match.
var allKinds = map[string]bool{
	Outage: true, Stale: true, Lag: true, Slow: true, Fail: true, Lost: true, Crash: true, Restart: true, IgnoreFence: true,
}

func TestParse(t *testing.T) {
	tests := []struct {
		body string
		ok   bool
	}{
		{`{"kind":"outage"}`, true},
		{`{"kind":"stale","value":60000}`, true},
		{`{"kind":"stale","value":600001}`, false},
		{`{"kind":"lag","value":-1}`, false},
		{`{"kind":"fail","value":0.5,"match":"a@1"}`, true},
		{`{"kind":"fail","value":1.5}`, false},
		{`{"kind":"crash","match":"poison"}`, true},
		{`{"kind":"crash"}`, false},
		{`{"kind":"fire"}`, false},
		{`{"kind":"outage","valeu":1}`, false},
		{`{"kind":"outage"} more`, false},
		{`{}`, false},
		{``, false},
	}
	for _, tt := range tests {
		if _, err := Parse([]byte(tt.body)); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.body, err)
		}
	}
}

// A fault that the service does not support must be rejected. Ignored, it would let
// a test pass that injects no fault.
func TestUnsupportedKind(t *testing.T) {
	s := Injector{Kinds: map[string]bool{Slow: false, Fail: true}}
	tests := []struct {
		order Spec
		ok    bool
	}{
		{Spec{Kind: Slow, Value: 2}, true},
		{Spec{Kind: Slow, Value: 2, Match: "x"}, false},
		{Spec{Kind: Fail, Value: 1, Match: "x"}, true},
		{Spec{Kind: Outage}, false},
		{Spec{Kind: Clear}, true},
	}
	for _, tt := range tests {
		if err := s.Set(tt.order); (err == nil) != tt.ok {
			t.Errorf("%+v: %v", tt.order, err)
		}
	}
}

func TestHitKeepsShare(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.25, 1.0 / 3, 0.7, 1} {
		s := Injector{Kinds: allKinds}
		if err := s.Set(Spec{Kind: Fail, Value: share, Match: "x"}); err != nil {
			t.Fatal(err)
		}
		const calls = 3000
		n := 0
		for range calls {
			if s.Hit(Fail, "y") {
				t.Fatal("a call that does not match was hit")
			}
			if s.Hit(Fail, "xx") {
				n++
			}
		}
		if want := share * calls; float64(n) < want-1 || float64(n) > want+1 {
			t.Errorf("fraction %v: %d of %d calls hit", share, n, calls)
		}
	}
}

func TestClearAndRestart(t *testing.T) {
	var down magno.Millis
	changes := 0
	s := Injector{Kinds: allKinds, OnRestart: func(d magno.Millis) { down = d }, OnChange: func() { changes++ }}
	for _, o := range []Spec{{Kind: Slow, Value: 3}, {Kind: Lag, Value: 70}, {Kind: Restart, Value: 9}} {
		if err := s.Set(o); err != nil {
			t.Fatal(err)
		}
	}
	if s.Slowdown("any") != 3 || s.Delay(Lag, 5) != 70 || down != 9 || changes != 3 {
		t.Fatalf("factor %v, lag %v, down %v, changes %d", s.Slowdown("any"), s.Delay(Lag, 5), down, changes)
	}
	if err := s.Set(Spec{Kind: Clear}); err != nil {
		t.Fatal(err)
	}
	if s.Slowdown("any") != 1 || s.Delay(Lag, 5) != 5 {
		t.Fatal("a fault is still active after clear")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"kind":"slow","value":2,"match":"x"}`))
	f.Add([]byte(`{"kind":"restart","value":1e308}`))
	f.Add([]byte(`[1]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := Parse(data)
		if err != nil {
			return
		}
		s := Injector{Kinds: allKinds}
		if err := s.Set(o); err != nil {
			t.Errorf("parsed but not set: %+v: %v", o, err)
		}
		if factor := s.Slowdown(o.Match); factor < 1 || math.IsNaN(factor) {
			t.Errorf("factor %v of %+v", factor, o)
		}
	})
}
