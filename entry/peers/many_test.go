package peers

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// Many upstreams that end within a second.
const (
	manyEntries = 300
	manyEnds    = 100
	// ranPerEnd are the requests that ran at each of them, at as many entries.
	ranPerEnd = 16
	// maxManyMessages bounds what an entry sends about them: each round of forwarding has spreadFanout messages,
	// and there are rounds until all is known, a few after the last end.
	maxManyMessages = spreadFanout * int(3*magno.Second/spreadInterval)
)

// Guards against messages about ended upstreams that cost more than a process may spend, and against such messages
// after nothing more happens: many upstreams end within a second, under requests that share a part, some of which
// complete.
func TestManyEndsWithinASecond(t *testing.T) {
	f := newHelloFleet(t, manyEntries)
	f.run(t, 2*magno.Second, func() bool { return false })
	clear(f.bytes)
	clear(f.messages)
	shared := crash.PartPrint("shared")
	for e := range uint64(manyEnds) {
		for i := range uint64(ranPerEnd) {
			s := f.peers[int(e*31+i*17)%manyEntries].Suspects
			request := crash.RequestPrint(xxhash.Sum64String(fmt.Sprint(e, i)))
			endUnder(s, request, e+1)
			endUnder(s, shared, e+1)
			if i%4 == 0 {
				s.Clear(request, shared)
			}
		}
		f.run(t, magno.Second/manyEnds, func() bool { return false })
	}
	const window = 10 * magno.Second
	f.run(t, window-magno.Second, func() bool { return false })
	most, sum, mostMessages, messages := 0, 0, 0, 0
	for _, p := range f.peers {
		most, sum = max(most, f.bytes[p]), sum+f.bytes[p]
		mostMessages, messages = max(mostMessages, f.messages[p]), messages+f.messages[p]
	}
	seconds := int(window / magno.Second)
	t.Logf("in %d s: bytes a second %d on average, %d at the busiest; messages of an entry %d on average, %d at the busiest",
		seconds, sum/manyEntries/seconds, most/seconds, messages/manyEntries, mostMessages)
	if most/seconds > maxSuspectRate {
		t.Errorf("%d bytes a second at the busiest entry, want %d at most", most/seconds, maxSuspectRate)
	}
	if mostMessages > maxManyMessages {
		t.Errorf("%d messages of an entry, want %d at most", mostMessages, maxManyMessages)
	}
	clear(f.messages)
	f.run(t, 5*magno.Second, func() bool { return false })
	if len(f.messages) > 0 {
		t.Errorf("%d entries still forward what all know", len(f.messages))
	}
}
