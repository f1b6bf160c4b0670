// Package grant leases tokens of customers' rate limits to all processes, for the
// customers whose home is this process.
//
// Load pattern: a customer's requests reach the processes unevenly over a few
// connections, and a small customer's whole limit is two or three requests per second.
// Divided among the processes, each part would be less than one request. So one process,
// the customer's home, counts for all. The others lease what their callers need; for
// large customers one second in advance.
//
// When processes are partitioned, each side has homes of its own. A home then grants only
// a share of the limit: the processes that it sees, divided by all that it knows.
// Together the sides stay near the limit. A process that can't know how many others there are grants
// nothing: each of them would be a side of its own.
package grant

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
	"magnoliastall.example/magno/slide"
)

const (
	// fullLimitShare is the share of known processes that must be alive for a home to grant
	// the whole limit: a few processes are always down or starting.
	fullLimitShare = 0.75
	// initialBurstShare and initialWindowShare limit what a new home grants immediately, as
	// shares of the burst and of a window's total. The previous home may have granted the
	// rest.
	initialBurstShare  = 0.5
	initialWindowShare = 0.02
	// spareDivisor divides the tokens left beyond a need; other processes ask as well.
	spareDivisor  = 4
	maxRetryAfter = 10 * magno.Second
	// minShare is the smallest share of a limit that is granted. It is less only for a process that
	// doesn't know how many others there are; unknownRetryAfter is the time in which it may meet them.
	minShare          = 1e-4
	unknownRetryAfter = magno.Second
)

// Request is a process's request to a customer's home for tokens.
type Request struct {
	Customer string `json:"customer"`
	// Need is the cost of the waiting requests and Least that of the smallest of them; both
	// are zero if none is waiting. Want is Need plus what the process expects to need soon.
	Need  float64 `json:"need"`
	Least float64 `json:"least"`
	Want  float64 `json:"want"`
	// Returned is what the process was granted earlier and doesn't need.
	Returned float64 `json:"back,omitempty"`
}

// Reply is a home's reply to a Request.
type Reply struct {
	// Granted may be less than Need; it is either zero or at least Least.
	Granted float64 `json:"granted"`
	// RetryAfter is the time from now until the rest of Need is available; zero if all of
	// it was granted.
	RetryAfter magno.Millis `json:"after,omitempty"`
}

// SortHomes sorts addresses by their preference as home of a customer. The order is the
// same on all processes with the same addresses. Removing an address moves only its own
// customers.
func SortHomes(customer string, addrs []string) []string {
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(customer+a), xxhash.Sum64String(customer+b))
	})
	return addrs
}

// Granter grants tokens of the customers whose home is this process. It is not safe for
// concurrent use; exported fields are set before use.
//
// Within any Window a customer gets its rate and its burst once. Steady traffic is granted
// both combined, spread evenly; sudden traffic is granted the burst.
type Granter struct {
	Clock  *magno.Clock
	Window magno.Millis

	homes map[string]*home
}

// home is the allowance of one customer.
type home struct {
	limit  magno.Limit
	bucket bucket.Bucket
	// createdAt is when this process became the customer's home.
	createdAt magno.Millis
	// granted counts what was granted within Window, and maxGranted limits it.
	granted    slide.Sum
	maxGranted float64
	// nextRetryAt is the latest time at which a refused process was told to retry; the next
	// one is told a later time.
	nextRetryAt magno.Millis
}

// Grant answers a request. Limit is the customer's limit; alive and known are the numbers of
// processes that this one currently sees and has recently seen, itself included.
func (g *Granter) Grant(req Request, limit magno.Limit, alive, known int) Reply {
	now := g.Clock.Now()
	h := g.homeFor(req.Customer, limit, Share(alive, known), now)
	h.charge(-max(req.Returned, 0), now)
	if !Grants(alive, known) {
		return Reply{RetryAfter: unknownRetryAfter}
	}
	if free := h.available(now); free >= req.Need {
		granted := req.Need + min(max(req.Want-req.Need, 0), (free-req.Need)/spareDivisor)
		h.charge(granted, now)
		return Reply{Granted: granted}
	}
	var r Reply
	if h.canGrant(req.Least, now) {
		r.Granted = max(req.Least, h.available(now))
		h.charge(r.Granted, now)
	}
	r.RetryAfter = h.retryAfter(req.Need-r.Granted, now)
	return r
}

// homeFor returns the allowance of a customer, creating it or adapting it to the limit.
func (g *Granter) homeFor(customer string, limit magno.Limit, share float64, now magno.Millis) *home {
	if g.homes == nil {
		g.homes = map[string]*home{}
	}
	h := g.homes[customer]
	isNew := h == nil
	if isNew {
		h = &home{createdAt: now, granted: slide.Sum{Window: g.Window}}
		g.homes[customer] = h
	}
	if h.limit != limit {
		h.limit, h.nextRetryAt = limit, 0
	}
	windowSeconds := float64(g.Window) / float64(magno.Second)
	h.bucket.Level(now) // refill at the old rate before it changes
	h.bucket.Burst = limit.Burst * share
	rate := limit.Rate + limit.Burst/windowSeconds
	h.maxGranted = rate * windowSeconds * share
	if now-h.createdAt < g.Window {
		rate = limit.Rate // the previous home may have granted the burst
	}
	h.bucket.Rate = rate * share
	if isNew {
		initial := min(h.bucket.Burst*initialBurstShare, h.maxGranted*initialWindowShare)
		if !limit.Tokens {
			initial = max(initial, min(h.bucket.Burst, 1)) // less than one request is useless
		}
		h.bucket.SetLevel(initial, now)
	}
	return h
}

// available returns how much may be granted now.
func (h *home) available(now magno.Millis) float64 {
	return min(h.bucket.Level(now), h.maxGranted-h.granted.Total(now))
}

// canGrant reports whether a single request of the given cost may be granted. The cost may
// exceed the burst and the window's total.
func (h *home) canGrant(cost float64, now magno.Millis) bool {
	return h.bucket.Allows(cost, now) && h.granted.Total(now)+min(cost, h.maxGranted) <= h.maxGranted
}

// charge counts tokens granted, or returned if the cost is negative.
func (h *home) charge(cost float64, now magno.Millis) {
	if cost < 0 {
		h.bucket.Give(-cost)
	} else {
		h.bucket.Take(cost)
	}
	h.granted.Add(cost, now)
}

// retryAfter returns when a refused process should ask again. Each process gets a different
// time, at the pace at which tokens become available.
func (h *home) retryAfter(need float64, now magno.Millis) magno.Millis {
	at := now + max(h.bucket.Delay(need, now), h.granted.Delay(max(h.maxGranted-need, 0), now))
	at = max(at, h.nextRetryAt)
	if at-now > maxRetryAfter {
		return maxRetryAfter
	}
	if h.bucket.Rate > 0 {
		h.nextRetryAt = at + magno.Millis(math.Ceil(need/h.bucket.Rate*float64(magno.Second)))
	}
	return max(at-now, 1)
}

// Grants reports whether a home grants any share of a limit.
func Grants(alive, known int) bool { return Share(alive, known) >= minShare }

// Share returns the share of a limit that a home grants.
func Share(alive, known int) float64 {
	share := float64(alive) / float64(max(known, alive, 1))
	if share >= fullLimitShare {
		return 1
	}
	return share
}
