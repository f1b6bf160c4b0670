package keep

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// An engine slows down and recovers while its estimated rate varies by a tenth from report to
// report. Operators must see each change once. A line for each report would be thirty a second.
func TestChangesOfTheRateAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	k := &Controller{Log: slog.New(slog.NewTextHandler(&log, nil))}
	k.stats.open()
	for _, rate := range []float64{32, 33, 35, 31, 24, 16, 15, 16, 14, 30, 36, 33} {
		k.recordRate(rate)
	}
	var got []string
	for line := range strings.Lines(log.String()) {
		_, fields, _ := strings.Cut(line, `msg="engine rate" `)
		got = append(got, strings.TrimSpace(fields))
	}
	want := []string{"rate=32 before=0", "rate=16 before=32", "rate=30 before=16"}
	if strings.Join(got, ",") != strings.Join(want, ",") {
		t.Errorf("logged %q, want %q", got, want)
	}
}
