package site

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// benchmarkUpstreams is the number of upstreams of the largest fleet.
const benchmarkUpstreams = 10_000

// newLargePools returns pools of one service with all upstreams.
func newLargePools(b *testing.B) *pools {
	b.Helper()
	p := newPools(b)
	changes := make([]magno.Change, 0, benchmarkUpstreams)
	for i := range benchmarkUpstreams {
		id := fmt.Sprint("u", i)
		changes = append(changes, magno.Change{Key: id, Revision: 2, Replica: engine(id, 1, false)})
	}
	p.book.ApplyRead(changes, 2, false)
	p.Router("s")
	return p
}

// BenchmarkListed measures what each request to an engine adds: the list hasn't changed.
func BenchmarkListed(b *testing.B) {
	p := newLargePools(b)
	for b.Loop() {
		p.Listed("s")
	}
}

// BenchmarkRestart measures the first request after one of the upstreams restarted.
func BenchmarkRestart(b *testing.B) {
	p := newLargePools(b)
	for n := magno.Millis(2); b.Loop(); n++ {
		b.StopTimer()
		p.restart("u7", n)
		b.StartTimer()
		p.Listed("s")
	}
}

// BenchmarkUnchanged measures an update of the routers that changes none of their targets.
func BenchmarkUnchanged(b *testing.B) {
	p := newLargePools(b)
	for b.Loop() {
		p.update()
	}
}
