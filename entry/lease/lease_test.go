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

// node is an entry's leases on a port of its own.
type node struct {
	*Manager
	stop func()
}

// start begins an entry. Homes are set by the test.
func start(t *testing.T, clock *magno.Clock) *node {
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

// homed has nodes take these for the customer's homes.
func homed(homes []string, nodes ...*node) {
	for _, n := range nodes {
		n.Homes = func(string) []string { return homes }
	}
}

// use takes so many requests and returns how many run.
func use(n *node, requests int, cost float64) (runs int) {
	for range requests {
		if n.Take(context.Background(), &customer, cost) == nil {
			runs++
		}
	}
	return runs
}

// newHome is how many requests of 50 tokens a home grants in its first moment: a fiftieth
// of what may run in a window.
const newHome = 3

func TestAllEntriesShareOneAllowance(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	a, b, c := start(t, clock), start(t, clock), start(t, clock)
	homed([]string{a.Self, b.Self}, a, b, c)
	runs := 0
	for range 20 {
		runs += use(a, 1, 50) + use(b, 1, 50) + use(c, 1, 50)
	}
	if runs != newHome {
		t.Errorf("%d requests run, want %d", runs, newHome)
	}
	if r := c.Take(context.Background(), &customer, 50); r == nil || r.Kind != magno.KindQuota || r.After <= 0 {
		t.Errorf("over the limit: %v", r)
	}
}

// Guards against a customer that is refused while its home is down.
func TestNextHomeAnswersWhereTheFirstIsDown(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	a, b, c := start(t, clock), start(t, clock), start(t, clock)
	homed([]string{a.Self, b.Self}, b, c)
	a.stop()
	if runs := use(c, 1, 50); runs != 1 {
		t.Error("refused")
	}
	if b.Take(context.Background(), &customer, 50) != nil {
		t.Error("the next home refuses its own request")
	}
}

// Guards against requests that wait for a home that doesn't answer, one after the other.
func TestSilentHomeIsAskedOnce(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b, c := start(t, clock), start(t, clock)
	var calls atomic.Int32
	b.Mesh.Handle(MethodLease, func(ctx context.Context, _ *wire.Peer, _ json.RawMessage) (any, error) {
		calls.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	homed([]string{b.Self}, c)
	if runs := use(c, 30, 10); runs == 0 || runs == 30 {
		t.Errorf("%d of 30 run by the entry's own part", runs)
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("asked %d times", n)
	}
}

// Guards against a request that is refused, or waits for good, because a home doesn't
// know its customer yet.
func TestHomeWithoutTheCustomerIsNoHome(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	b, c := start(t, clock), start(t, clock)
	homed([]string{b.Self}, c)
	other := customer
	other.Name = "beta"
	if r := c.Take(context.Background(), &other, 10); r != nil {
		t.Errorf("refused: %v", r)
	}
}

func TestGivenBackIsThereAgain(t *testing.T) {
	clock := magno.NewClock(magno.Hour)
	a := start(t, clock)
	homed([]string{a.Self}, a)
	if use(a, newHome+1, 50) != newHome {
		t.Fatal("not the tokens of a new home")
	}
	a.Give(&customer, 50)
	if use(a, 1, 50) != 1 {
		t.Error("what was given back is gone")
	}
}
