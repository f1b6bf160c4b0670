package gate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

func queueIDs(g *Gate) []string {
	var ids []string
	for _, w := range g.queue {
		ids = append(ids, w.ID)
	}
	return ids
}

// Without customers, and within one customer, the queue must be ordered by class, rank and time
// as it was before there were shares, whatever was served before.
func TestSharesKeepTheOrderWithinACustomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customers := rapid.SampledFrom([][]string{{""}, {"a"}, {"", "a", "b"}}).Draw(t, "customers")
		clock := magno.NewClock(magno.Hour)
		g := &Gate{Clock: clock}
		g.setup()
		g.SetSpec(Spec{Replica: "r@1", ID: "r"})
		g.inventory.models = map[string]bool{model: true}
		for range rapid.IntRange(0, 20).Draw(t, "served") {
			r := activeRequest{request: Request{Customer: rapid.SampledFrom(customers).Draw(t, "was"), Prompt: 500}, prefillTokens: 500}
			g.chargeShare(&r)
		}
		for i := range rapid.IntRange(0, 30).Draw(t, "queued") {
			g.queue = append(g.queue, &queuedRequest{
				Request: Request{
					ID: fmt.Sprint(i), Model: model, Customer: rapid.SampledFrom(customers).Draw(t, "customer"),
					Adapter: rapid.SampledFrom([]string{"", "missing"}).Draw(t, "adapter"),
					Prompt:  rapid.IntRange(1, 900).Draw(t, "prompt"), Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
				},
				startBy: clock.Now() + magno.Millis(rapid.IntRange(-300, 300).Draw(t, "start by")),
			})
		}
		f := g.forecast(clock.Now())
		g.sortQueue(&f, clock.Now())
		before := slices.Clone(g.queue)
		g.orderByShares()
		if len(customers) == 1 && !slices.Equal(before, g.queue) {
			t.Fatalf("the order is %v", queueIDs(g))
		}
		for i := 1; i < len(g.queue); i++ {
			a, b := g.queue[i-1], g.queue[i]
			if lateA, lateB := a.late && !a.promoted, b.late && !b.promoted; lateA != lateB {
				if lateA {
					t.Fatalf("%s is late and ahead of %s, which is not", a.ID, b.ID)
				}
				continue
			}
			if a.Rank > b.Rank {
				t.Fatalf("%s of rank %d is ahead of %s of rank %d", a.ID, a.Rank, b.ID, b.Rank)
			}
		}
		for _, customer := range customers {
			other := func(w *queuedRequest) bool { return w.Customer != customer }
			if !slices.Equal(slices.DeleteFunc(slices.Clone(before), other), slices.DeleteFunc(slices.Clone(g.queue), other)) {
				t.Fatalf("the requests of customer %q are not in their order: %v", customer, queueIDs(g))
			}
		}
	})
}

// burstOutcome is what the requests of a customer got, and how many of them overtook another
// customer's.
type burstOutcome struct{ onTime, late, refused, overtook int }

func (o burstOutcome) all() int { return o.onTime + o.late + o.refused }

// The engine of the replayed burst runs 32 requests for 1.3 s each, about 24 a second. Six
// customers send 3 requests a second each. From 10 s to 20 s, one of them sends ten times as much.
const (
	burstBatch    = 32
	burstRunTime  = 1300 * magno.Millis(1)
	burstRate     = 3
	burstFactor   = 10
	burstTick     = 10 * magno.Millis(1)
	burstEnd      = 30 * magno.Second
	burstCustomer = "c0"
)

// replayBurst replays the burst. name maps the customer of a request to the one that its entry
// sends.
func replayBurst(t *testing.T, name func(customer string, n int) string) map[string]*burstOutcome {
	h := newHarness(t, 8)
	spec := h.spec()
	spec.Engine.Batch = burstBatch
	h.gate.SetSpec(spec)
	r := rand.New(rand.NewPCG(7, 1)) //nolint:gosec // no secret
	outcomes, owner, offeredAt, ends := map[string]*burstOutcome{}, map[string]string{}, map[string]magno.Millis{}, map[string]magno.Millis{}
	started := h.clock.Now()
	n := 0
	for h.clock.Now() < started+burstEnd+5*magno.Second {
		now := h.clock.Now()
		since := now - started
		for i := range 6 {
			customer := fmt.Sprint("c", i)
			rate := float64(burstRate)
			if customer == burstCustomer && since >= 10*magno.Second && since < 20*magno.Second {
				rate *= burstFactor
			}
			if since >= burstEnd || r.Float64() >= rate*float64(burstTick)/1000 {
				continue
			}
			n++
			a := h.request(fmt.Sprint(n), "", 800)
			a.StartTarget, a.Customer, a.ExpectedOutput = 500, name(customer, n), 100
			if outcomes[customer] == nil {
				outcomes[customer] = &burstOutcome{}
			}
			owner[a.ID], offeredAt[a.ID] = customer, now
			if h.gate.Offer(a) != nil {
				outcomes[customer].refused++
			}
		}
		for _, id := range slices.Sorted(maps.Keys(ends)) {
			if now >= ends[id] {
				delete(ends, id)
				h.gate.Done(id, true)
			}
		}
		if since%30 == 0 {
			h.report()
		}
		d := h.gate.Decide()
		for _, grant := range d.Grants {
			ends[grant.ID] = now + burstRunTime
			if grant.Overtook {
				outcomes[owner[grant.ID]].overtook++
			}
			if now-offeredAt[grant.ID] <= 500 {
				outcomes[owner[grant.ID]].onTime++
			} else {
				outcomes[owner[grant.ID]].late++
			}
		}
		for _, rejection := range d.Rejections {
			outcomes[owner[rejection.ID]].refused++
		}
		h.clock.Advance(burstTick)
	}
	return outcomes
}

// othersOutcome sums the outcomes of all but the customer with the burst.
func othersOutcome(outcomes map[string]*burstOutcome) burstOutcome {
	var sum burstOutcome
	for customer, o := range outcomes {
		if customer != burstCustomer {
			sum.onTime, sum.late, sum.refused, sum.overtook = sum.onTime+o.onTime, sum.late+o.late, sum.refused+o.refused, sum.overtook+o.overtook
		}
	}
	return sum
}

// One customer sends ten times its usual rate beside five others. Its own requests must be the ones
// that are late and refused. Without customers in the requests, all are delayed alike. During an
// upgrade, entries of the older version send half of the requests without one, and the others
// must still be served better than without shares.
func TestBurstOfOneCustomerDelaysItself(t *testing.T) {
	without := replayBurst(t, func(string, int) string { return "" })
	with := replayBurst(t, func(customer string, _ int) string { return customer })
	mixed := replayBurst(t, func(customer string, n int) string {
		if n%2 == 0 {
			return ""
		}
		return customer
	})
	for name, o := range map[string]map[string]*burstOutcome{"without": without, "with": with, "half": mixed} {
		t.Logf("%s shares: burst %+v, five others %+v", name, *o[burstCustomer], othersOutcome(o))
	}
	was, is, half := othersOutcome(without), othersOutcome(with), othersOutcome(mixed)
	if share := float64(is.onTime) / float64(is.all()); share < 0.97 {
		t.Errorf("%.3f of the others' requests are on time, want 0.97", share)
	}
	if was.onTime > is.onTime*9/10 {
		t.Errorf("without shares %d of the others' requests are on time, with them %d: the load shows no difference", was.onTime, is.onTime)
	}
	if half.onTime <= was.onTime {
		t.Errorf("with half of the entries upgraded %d of the others' requests are on time, without shares %d", half.onTime, was.onTime)
	}
	if was.overtook != 0 || is.overtook == 0 {
		t.Errorf("%d requests of the others are counted as ahead by share, %d without shares", is.overtook, was.overtook)
	}
	served := func(o map[string]*burstOutcome) int {
		sum := othersOutcome(o)
		return sum.onTime + sum.late + o[burstCustomer].onTime + o[burstCustomer].late
	}
	if a, b := served(without), served(with); b < a*98/100 {
		t.Errorf("%d requests are served with shares, %d without: the order is not work-conserving", b, a)
	}
}

// A customer that is over its share has a long queue. A request of another customer must not be
// refused or declined for the wait behind that queue, which it overtakes.
func TestWaitBehindAnotherCustomersBurstIsNotCounted(t *testing.T) {
	h := newHarness(t, 8)
	spec := h.spec()
	spec.Engine.Batch = 4
	h.gate.SetSpec(spec)
	h.report()
	for i := range 40 {
		a := h.request(fmt.Sprint(i), "", 400)
		a.Customer, a.MaxWait = "a", 30*magno.Second
		h.offer(a)
	}
	h.run(60, nil)
	for _, tt := range []struct {
		customer string
		refused  bool
	}{{"a", true}, {"", false}, {"b", false}} {
		a := h.request("x"+tt.customer, "", 400)
		a.Customer, a.MaxWait, a.DeclineAbove = tt.customer, 3000, 3000
		if got := h.gate.Declines(&a); got != tt.refused {
			t.Errorf("customer %q: declined is %v", tt.customer, got)
		}
		if got := h.gate.Offer(a) != nil; got != tt.refused {
			t.Errorf("customer %q: refused is %v", tt.customer, got)
		}
	}
}

// The end of a request is lost with its entry. It must not count as running for its customer for
// longer than it holds its place, or the customer would be delayed for ever.
func TestLostEndStopsCountingAtTheDeadline(t *testing.T) {
	h := newHarness(t, 8)
	a := h.request("1", "", 400)
	a.Customer = "a"
	h.offer(a)
	h.run(60, nil)
	if !h.granted["1"] {
		t.Fatal("the request was not admitted")
	}
	h.clock.Advance(a.TimeLeft + grantExpirySlack)
	h.step(nil)
	h.clock.Advance(5 * magno.Minute)
	h.gate.shares.Tag(nil)
	if n := h.gate.shares.Customers(); n != 0 {
		t.Errorf("%d customers count as running after the request's deadline", n)
	}
}

// Customers' weights change, a customer is removed from the configuration and the engine restarts
// while requests wait and run. Each request still has exactly one outcome, and nothing counts as
// running after all have ended, or its customer would be delayed for ever.
func TestWeightsChangeWhileRequestsWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offerBurst, "run": m.run, "end": m.end, "give up": m.giveUp, "fault": m.fault,
			"weigh": func(t *rapid.T) {
				m.spec.Weights = map[string]float64{"a": rapid.Float64Range(0.1, 10).Draw(t, "weight")}
				if rapid.Bool().Draw(t, "removed") {
					m.spec.Weights = nil
				}
				m.setSpec()
			},
		})
		for id := range m.gate.active {
			m.gate.Done(id, true)
		}
		m.clock.Advance(5 * magno.Minute)
		m.gate.shares.Tag(nil)
		if n := m.gate.shares.Customers(); n != 0 {
			t.Fatalf("%d customers count as running after all requests have ended", n)
		}
	})
}

// Decisions at an engine whose queue is as long as it may get, of 40 customers, and without
// customers.
func BenchmarkDecideWithCustomers(b *testing.B) {
	for _, named := range []bool{false, true} {
		b.Run(fmt.Sprintf("customers=%v", named), func(b *testing.B) {
			clock := magno.NewClock(magno.Hour)
			h := &harness{clock: clock, slots: 30, held: map[string]int64{"a": 1}, loading: map[string]magno.Millis{}, gate: &Gate{Clock: clock}}
			spec := h.spec()
			spec.Engine.Batch = 1
			h.gate.SetSpec(spec)
			h.report()
			for i := range maxQueued {
				a := h.request(fmt.Sprint(i), "a", 800)
				a.MaxWait, a.TimeLeft = magno.Hour, magno.Hour
				if named {
					a.Customer = fmt.Sprint("customer-", i%40)
				}
				if r := h.gate.Offer(a); r != nil {
					b.Fatal(r)
				}
			}
			for b.Loop() {
				h.gate.Decide()
			}
		})
	}
}
