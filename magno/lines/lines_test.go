package lines

import (
	"bytes"
	"strings"
	"testing"
)

// If the reader of the log has stopped while requests keep failing, lines are dropped and
// counted, and no request waits.
func TestFullBufferDropsAndReports(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal("write failed")
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("no line dropped although the buffer was full")
	}
	w.Flush()
	if out.Len() > maxBufferedBytes+100 {
		t.Errorf("%d bytes buffered", out.Len())
	}
	if !strings.Contains(out.String(), "msg=dropped lines=") {
		t.Error("log lacks the number of dropped lines")
	}
}
