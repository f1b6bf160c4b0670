package delta

import "testing"

// Guards against a compressor of a megabyte for each change, which is most of what a change of a few routes costs.
func TestCompressorsAreReused(t *testing.T) {
	const maxBytes = 600 << 10 // half of a compressor: with the race detector, pools drop some
	base, next := oneChange(10)
	res := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if _, err := Diff(base, 1, next).Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
	if n := res.AllocedBytesPerOp(); n > maxBytes {
		t.Errorf("%d bytes are allocated for a change, want at most %d", n, maxBytes)
	}
}
