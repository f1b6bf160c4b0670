package crash

import (
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkRefused is the cost of the decision before each send, beside a full set of records: for a sound
// request without any end, and for one with the part that ends upstreams.
func BenchmarkRefused(b *testing.B) {
	for _, c := range []struct {
		name  string
		parts []uint64
	}{{"sound", []uint64{first, rare}}, {"with the part", []uint64{first, fatal}}} {
		b.Run(c.name, func(b *testing.B) {
			s, _ := newPool()
			for n := range MaxRecords {
				s.RecordEnd(RequestPrint(uint64(n+1)<<8), magno.UpstreamEnd{Upstream: uint64(n), Pool: pool})
			}
			for n := range 5 {
				endAll(s, uint64(10+n), request(n, first, fatal)...)
			}
			s.Clear(first)
			prints := request(900, c.parts...)
			b.ReportAllocs()
			for b.Loop() {
				s.Refused(prints...)
			}
		})
	}
}
