package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

var customer = magno.Customer{Name: "alpha", Limit: &magno.Limit{Rate: 1000, Burst: 1000, Tokens: true}}

// node is the lease manager of one entry, with its own port.
type node struct {
	*Manager
	stop func()
}

// startNode starts an entry. The test sets its homes.
func startNode(t *testing.T, clock *magno.Clock) *node {
	t.Helper()
	mesh := &wire.Mesh{Listen: "127.0.0.1:0"}
	if err := mesh.Open(); err != nil {
		t.Fatal(err)
	}
	l := &Manager{
		Self: mesh.Addr(), Mesh: mesh, Count: func() (int, int) { return 3, 3 }, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Limit: func(name string) *magno.Limit {
			if name != customer.Name {
				return nil
			}
			return customer.Limit
		},
	}
	l.Open()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- mesh.Run(ctx) }()
	var stopped atomic.Bool
	n := &node{Manager: l, stop: func() {
		if stopped.Swap(true) {
			return
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}}
	t.Cleanup(n.stop)
	return n
}

// setHomes sets the customer's homes on the nodes.
func setHomes(homes []string, nodes ...*node) {
	for _, n := range nodes {
		n.Homes = func(string) []string { return homes }
	}
}

// takeMany takes the cost of a number of requests and returns how many were admitted.
func takeMany(n *node, requests int, cost float64) (runs int) {
	for range requests {
		if n.Take(context.Background(), &customer, cost) == nil {
			runs++
		}
	}
	return runs
}

// initialGrant is the number of requests of 50 tokens that a new home grants immediately: one
// fiftieth of a window's total.
const initialGrant = 3

func TestAllEntriesShareOneAllowance(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	a, b, c := startNode(t, clock), startNode(t, clock), startNode(t, clock)
	setHomes([]string{a.Self, b.Self}, a, b, c)
	runs := 0
	for range 20 {
		runs += takeMany(a, 1, 50) + takeMany(b, 1, 50) + takeMany(c, 1, 50)
	}
	if runs != initialGrant {
		t.Errorf("%d requests admitted, want %d", runs, initialGrant)
	}
	if r := c.Take(context.Background(), &customer, 50); r == nil || r.Kind != magno.KindQuota || r.After <= 0 {
		t.Errorf("over the limit: %v", r)
	}
}

// Guards against refusing a customer while its first home is down.
func TestNextHomeAnswersWhereTheFirstIsDown(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	a, b, c := startNode(t, clock), startNode(t, clock), startNode(t, clock)
	setHomes([]string{a.Self, b.Self}, b, c)
	a.stop()
	if runs := takeMany(c, 1, 50); runs != 1 {
		t.Error("refused while the second home is up")
	}
	if b.Take(context.Background(), &customer, 50) != nil {
		t.Error("the second home refuses its own request")
	}
}

// Guards against each request waiting, one after the other, for a home that doesn't answer.
func TestSilentHomeIsAskedOnce(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b, c := startNode(t, clock), startNode(t, clock)
	var calls atomic.Int32
	b.Mesh.Handle(MethodLease, func(ctx context.Context, _ *wire.Peer, _ json.RawMessage) (any, error) {
		calls.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	setHomes([]string{b.Self}, c)
	clock.Advance(magno.Second)
	if runs := takeMany(c, 30, 10); runs == 0 || runs == 30 {
		t.Errorf("%d of 30 requests admitted from the entry's own share, want some but not all", runs)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("the silent home was called %d times, want 1", n)
	}
}

// Guards against requests that are refused or wait forever because a home doesn't have their
// customer in its configuration yet.
func TestHomeWithoutTheCustomerIsNotUsed(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b, c := startNode(t, clock), startNode(t, clock)
	setHomes([]string{b.Self}, c)
	clock.Advance(magno.Second)
	other := customer
	other.Name = "beta"
	if r := c.Take(context.Background(), &other, 10); r != nil {
		t.Errorf("refused: %v", r)
	}
}

func TestReturnedTokensAreAvailableAgain(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	a := startNode(t, clock)
	setHomes([]string{a.Self}, a)
	if takeMany(a, initialGrant+1, 50) != initialGrant {
		t.Fatal("the first grant of a new home isn't 3 requests")
	}
	a.Give(&customer, 50)
	if takeMany(a, 1, 50) != 1 {
		t.Error("returned tokens can't be taken again")
	}
}
