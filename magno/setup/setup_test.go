package setup

import (
	"errors"
	"testing"
)

type sample struct {
	Listen string   `json:"listen" help:"address"`
	Limit  int      `json:"limit" help:"most"`
	Peers  []string `json:"peers" help:"who"`
}

// Check implements Checker.
func (s *sample) Check() error { return Range("limit", s.Limit, 1, 10) }

// A mistyped key, a value of the wrong type or out of range must be reported with its line.
// If it were ignored, the program would run with an unintended default.
func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, text, key string
		line            int
	}{
		{"unknown key", "{\n// note\n\"listne\": \"x\"\n}", "listne", 3},
		{"wrong type", "{\n\"limit\": \"many\"\n}", "limit", 2},
		{"out of range", "{\n\n\"limit\": 11,\n}", "limit", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Parse("f.json", []byte(tt.text), &sample{Limit: 1})
			var invalid *Error
			if !errors.As(err, &invalid) || invalid.Key != tt.key || invalid.Line != tt.line {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestFlagsOverride(t *testing.T) {
	s := &sample{Limit: 1}
	if err := Load("x", []string{"-limit", "7", "-listen", "1:2", "-peers", `["a"]`}, s); err != nil {
		t.Fatal(err)
	}
	if s.Limit != 7 || s.Listen != "1:2" || len(s.Peers) != 1 {
		t.Fatalf("got %+v", s)
	}
	if err := Load("x", []string{"-limit", "many"}, s); err == nil {
		t.Fatal("text accepted for an integer")
	}
}
