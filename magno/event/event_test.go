package event

import (
	"strconv"
	"testing"

	"magnoliastall.example/magno"
)

// A full ring drops the oldest events, and Since returns the remaining ones with the right
// sequence numbers.
func TestRingDropsOldest(t *testing.T) {
	r := &Ring{Process: "p", Clock: magno.NewClock(5), Size: 4}
	for i := range 10 {
		r.Add("kind", strconv.Itoa(i%2), "")
	}
	all := r.Since(0, "")
	if len(all) != 4 || all[0].Seq != 6 || all[3].Seq != 9 {
		t.Fatalf("got %+v", all)
	}
	if odd := r.Since(7, "1"); len(odd) != 2 || odd[0].Seq != 7 || odd[1].Seq != 9 {
		t.Fatalf("got %+v", odd)
	}
}
