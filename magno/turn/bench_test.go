package turn

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkCoordinator measures a request and the grants that follow, with the given number of
// waiting agents. About one request in a thousand is granted.
func BenchmarkCoordinator(b *testing.B) {
	for _, agents := range []int{18, 10000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			clock := magno.NewClock(1_000_000)
			c := &Coordinator{Clock: clock, Rate: 6, MaxLoads: 2, LoadTime: 333}
			names := make([]string, agents)
			for i := range names {
				names[i] = fmt.Sprint(i)
				c.Submit(Request{Agent: names[i], DelayCost: float64(i)})
			}
			var held []Turn
			i := 0
			for b.Loop() {
				i++
				c.Submit(Request{Agent: names[i%agents], DelayCost: float64(i)})
				if i%6 == 0 {
					clock.Advance(1)
				}
				held = append(held, c.Grant()...)
				if i%1000 == 0 && len(held) > 0 {
					c.Release(held[0].ID)
					held = held[1:]
				}
			}
		})
	}
}
