package gate

import (
	"fmt"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// replaySeeds is the number of seeds with which each load is played.
const replaySeeds = 2

// Each load is played with gates that order and review their queues by estimates, and with gates
// that evaluate a request at its arrival only. gain is the least factor between the values of the
// answers. Guards against an order that costs more than it brings, against requests that
// circulate among engines, and against more requests per caller than the bounds allow.
func TestReplayedLoadsWithAndWithoutReview(t *testing.T) {
	for _, c := range []struct {
		load string
		gain float64
	}{
		{"urgent bursts", 1.02}, {"urgent bursts at one", 1.01}, {"uneven engines", 1.05}, {"mixed lengths", 1.2}, {"few very long", 1.2},
		{"engine turns slow", 1.04}, {"all full", 1.15},
	} {
		t.Run(c.load, func(t *testing.T) {
			var without, with float64
			for seed := range uint64(replaySeeds) {
				once, review := newReplay(replayLoads[c.load], true, seed).run(), newReplay(replayLoads[c.load], false, seed).run()
				t.Logf("without: %v", once)
				t.Logf("with:    %v", review)
				without, with = without+once.value, with+review.value
				if review.maxAsks > maxHandBacks+replayRefused {
					t.Errorf("%d engines were asked for one request, want %d at most", review.maxAsks, maxHandBacks+replayRefused)
				}
				for i, all := range review.all {
					if sum := review.onTime[i] + review.late[i] + review.refused[i]; sum != all {
						t.Errorf("%d of %d requests of kind %d have an outcome", sum, all, i)
					}
				}
			}
			if with < c.gain*without {
				t.Errorf("the value is %.0f with review and %.0f without, want %.2f times as much", with, without, c.gain)
			}
		})
	}
}

// A prompt that takes longer to prefill than it has time left is queued first by time. Guards
// against it starting, late all the same, before one that would be on time.
func TestRequestThatCannotBeOnTimeYields(t *testing.T) {
	h := newHarness(t, 8)
	h.held["a"] = 1
	h.report()
	h.offer(h.request("ahead", "a", 8000)) // fills the first window
	h.step(nil)
	long := h.request("long", "a", 9000)
	long.StartTarget = 200
	short := h.request("short", "a", 400)
	short.StartTarget = 900
	h.offer(long)
	h.offer(short)
	for range 200 {
		h.step(nil)
		if h.granted["long"] || h.granted["short"] {
			break
		}
		h.clock.Advance(10)
	}
	if !h.granted["short"] || h.granted["long"] {
		t.Errorf("granted %v, want the short prompt first", h.granted)
	}
}

// overtaken queues a request, followed by a burst of more urgent ones, and returns the decisions.
func overtaken(t *testing.T, change func(*Request)) Decisions {
	h := newHarness(t, 8)
	h.held["a"] = 1
	h.report()
	h.offer(h.request("ahead", "a", 8000))
	h.step(nil)
	a := h.request("x", "a", 800)
	a.Rank, a.DeclineAbove, a.RoundTrip, a.StartTarget = 1, 100, 10, 700
	change(&a)
	h.offer(a)
	for i := range 10 {
		b := h.request(fmt.Sprint(i), "a", 2400)
		b.StartTarget = 2000
		h.offer(b)
	}
	return h.gate.Decide()
}

// A queued request is overtaken by urgent ones. Guards against it waiting until it is late
// although another engine is idle, and against it being handed back where that gains nothing.
func TestOvertakenRequestIsHandedBack(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Request)
		want   bool
	}{
		"another is better":       {func(*Request) {}, true},
		"no other is known":       {func(a *Request) { a.DeclineAbove = 0 }, false},
		"late there as well":      {func(a *Request) { a.DeclineAbove = 690 }, false},
		"the way takes too long":  {func(a *Request) { a.RoundTrip = 320 }, false},
		"was late at its arrival": {func(a *Request) { a.StartTarget = 20 }, false},
	} {
		d := overtaken(t, c.change)
		if got := slices.ContainsFunc(d.Declines, func(x Decline) bool { return x.ID == "x" }); got != c.want {
			t.Errorf("%s: handed back %v, want %v", name, got, c.want)
		}
	}
}

// A queued request is overtaken by urgent ones for longer than it may wait. Guards against it
// waiting in vain until it gives up, where it would make the others late if it went first, and against
// a Retry-After at which the engine is still full.
func TestRequestThatCannotStartIsRefusedAtOnce(t *testing.T) {
	d := overtaken(t, func(a *Request) { a.DeclineAbove, a.MaxWait, a.Prompt = 0, 700, 60_000 })
	i := slices.IndexFunc(d.Rejections, func(x Rejection) bool { return x.ID == "x" })
	if i < 0 {
		t.Fatalf("got %+v, want the request refused that can't start within 700 ms", d)
	}
	if x := d.Rejections[i]; !x.Early || x.Refusal.Kind != magno.KindBusy || x.Refusal.After < 875 {
		t.Errorf("got %+v, want an early refusal with the expected wait, which is 875 ms at least", x)
	}
}

// Urgent requests overtake a request whose adapter is being loaded. Guards against it being
// handed back just before its adapter is ready here: another engine would load it as well.
func TestRequestIsKeptWhileItsAdapterIsLoaded(t *testing.T) {
	h := newHarness(t, 8)
	h.held["b"] = 1
	h.report()
	h.offer(h.request("ahead", "b", 8000))
	a := h.request("x", "a", 800)
	a.Rank, a.DeclineAbove, a.RoundTrip, a.StartTarget = 1, 100, 10, 900
	h.offer(a)
	h.step(nil) // commands the load
	for i := range 12 {
		b := h.request(fmt.Sprint(i), "b", 2400)
		b.StartTarget = 2500
		h.offer(b)
	}
	if d := h.gate.Decide(); len(d.Declines) > 0 {
		t.Errorf("handed back %+v while its adapter is loaded", d.Declines)
	}
	h.clock.Advance(260)
	h.report()
	if d := h.gate.Decide(); len(d.Declines) != 1 {
		t.Errorf("got %+v, want the request handed back that is late although its adapter is ready", d.Declines)
	}
}

// A burst fills the queue of one engine. Guards against a Retry-After that is too short, so that
// the caller returns in vain, and against one that is far too long.
func TestRetryAfterIsWhenARequestCanStart(t *testing.T) {
	load := replayLoad{speeds: []float64{32}, kinds: []replayKind{replayGuide}, span: 0, rate: func(int, magno.Millis) float64 { return 0 }}
	for _, share := range []float64{0.3, 1} {
		r := newReplay(load, false, 1)
		e := r.engines[0]
		r.report(e, r.clock.Now())
		for i := range 40 {
			req := &replayRequest{replayKind: replayGuide, id: fmt.Sprint(i), arrived: r.clock.Now(), deadline: r.clock.Now() + 12*magno.Second}
			req.target, req.wait = 4*magno.Second, 8*magno.Second
			r.result.all[0]++
			r.offer(e, 0, req, 0)
		}
		probe := Request{ID: "probe", Model: model, Prompt: 826, MaxOutput: 72, Rank: 1, StartTarget: 500, MaxWait: 300, TimeLeft: 12000, MaxGap: 300}
		probe.Rank = 2
		refusal := e.gate.Offer(probe)
		if refusal == nil || refusal.After < 500 {
			t.Fatalf("got %v, want a refusal and a wait for the 40 that are queued", refusal)
		}
		r.load.span = magno.Millis(share*float64(refusal.After)) - 15*magno.Second
		r.run()
		if refused := e.gate.Offer(probe) != nil; refused != (share < 1) {
			t.Errorf("refused %v after %.1f of the Retry-After of %d ms", refused, share, refusal.After)
		}
	}
}

// BenchmarkDecideWithFullQueue measures a decision with as many requests as may be queued.
func BenchmarkDecideWithFullQueue(b *testing.B) {
	for name, once := range map[string]bool{"review": false, "once": true} {
		b.Run(name, func(b *testing.B) {
			clock := magno.NewClock(magno.Hour)
			h := &harness{clock: clock, slots: 20, held: map[string]int64{}, loading: map[string]magno.Millis{}, gate: &Gate{Clock: clock, OrderByEstimate: true, evaluateOnce: once}}
			h.gate.SetSpec(h.spec())
			for i := range 20 {
				h.held[fmt.Sprint("a", i)] = 1
			}
			h.report()
			for i := range maxQueued {
				a := h.request(fmt.Sprint(i), fmt.Sprint("a", i%20), 800)
				a.MaxWait, a.TimeLeft, a.Rank, a.StartTarget = magno.Hour, magno.Hour, i%3, magno.Millis(500+7*(i%300))
				_ = h.gate.Offer(a)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.gate.Decide()
			}
		})
	}
}
