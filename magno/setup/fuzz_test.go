package setup

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzParse checks that errors have a line within the file and that accepted values are in
// range.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "{}", "null", "{\"limit\": 5, // note\n}", `{"limit": "x"}`, `{"limit": 99}`, `{"peers": [1]}`, `{"a": 1}`, "{\"limit\":\n", `{"limit":1}{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &sample{Limit: 1}
		err := Parse("f", data, s)
		var invalid *Error
		if errors.As(err, &invalid) && (invalid.Line < 1 || invalid.Line > 1+bytes.Count(data, []byte("\n"))) {
			t.Errorf("%q: %v", data, err)
		}
		if err == nil && (s.Limit < 1 || s.Limit > 10) {
			t.Errorf("%q set the limit to %d", data, s.Limit)
		}
	})
}
