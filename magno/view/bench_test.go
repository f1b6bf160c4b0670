package view

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// planWithRoutes returns a configuration with n routes.
func planWithRoutes(version int64, n int) *magno.Plan {
	p := &magno.Plan{Version: version, Body: 1 << 20, Header: 1 << 14}
	for i := range n {
		p.Routes = append(p.Routes, magno.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("ficu%d.example", i%9), Prefix: fmt.Sprintf("/lohu%d/", i*31),
			Kind: magno.RouteKind(i % 3), Parts: []magno.Part{{Service: "reader-pool", Weight: 1}}, Attempts: 2,
			Timeout: 12000, Aim: 800, Gap: 300, Rank: i % 4, Resume: i%2 == 0,
		})
	}
	return p
}

// BenchmarkConfig sends another process a configuration in which one route changed.
func BenchmarkConfig(b *testing.B) {
	for _, n := range []int{50, 1700, 130000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			next := planWithRoutes(2, n)
			next.Routes[n/2].Timeout = 9000
			clock := magno.NewClock(magno.Hour)
			var size int
			for b.Loop() {
				b.StopTimer()
				from, to := &Store{Clock: clock}, &Store{Clock: clock}
				for _, book := range []*Store{from, to} {
					book.ApplyRead([]magno.Change{{Key: "plan", Revision: 1, Plan: planWithRoutes(1, n)}}, 1, true)
				}
				b.StartTimer()
				update := from.ApplyRead([]magno.Change{{Key: "plan", Revision: 2, Plan: next}}, 2, false)
				data, err := json.Marshal(update)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				var got Update
				if err := json.Unmarshal(data, &got); err != nil {
					b.Fatal(err)
				}
				to.ApplyUpdate(got)
				if to.Current().Plan.Version != 2 {
					b.Fatal("the change was not applied")
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkCurrentDuringUpdate calls Current, as each request does, while a configuration
// with 1,700 new routes is applied, and reports the longest call.
func BenchmarkCurrentDuringUpdate(b *testing.B) {
	from := &Store{Clock: magno.NewClock(magno.Hour)}
	from.ApplyRead([]magno.Change{{Key: "plan", Revision: 1, Plan: planWithRoutes(1, 1700)}}, 1, true)
	update := from.Since(0)
	update.Changes[0].Plan = nil
	var longest time.Duration
	for b.Loop() {
		to := &Store{Clock: from.Clock}
		done := make(chan error)
		go func() { done <- to.ApplyUpdate(update) }()
		for to.Current().Plan == nil {
			began := time.Now()
			to.Current()
			longest = max(longest, time.Since(began))
		}
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
}
