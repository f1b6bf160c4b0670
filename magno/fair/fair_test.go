package fair

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
)

const epsilon = 1e-6

// server is an engine with a number of request slots that serves the request with the lowest tag.
type server struct {
	clock   *magno.Clock
	shares  *Shares
	slots   int
	queue   []Request
	running []Request
	// served is the tokens of each customer's started requests, and largest its largest request.
	served, largest map[string]float64
	// maxRunning is the most tokens that a customer had running.
	maxRunning map[string]float64
}

func newServer(slots int, weights map[string]float64) *server {
	clock := magno.NewClock(magno.Hour)
	return &server{
		clock: clock, shares: &Shares{Clock: clock, Weights: weights}, slots: slots,
		served: map[string]float64{}, largest: map[string]float64{}, maxRunning: map[string]float64{},
	}
}

func (s *server) weight(customer string) float64 {
	if w := s.shares.Weights[customer]; w > 0 {
		return w
	}
	return 1
}

func (s *server) offer(customer string, cost int) {
	s.queue = append(s.queue, Request{Customer: customer, Cost: cost, Ready: true})
	s.largest[customer] = max(s.largest[customer], float64(cost))
}

// next returns the index of the ready request with the lowest tag, -1 if there is none.
func (s *server) next() int {
	s.shares.Tag(s.queue)
	best := -1
	for i, q := range s.queue {
		if q.Ready && (best < 0 || q.Tag < s.queue[best].Tag) {
			best = i
		}
	}
	return best
}

// start starts the next request if a slot is free.
func (s *server) start() {
	if len(s.running) >= s.slots {
		return
	}
	i := s.next()
	if i < 0 {
		return
	}
	q := s.queue[i]
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	s.shares.Started(q.Rank, q.Customer, q.Cost)
	s.running = append(s.running, q)
	s.served[q.Customer] += float64(q.Cost)
	sum := 0.0
	for _, r := range s.running {
		if r.Customer == q.Customer {
			sum += float64(r.Cost)
		}
	}
	s.maxRunning[q.Customer] = max(s.maxRunning[q.Customer], sum)
}

// end ends the running request i.
func (s *server) end(i int) {
	q := s.running[i]
	s.running = append(s.running[:i], s.running[i+1:]...)
	s.shares.Ended(q.Rank, q.Customer, q.Cost)
}

func (s *server) waiting(customer string) bool {
	for _, q := range s.queue {
		if q.Customer == customer {
			return true
		}
	}
	return false
}

// backlog records what each customer had been served when one began to wait.
type backlog map[string]float64

// checkBounds fails if a customer that has waited since its backlog began is behind.
//   - Behind one other customer, in tokens by weight, by more than the largest request of both and
//     what was running.
//   - Behind its share of all that was served, by more than the largest request of each customer,
//     one more of its own, and what was running.
func (s *server) checkBounds(t *rapid.T, customer string, since backlog) {
	own, weight := s.served[customer]-since[customer], s.weight(customer)
	most := 0.0
	for name, running := range s.maxRunning {
		most = max(most, running/s.weight(name))
	}
	if s.slots == 1 {
		most = 0
	}
	extra := most
	if s.slots > 1 {
		extra += s.maxRunning[customer] / weight
	}
	total, weights, share := own, weight, s.largest[customer]+extra*weight
	for name := range s.served {
		got := s.served[name] - since[name]
		if name == customer || got == 0 {
			continue
		}
		ahead, bound := got/s.weight(name)-own/weight, s.largest[name]/s.weight(name)+s.largest[customer]/weight+extra
		if ahead > bound+epsilon {
			t.Fatalf("%s is ahead of %s by %.1f tokens by weight, the bound is %.1f", name, customer, ahead, bound)
		}
		total, weights, share = total+got, weights+s.weight(name), share+s.largest[name]
	}
	if behind := total*weight/weights - own; behind > share+epsilon {
		t.Fatalf("%s is %.1f tokens behind its share, the bound is %.1f", customer, behind, share)
	}
}

// Guards against bursts of one customer that delay the requests of the others without limit. Customers
// send bursts of any size, at any weight, and idle between them. A customer with requests waiting must
// not fall behind its share by more than the bound of checkBounds.
func TestWaitingCustomerStaysWithinBoundOfItsShare(t *testing.T) {
	for _, slots := range []int{1, 4} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkLoad(t, slots) })
		})
	}
}

func checkLoad(t *rapid.T, slots int) {
	names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "customers")]
	weights := map[string]float64{}
	for _, name := range names {
		weights[name] = rapid.SampledFrom([]float64{0.5, 1, 2, 5}).Draw(t, "weight")
	}
	s := newServer(slots, weights)
	since := map[string]backlog{}
	// recordWaiting records what each customer that begins to wait finds served.
	recordWaiting := func() {
		for _, name := range names {
			switch {
			case !s.waiting(name):
				delete(since, name)
			case since[name] == nil:
				since[name] = backlog{}
				for other, tokens := range s.served {
					since[name][other] = tokens
				}
			}
		}
	}
	finish := func() {
		if slots == 1 && len(s.running) > 0 {
			s.end(0) // with one slot a request has ended before the next one is chosen
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"burst": func(t *rapid.T) {
			name := rapid.SampledFrom(names).Draw(t, "customer")
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				s.offer(name, rapid.IntRange(1, 500).Draw(t, "tokens"))
			}
			s.shares.Tag(s.queue) // the gate decides after each arrival
			recordWaiting()
		},
		"serve": func(t *rapid.T) {
			for range rapid.IntRange(1, 12).Draw(t, "starts") {
				finish()
				s.start()
				recordWaiting()
			}
		},
		"end": func(t *rapid.T) {
			if len(s.running) > 0 {
				s.end(rapid.IntRange(0, len(s.running)-1).Draw(t, "ended"))
			}
		},
		"": func(t *rapid.T) {
			for name, began := range since {
				s.checkBounds(t, name, began)
			}
		},
	})
}

// serve runs a server until n requests have started, with requests that end in the order of their
// starts.
func (s *server) serve(n int) {
	for range n {
		for len(s.running) >= s.slots {
			s.end(0)
		}
		s.start()
		s.clock.Advance(10)
	}
}

// A customer holds all eight slots when another one sends its first requests. Most of the slots that
// become free must go to the second one at first, and equal turns follow once both hold about as
// much. With equal turns from the start the second one would hold two slots after four ends.
func TestRunningRequestsCountTowardsTheShare(t *testing.T) {
	s := newServer(8, nil)
	for range 40 {
		s.offer("first", 100)
	}
	s.serve(8)
	for range 10 {
		s.offer("second", 100)
	}
	s.serve(4)
	if s.served["second"] < 300 {
		t.Errorf("the second customer got %v tokens of the first 400, want 300 or more", s.served["second"])
	}
	s.serve(4)
	if s.served["second"] > 600 {
		t.Errorf("the second customer got %v of 800 tokens, while both hold about as much", s.served["second"])
	}
}

// Guards against a customer that overtakes the others by the time that it didn't use.
func TestIdleTimeIsNoCredit(t *testing.T) {
	s := newServer(1, nil)
	for range 200 {
		s.offer("busy", 100)
	}
	s.offer("idle", 100)
	s.serve(100)
	for range 50 {
		s.offer("idle", 100)
	}
	before := s.served["busy"]
	s.serve(20)
	if got := s.served["busy"] - before; got < 900 {
		t.Errorf("the busy customer got %v of 2000 tokens after the other one's return", got)
	}
}

// Guards against weights that are kept after a change of the configuration while requests wait. A
// customer that is removed from it has a weight of one from then on.
func TestWeightChangesWhileRequestsWait(t *testing.T) {
	s := newServer(1, map[string]float64{"a": 4, "b": 1})
	for range 300 {
		s.offer("a", 100)
		s.offer("b", 100)
	}
	s.serve(100)
	if got := s.served["a"]; got < 7800 || got > 8200 {
		t.Fatalf("a got %v of 10000 tokens with four times the weight of b", got)
	}
	before := s.served["a"]
	s.shares.Weights = map[string]float64{"b": 1}
	s.serve(100)
	if got := s.served["a"] - before; got < 4800 || got > 5200 {
		t.Errorf("a got %v of 10000 tokens after its weight was removed, want half", got)
	}
}

// Guards against requests of entries that send no customer, half of all during an upgrade, that are served
// as one more customer or displace those of named ones.
func TestRequestsWithoutCustomerShareHalf(t *testing.T) {
	s := newServer(1, nil)
	for range 200 {
		for _, name := range []string{"", "", "", "", "a", "b", "c", "d"} {
			s.offer(name, 100)
		}
	}
	s.serve(400)
	if got := s.served[""]; got < 18000 || got > 22000 {
		t.Errorf("requests without a customer got %v of 40000 tokens, want about half", got)
	}
}

// Guards against customers that are delayed after a reset for what they received before it.
func TestResetForgetsReceivedService(t *testing.T) {
	s := newServer(1, nil)
	s.offer("a", 100_000)
	s.serve(1)
	s.shares.Reset()
	s.running = nil
	queue := []Request{{Customer: "a", Cost: 10, Ready: true}, {Customer: "b", Cost: 10, Ready: true}}
	s.shares.Tag(queue)
	if queue[0].Tag != queue[1].Tag {
		t.Errorf("tags are %v and %v after a reset", queue[0].Tag, queue[1].Tag)
	}
}

// Guards against a customer that is preferred for ever since an end that is reported twice, or after a
// reset, makes its running tokens negative.
func TestSurplusEndIsIgnored(t *testing.T) {
	s := newServer(1, nil)
	s.shares.Ended(0, "a", 100)
	s.shares.Started(0, "a", 100)
	s.shares.Ended(0, "a", 100)
	s.shares.Ended(0, "a", 100)
	if f := s.shares.ranks[0].flows["a"]; f.running != 0 {
		t.Errorf("%d tokens count as running", f.running)
	}
}

// Guards against state that grows with all customers ever seen instead of those of the last minute.
func TestStateIsBoundedByRecentCustomers(t *testing.T) {
	s := newServer(4, nil)
	for i := range 5000 {
		s.offer(fmt.Sprint(i), 100+i%7)
		s.serve(1)
		s.clock.Advance(90)
	}
	if n := s.shares.Customers(); n > 605 {
		t.Errorf("state of %d customers is kept; 600 a minute had work", n)
	}
	for len(s.running) > 0 {
		s.end(0)
	}
	s.clock.Advance(2 * idleRetention)
	s.shares.Tag(nil)
	if n := s.shares.Customers(); n != 0 {
		t.Errorf("state of %d customers is kept after two idle minutes", n)
	}
}

// Guards against requests that are delayed for what their customer received at another rank.
func TestRanksAreSeparate(t *testing.T) {
	s := newServer(1, nil)
	s.shares.Started(0, "a", 1000)
	queue := []Request{{Customer: "a", Rank: 1, Cost: 10, Ready: true}, {Customer: "b", Rank: 1, Cost: 10, Ready: true}}
	s.shares.Tag(queue)
	if queue[0].Tag != queue[1].Tag {
		t.Errorf("tags are %v and %v at a rank without service", queue[0].Tag, queue[1].Tag)
	}
}

// A queue of 512 requests of 40 customers, as large as a gate's may get.
func BenchmarkTag(b *testing.B) {
	s := newServer(64, nil)
	for i := range 512 {
		s.offer(fmt.Sprint("customer-", i%40), 800)
	}
	for b.Loop() {
		s.shares.Tag(s.queue)
	}
}
