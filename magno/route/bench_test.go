package route

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkRoute measures one decision with reports present and work under way.
func BenchmarkRoute(b *testing.B) {
	for _, targets := range []int{18, 10000} {
		for _, adapters := range []int{3000, 130000} {
			b.Run(fmt.Sprintf("targets=%d/adapters=%d", targets, adapters), func(b *testing.B) {
				r, refs := loadedRoute(targets, adapters)
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i = (i + 7919) % adapters
					name := r.Route(magno.Query{Ref: refs[i], Work: 1000})[0]
					r.Sent(name, 1000)
					r.Ended(name, 1000, 2000, true)
				}
			})
		}
	}
}

// BenchmarkHomesHeld measures Homes for an adapter that some targets hold.
func BenchmarkHomesHeld(b *testing.B) {
	for _, targets := range []int{18, 10000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, refs := loadedRoute(targets, 3000)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 7919) % len(refs)
				r.Homes(magno.Query{Ref: refs[i]}, "01890a5d-ac96-774b-bcce-b302099a8057", 3)
			}
		})
	}
}

// BenchmarkReport measures a report whose list of adapters changed by one.
func BenchmarkReport(b *testing.B) {
	for _, targets := range []int{18, 10000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, _ := loadedRoute(targets, 3000)
			lists := [2][]uint32{{1, 2, 3, 4, 5, 6, 7, 8}, {1, 2, 3, 4, 5, 6, 7, 9}}
			names := make([]string, targets)
			for i := range names {
				names[i] = fmt.Sprintf("u%d", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				r.Report(names[i%targets], magno.Backlog{Wait: 10, Warm: lists[i/targets%2]})
			}
		})
	}
}

// BenchmarkUpdate measures a change of the target list.
func BenchmarkUpdate(b *testing.B) {
	for _, targets := range []int{18, 10000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r, _ := loadedRoute(targets, 3000)
			list := fleet(targets)
			for b.Loop() {
				r.Update(list)
			}
		})
	}
}

func loadedRoute(targets, adapters int) (*Router, []magno.Ref) {
	r, _ := newRoute(targets)
	refs := make([]magno.Ref, adapters)
	for i := range refs {
		refs[i] = ref(i)
	}
	loaded := make([][]uint32, targets)
	for i := range 8 * targets {
		loaded[i%targets] = append(loaded[i%targets], refs[i%adapters].Hash())
	}
	for i, warm := range loaded {
		r.Report(fmt.Sprintf("u%d", i), magno.Backlog{Wait: magno.Millis(i % 50), Warm: sorted(warm)})
	}
	return r, refs
}
