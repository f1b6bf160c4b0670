package delta

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// oneChange returns two configurations with n routes of which one differs.
func oneChange(n int) (base, next *magno.Plan) {
	base, next = &magno.Plan{Version: 1}, &magno.Plan{Version: 2}
	for i := range n {
		r := magno.Route{
			Name: fmt.Sprintf("route-%05d", i), Host: fmt.Sprintf("host%d.example", i%9), Prefix: fmt.Sprintf("/prefix%d/", i),
			Parts: []magno.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, Attempts: 2, Timeout: 3000, Aim: 800, Gap: 250, Rank: i % 3,
		}
		base.Routes = append(base.Routes, r)
		if i == n/2 {
			r.Timeout = 9000
		}
		next.Routes = append(next.Routes, r)
	}
	return base, next
}

// BenchmarkEncodeChange encodes a configuration in which one route changed.
func BenchmarkEncodeChange(b *testing.B) {
	for _, n := range []int{10, 300, 1300, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, next := oneChange(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Diff(base, 1, next).Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApplyChange decodes and applies what BenchmarkEncodeChange encodes.
func BenchmarkApplyChange(b *testing.B) {
	for _, n := range []int{10, 300, 1300, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, next := oneChange(n)
			data, err := Diff(base, 1, next).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				d, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := d.Apply(base, 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
