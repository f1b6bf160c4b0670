package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// endlessText is one text without end, after first. It counts the bytes that are read, and ends after limit.
type endlessText struct {
	first, rest     string
	at, read, limit int
}

func (e *endlessText) Read(p []byte) (int, error) {
	if e.read >= e.limit {
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, e.first)
	e.first = e.first[n:]
	for n < len(p) {
		k := copy(p[n:], e.rest[e.at:])
		n, e.at = n+k, (e.at+k)%len(e.rest)
	}
	e.read += n
	return n, nil
}

// Guards against an event without a line end, or without the blank line that ends it, all of which the entry keeps.
func TestEventWithoutEndIsBounded(t *testing.T) {
	for _, c := range []struct{ name, first, rest string }{
		{"a line", "data: ", "x"},
		{"lines", "", "data: x\n"},
		{"comments", "", ": x\n"},
		{"line ends of another kind", "data: x", "\r"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &endlessText{first: c.first, rest: c.rest, limit: 4 * maxEventSize}
			event, err := readEvent(bufio.NewReaderSize(e, streamBufferSize))
			if err == nil || errors.Is(err, io.EOF) {
				t.Errorf("got an event of %d bytes, %v", len(event), err)
			}
			if limit := maxEventSize + 2*streamBufferSize; e.read > limit {
				t.Errorf("%d bytes were read, at most %d may be", e.read, limit)
			}
		})
	}
}

// FuzzEvent reads events of any form: what is read as events and what is left is all that came, each event ends with a
// blank line, none exceeds its bound, and an id stays one header field.
func FuzzEvent(f *testing.F) {
	f.Add([]byte("data: "+strings.Repeat("x", streamBufferSize-len("data: "))+"\n\n"), 1)
	for _, seed := range []string{"id: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\n", "\n\n", "id:\n\ndata", ": x\n", "\r\n", "id: 9223372036854775808\n\n"} {
		f.Add([]byte(seed), 1)
		f.Add([]byte(seed), streamBufferSize)
	}
	f.Fuzz(func(t *testing.T, text []byte, times int) {
		text = bytes.Repeat(text, max(1, min(times, 100)))
		r := bufio.NewReaderSize(strings.NewReader(string(text)), streamBufferSize)
		var read []byte
		for {
			event, err := readEvent(r)
			read = append(read, event...)
			if len(event) > maxEventSize+streamBufferSize {
				t.Fatalf("an event of %d bytes", len(event))
			}
			if err != nil {
				break
			}
			if !bytes.HasSuffix(event, []byte("\n")) || len(event) == 0 {
				t.Fatalf("%q is no whole event", event)
			}
			if last := event[bytes.LastIndexByte(event[:len(event)-1], '\n')+1:]; len(bytes.TrimRight(last, "\r\n")) > 0 {
				t.Fatalf("%q ends without a blank line", event)
			}
			var field strings.Builder
			_ = http.Header{"Last-Event-Id": {eventID(event)}}.Write(&field)
			if line := strings.TrimSuffix(field.String(), "\r\n"); strings.ContainsAny(line, "\r\n") {
				t.Fatalf("the field %q of a resumed stream is more than a line", line)
			}
		}
		if len(text) <= maxEventSize && !bytes.Equal(read, text) {
			t.Errorf("%q was read as %q", text, read)
		}
	})
}
