// Package grant leases tokens of the customers' limits to all processes, for the
// customers that this process is the home of.
//
// Load pattern: a customer's requests reach all processes over a few connections, so
// unevenly, and a small customer's whole limit is two or three requests a second.
// Divided among the processes, each part is less than a request. So one process counts
// for all. The others lease what their callers need, for large customers a second ahead.
//
// When processes are partitioned, each side has homes of its own. A home then grants the
// share of the limit that the processes it sees are of all it knows, so that the sides
// together stay near the limit.
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
	// wholeFrom is the share of the known processes from which on a home grants the
	// whole limit: a few processes are always down or starting.
	wholeFrom = 0.75
	// startPart and startWindow bound what a new home grants at once, as shares of the
	// burst and of a window's total: the previous home may have granted the rest.
	startPart   = 0.5
	startWindow = 0.02
	// shareOut divides what is free beyond a need, since other processes ask as well.
	shareOut = 4
	// mostAfter bounds the time to come back.
	mostAfter = 10 * magno.Second
)

// Request is what a process asks its customer's home for.
type Request struct {
	Customer string `json:"customer"`
	// Need is what its waiting requests cost, Least the smallest of them; both are zero
	// when none waits. Want is Need and what it expects to need soon.
	Need  float64 `json:"need"`
	Least float64 `json:"least"`
	Want  float64 `json:"want"`
	// Returned is what it was granted and doesn't need.
	Returned float64 `json:"back,omitempty"`
}

// Reply is what a home grants.
type Reply struct {
	// Granted may be less than Need; it is zero or at least Least.
	Granted float64 `json:"granted"`
	// RetryAfter is when the rest of Need will be there, from now; zero when it was granted.
	RetryAfter magno.Millis `json:"after,omitempty"`
}

// SortHomes puts addresses into the order in which they are a customer's homes, the same
// wherever the addresses are the same. Where one goes, only its own customers move.
func SortHomes(customer string, addrs []string) []string {
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(customer+a), xxhash.Sum64String(customer+b))
	})
	return addrs
}

// Granter is what one process grants. One goroutine uses it; exported fields are set
// before.
//
// In any Window a customer has its rate and its burst once. What comes at a steady pace
// so has both together, evenly; what comes at once has the burst.
type Granter struct {
	Clock  *magno.Clock
	Window magno.Millis

	homes map[string]*home
}

type home struct {
	limit  magno.Limit
	bucket bucket.Bucket
	// made is when this process became the customer's home.
	made magno.Millis
	// granted is what was granted within Window, most what may be.
	granted slide.Sum
	most    float64
	// promised is the time up to which those that were turned away were told to come
	// back: the next is told a later one.
	promised magno.Millis
}

// Grant answers an ask. Limit is the customer's, alive and known count the processes
// that this one sees and has seen of late, itself included.
func (g *Granter) Grant(a Request, limit magno.Limit, alive, known int) Reply {
	now := g.Clock.Now()
	h := g.home(a.Customer, limit, part(alive, known), now)
	h.grant(-max(a.Returned, 0), now)
	if free := h.free(now); free >= a.Need {
		granted := a.Need + min(max(a.Want-a.Need, 0), (free-a.Need)/shareOut)
		h.grant(granted, now)
		return Reply{Granted: granted}
	}
	var r Reply
	if h.has(a.Least, now) {
		r.Granted = max(a.Least, h.free(now))
		h.grant(r.Granted, now)
	}
	r.RetryAfter = h.later(a.Need-r.Granted, now)
	return r
}

// home returns a customer's allowance, made or changed as the limit says.
func (g *Granter) home(customer string, limit magno.Limit, share float64, now magno.Millis) *home {
	if g.homes == nil {
		g.homes = map[string]*home{}
	}
	h := g.homes[customer]
	fresh := h == nil
	if fresh {
		h = &home{made: now, granted: slide.Sum{Window: g.Window}}
		g.homes[customer] = h
	}
	if h.limit != limit {
		h.limit, h.promised = limit, 0
	}
	seconds := float64(g.Window) / float64(magno.Second)
	h.bucket.Level(now) // by the rate until now
	h.bucket.Burst = limit.Burst * share
	pace := limit.Rate + limit.Burst/seconds
	h.most = pace * seconds * share
	if now-h.made < g.Window {
		pace = limit.Rate // the previous home may have granted the burst
	}
	h.bucket.Rate = pace * share
	if fresh {
		at := min(h.bucket.Burst*startPart, h.most*startWindow)
		if !limit.Tokens {
			at = max(at, min(h.bucket.Burst, 1)) // less than a request is of no use
		}
		h.bucket.Fill(at, now)
	}
	return h
}

// free is what may be granted now.
func (h *home) free(now magno.Millis) float64 {
	return min(h.bucket.Level(now), h.most-h.granted.Now(now))
}

// has tells whether one request of that cost may be granted, which may be larger than
// all that there ever is.
func (h *home) has(cost float64, now magno.Millis) bool {
	return h.bucket.Has(cost, now) && h.granted.Now(now)+min(cost, h.most) <= h.most
}

// grant counts a grant, or with a negative cost what was given back.
func (h *home) grant(cost float64, now magno.Millis) {
	if cost < 0 {
		h.bucket.Give(-cost)
	} else {
		h.bucket.Take(cost)
	}
	h.granted.Add(cost, now)
}

// later is when a process that is turned away should ask again. Each is told a time of
// its own, as the tokens come.
func (h *home) later(need float64, now magno.Millis) magno.Millis {
	at := now + max(h.bucket.When(need, now), h.granted.When(max(h.most-need, 0), now))
	at = max(at, h.promised)
	if at-now > mostAfter {
		return mostAfter
	}
	if h.bucket.Rate > 0 {
		h.promised = at + magno.Millis(math.Ceil(need/h.bucket.Rate*float64(magno.Second)))
	}
	return max(at-now, 1)
}

// part is the part of an allowance that a home grants.
func part(alive, known int) float64 {
	share := float64(alive) / float64(max(known, alive, 1))
	if share >= wholeFrom {
		return 1
	}
	return share
}
