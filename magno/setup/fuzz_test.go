package setup

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzParse reads settings that people wrote by hand; a fault must name a line
// of the file.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "{}", "null", "{\"limit\": 5, // note\n}", `{"limit": "x"}`, `{"limit": 99}`, `{"peers": [1]}`, `{"a": 1}`, "{\"limit\":\n", `{"limit":1}{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &sample{Limit: 1}
		err := Parse("f", data, s)
		var fault *Error
		if errors.As(err, &fault) && (fault.Line < 1 || fault.Line > 1+bytes.Count(data, []byte("\n"))) {
			t.Errorf("%q: %v", data, err)
		}
		if err == nil && (s.Limit < 1 || s.Limit > 10) {
			t.Errorf("%q set the limit to %d", data, s.Limit)
		}
	})
}
