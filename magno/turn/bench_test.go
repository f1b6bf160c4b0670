package turn

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkKeeper measures an ask and what follows of it, with that many
// agents waiting: a turn is given about every thousandth time.
func BenchmarkKeeper(b *testing.B) {
	for _, agents := range []int{18, 10000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			clock := magno.NewClock(1_000_000)
			k := &Coordinator{Clock: clock, Rate: 6, MaxLoads: 2, LoadTime: 333}
			names := make([]string, agents)
			for i := range names {
				names[i] = fmt.Sprint(i)
				k.Submit(Request{Agent: names[i], DelayCost: float64(i)})
			}
			var held []Turn
			i := 0
			for b.Loop() {
				i++
				k.Submit(Request{Agent: names[i%agents], DelayCost: float64(i)})
				if i%6 == 0 {
					clock.Advance(1)
				}
				held = append(held, k.Grant()...)
				if i%1000 == 0 && len(held) > 0 {
					k.Release(held[0].ID)
					held = held[1:]
				}
			}
		})
	}
}
