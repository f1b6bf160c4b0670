package lines

import (
	"bytes"
	"strings"
	"testing"
)

// Whoever reads the log has stopped, and requests go on failing. Lines are
// dropped and counted, and no request waits.
func TestFullRingDropsAndSaysSo(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatal("a write failed")
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("nothing was dropped though more came than there is room for")
	}
	w.Flush()
	if out.Len() > room+100 {
		t.Errorf("%d bytes were kept", out.Len())
	}
	if !strings.Contains(out.String(), "msg=dropped lines=") {
		t.Error("the log doesn't say that lines are missing")
	}
}
