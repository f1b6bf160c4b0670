package model

import (
	"io"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// repeated is a stream of one text without end, up to limit bytes. It counts the bytes that are read.
type repeated struct {
	text            string
	at, read, limit int
}

func (r *repeated) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(p) {
		k := copy(p[n:], r.text[r.at:])
		n, r.at = n+k, (r.at+k)%len(r.text)
	}
	r.read += n
	return n, nil
}

// Guards against an engine whose stream never ends, all of whose text the agent keeps.
func TestStreamWithoutEndIsBounded(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"events", `data: {"choices":[{"text":"word "}]}` + "\n\n"},
		{"long events", `data: {"choices":[{"text":"` + strings.Repeat("x", 1000) + `"}]}` + "\n\n"},
		{"an event of many choices", `data: {"choices":[` + strings.Repeat(`{"text":"x"},`, 50) + `{"text":"x"}]}` + "\n\n"},
		{"comments", ": x\n"},
		{"blank lines", "\n"},
		{"events without a text", "data: {}\n\n"},
		{"a line", "x"},
		{"JSON without end", `data: {"choices":[` + strings.Repeat("[", 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			kept := 0
			r := &repeated{text: c.text, limit: 2 * maxStreamBytes}
			result, err := readStream(r, func(p magno.Piece) { kept += len(p.Text) })
			if err == nil {
				t.Errorf("a stream without end was taken for whole: %d bytes", len(result.Text))
			}
			if limit := maxStreamBytes + maxEventBytes; r.read > limit {
				t.Errorf("%d bytes were read and %d kept, at most %d may be read", r.read, kept, limit)
			}
			if limit := maxTextBytes + maxEventBytes; kept > limit {
				t.Errorf("%d bytes of text were kept, at most %d may be", kept, limit)
			}
		})
	}
}

// Guards against a bound that the longest answer meets.
func TestLongestAnswerIsReadWhole(t *testing.T) {
	const tokens = 32768 // what callers may ask for
	event := `data: {"id":"cmpl-0123456789abcdef","object":"text_completion","created":1700000000,"model":"adapter@v1","choices":[{"index":0,"text":"abcdefgh"}]}` + "\n\n"
	result, err := readStream(strings.NewReader(strings.Repeat(event, tokens)+"data: [DONE]\n\n"), func(magno.Piece) {})
	if err != nil || result.Output != tokens {
		t.Errorf("read %d tokens, %v", result.Output, err)
	}
}
