package allow

import (
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/slide"
)

// take reserves a retry and sends it at once.
func (b *Budget) take(part float64) bool { return b.Reserve(part) && b.Spend(part) }

// Guards against exceeding the limit when a pool fails all requests and every process
// retries them. Four processes with uneven traffic together must stay within it in
// every window.
func TestAllStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes, span = 4, 10 * magno.Second
		clock := magno.NewClock(magno.Hour)
		var budgets [processes]*Budget
		for i := range budgets {
			budgets[i] = &Budget{Clock: clock, Ratio: 0.2, Slack: 52, WindowLength: span}
		}
		type event struct {
			at    magno.Millis
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			clock.Advance(magno.Millis(rapid.IntRange(0, 200).Draw(t, "pause")))
			b := budgets[rapid.IntRange(0, processes-1).Draw(t, "process")]
			b.RecordRequest()
			events = append(events, event{clock.Now(), false})
			if b.take(1.0 / processes) {
				events = append(events, event{clock.Now(), true})
			}
		}
		for i := range events {
			end, requests, retries := events[i].at, 0, 0
			for _, e := range events[:i+1] {
				if e.at > end-span {
					if e.retry {
						retries++
					} else {
						requests++
					}
				}
			}
			if float64(retries) > 0.2*float64(requests)+52 {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

// Guards against a budget that stays used up after a burst of failures has ended.
func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Budget{Clock: clock, Ratio: 0.2, Slack: 10, WindowLength: 10 * magno.Second}
	retries := 0
	for retries <= 100 && b.take(1) {
		retries++
	}
	if float64(retries) > b.Slack {
		t.Fatalf("%d retries were allowed, of at most %.0f", retries, b.Slack)
	}
	clock.Advance(11 * magno.Second)
	if !b.take(1) {
		t.Error("no retry is allowed after the window has passed")
	}
}

// Guards against processes that are all killed and restarted, and then use their part of
// the slack a second time. Each one's part is also larger than it should be while it
// knows few of the others.
func TestAllProcessesThatStartAnewStayWithinTheBound(t *testing.T) {
	const entries, known = 29, 16
	const ratio, slack, span = 0.2, 98.0, 10 * magno.Second
	clock := magno.NewClock(magno.Hour)
	var all []*Budget
	restartAll := func() {
		all = nil
		for range entries {
			all = append(all, &Budget{Clock: clock, Ratio: ratio, Slack: slack, WindowLength: span, StartedAt: clock.Now()})
		}
	}
	restartAll()
	clock.Advance(span)
	began, restartedAt := clock.Now(), magno.Millis(0)
	var requests, retries slide.Sum
	requests.Window, retries.Window = span, span
	for clock.Now()-began < 3*span {
		clock.Advance(10)
		now := clock.Now()
		if restartedAt == 0 && now-began >= 2*span-magno.Second {
			restartedAt = now
			restartAll()
		}
		processes := entries
		if now-restartedAt < magno.Second {
			processes = known
		}
		for range 2 { // 200 requests per second
			b := all[int(requests.Total(now))%entries]
			b.RecordRequest()
			requests.Add(1, now)
			for range 3 {
				if b.take(1 / float64(processes)) {
					retries.Add(1, now)
				}
			}
		}
		if limit := ratio*requests.Total(now) + slack; retries.Total(now) > limit {
			t.Fatalf("%v retries, limit %v, %d ms after the restart", retries.Total(now), limit, now-restartedAt)
		}
	}
}

// Guards against retries of several windows that wait at an upstream which doesn't read, and arrive in one.
func TestRetriesCountWhileAnUpstreamIsSilent(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Budget{Clock: clock, Slack: 100, WindowLength: 10 * magno.Second}
	limit := int(steadyShare * b.Slack)
	sent := 0
	for range 2 {
		for b.Reserve(1) && b.SpendUnanswered(1, "u") {
			sent++
		}
		clock.Advance(b.WindowLength)
	}
	if sent != limit {
		t.Errorf("%d retries are sent while none is answered, want %d", sent, limit)
	}
	b.Answered("other")
	b.Answered("u")
	b.Answered("u")
	if b.Reserve(1) {
		t.Error("those that are read now don't count")
	}
	clock.Advance(b.WindowLength + b.WindowLength/32)
	if !b.Reserve(1) {
		t.Error("they count for longer than a window")
	}
}

// Guards against a budget that an upstream which never answers again uses up for good.
func TestRetriesOfALostUpstreamAreForgotten(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b := &Budget{Clock: clock, Slack: 100, WindowLength: 10 * magno.Second}
	for range 200 {
		b.Unanswered("u")
	}
	if b.Reserve(1) {
		t.Error("reserved beyond the limit")
	}
	clock.Advance(silenceTime + silenceTime/32)
	if !b.Reserve(1) {
		t.Error("nothing is allowed after the time of silence")
	}
}

// Guards against one upstream that hangs for long, is tried now and then, and uses the budget up for all others.
func TestUpstreamThatHangsTakesAPartOfTheBudget(t *testing.T) {
	const triedEach = 2 * magno.Second
	clock := magno.NewClock(magno.Hour)
	b := &Budget{Clock: clock, Slack: 100, WindowLength: 10 * magno.Second}
	clock.Advance(b.WindowLength)
	for range 10 * magno.Minute / triedEach {
		if !b.Reserve(1) || !b.SpendUnanswered(1, "u") {
			t.Fatal("the budget is used up")
		}
		clock.Advance(triedEach)
	}
	if used, _ := b.Usage(1); used > float64(silenceTime/triedEach)+1 {
		t.Errorf("%.0f retries count, want those of the last %d ms", used, silenceTime)
	}
}
