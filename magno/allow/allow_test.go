package allow

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

// A pool fails everything and each process would send each request again. Four
// processes with uneven traffic together stay within the bound in every
// window.
func TestAllStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes, span = 4, 10 * magno.Second
		clock := magno.NewClock(magno.Hour)
		var windows [processes]*Budget
		for i := range windows {
			windows[i] = &Budget{Clock: clock, Ratio: 0.2, Slack: 52, WindowLength: span}
		}
		type event struct {
			at    magno.Millis
			again bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			clock.Advance(magno.Millis(rapid.IntRange(0, 200).Draw(t, "pause")))
			w := windows[rapid.IntRange(0, processes-1).Draw(t, "process")]
			w.RecordRequest()
			events = append(events, event{clock.Now(), false})
			if w.TakeRetry(processes) {
				events = append(events, event{clock.Now(), true})
			}
		}
		for i := range events {
			end, taken, again := events[i].at, 0, 0
			for _, e := range events[:i+1] {
				if e.at > end-span {
					if e.again {
						again++
					} else {
						taken++
					}
				}
			}
			if float64(again) > 0.2*float64(taken)+52 {
				t.Fatalf("%d sends again for %d requests", again, taken)
			}
		}
	})
}

// A burst of failures is followed by calm: the allowance comes back.
func TestComesBackAfterTheWindow(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	w := &Budget{Clock: clock, Ratio: 0.2, Slack: 10, WindowLength: 10 * magno.Second}
	given := 0
	for given <= 100 && w.TakeRetry(1) {
		given++
	}
	if float64(given) > w.Slack {
		t.Fatalf("%d sends again were given, of %.0f at most", given, w.Slack)
	}
	clock.Advance(11 * magno.Second)
	if !w.TakeRetry(1) {
		t.Error("nothing is allowed though the window has passed")
	}
}

// Guards against processes that are all killed, start anew and take their part of the
// slack again, each a larger one while it knows few of the others.
func TestAllProcessesThatStartAnewStayWithinTheBound(t *testing.T) {
	const entries, met = 29, 16
	const ratio, slack, span = 0.2, 98.0, 10 * magno.Second
	clock := magno.NewClock(magno.Hour)
	var all []*Budget
	fresh := func() {
		all = nil
		for range entries {
			all = append(all, &Budget{Clock: clock, Ratio: ratio, Slack: slack, WindowLength: span, StartedAt: clock.Now()})
		}
	}
	fresh()
	clock.Advance(span)
	began, start := clock.Now(), magno.Millis(0)
	var taken, again slide.Sum
	taken.Window, again.Window = span, span
	for clock.Now()-began < 3*span {
		clock.Advance(10)
		now := clock.Now()
		if start == 0 && now-began >= 2*span-magno.Second {
			start = now
			fresh()
		}
		processes := entries
		if now-start < magno.Second {
			processes = met
		}
		for range 2 { // 200 requests a second
			w := all[int(taken.Now(now))%entries]
			w.RecordRequest()
			taken.Add(1, now)
			for range 3 {
				if w.TakeRetry(processes) {
					again.Add(1, now)
				}
			}
		}
		if most := ratio*taken.Now(now) + slack; again.Now(now) > most {
			t.Fatalf("%v of %v further sends, %d ms after the start", again.Now(now), most, now-start)
		}
	}
}
