package later

import (
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

func TestEventsComeInTheOrderOfTheirTimes(t *testing.T) {
	var q Queue
	var order []int
	for i, at := range []magno.Millis{30, 10, 20, 10} {
		q.Schedule(at, func() { order = append(order, i) })
	}
	for {
		next, ok := q.NextTime()
		if !ok {
			break
		}
		at, do := q.Pop()
		if at != next {
			t.Errorf("event at %d ms, NextTime returned %d ms", at, next)
		}
		do()
	}
	if want := []int{1, 3, 2, 0}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}
