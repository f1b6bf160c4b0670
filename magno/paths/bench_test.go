package paths

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkNew builds the table of a configuration.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{10, 300, 1300, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := &magno.Plan{Version: 1}
			for i := range n {
				p.Routes = append(p.Routes, magno.Route{Name: fmt.Sprint(i), Host: fmt.Sprintf("host%d.example", i%9), Prefix: fmt.Sprintf("/prefix%d/", i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				New(p)
			}
		})
	}
}
