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

// Check limits Limit.
func (s *sample) Check() error { return Range("limit", s.Limit, 1, 10) }

// An operator mistypes a key, gives a word for a number or leaves a range.
// Without the line, the program would start with a default nobody chose.
func TestFaults(t *testing.T) {
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
			var fault *Error
			if !errors.As(err, &fault) || fault.Key != tt.key || fault.Line != tt.line {
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
		t.Fatal("a word was taken for a number")
	}
}
