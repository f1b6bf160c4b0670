// Package grant keeps the allowances of the customers that this process is home to, and
// grants parts of them to all processes.
//
// Load pattern: a customer's requests come to all processes, by a few connections and
// so unevenly; a small customer's whole allowance is two or three requests a second.
// Divided among the processes, each part is less than a request. So one process, its
// home, counts for all; each asks it for what its callers need, and large customers'
// parts are asked for some time ahead.
//
// Processes that are cut off from each other have homes of their own. Each then grants
// in proportion to the processes that it sees, of those that it knows, so that all
// together stay near the limit.
package grant

import (
	"math"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
)

const (
	// wholeFrom is the part of the known processes from which on a home grants
	// everything: some are always down or new.
	wholeFrom = 0.75
	// startPart is what a home that is new grants at once, of the burst: the one before
	// may have granted as much.
	startPart = 0.5
	// shareOut divides what is there beyond a need: others ask as well.
	shareOut = 4
	// mostAfter bounds the time to come back.
	mostAfter = 10 * magno.Second
)

// Ask is what a process asks its customer's home for.
type Ask struct {
	Customer string `json:"customer"`
	// Need is what its waiting requests cost, Least the smallest of them; both are zero
	// when none waits. Want is Need and what it expects to need soon.
	Need  float64 `json:"need"`
	Least float64 `json:"least"`
	Want  float64 `json:"want"`
	// Back is what it was granted and doesn't need.
	Back float64 `json:"back,omitempty"`
}

// Reply is what a home grants.
type Reply struct {
	// Granted may be less than Need; it is zero or at least Least.
	Granted float64 `json:"granted"`
	// After is when the rest of Need will be there, from now; zero when it was granted.
	After magno.Millis `json:"after,omitempty"`
}

// Grants is what one process grants. One goroutine uses it; Clock is set before.
type Grants struct {
	Clock *magno.Clock

	homes map[string]*home
}

type home struct {
	limit  magno.Limit
	bucket bucket.Bucket
	// promised is the time up to which those that were turned away were told to come
	// back: the next is told a later one.
	promised magno.Millis
}

// Grant answers an ask. Limit is the customer's, alive and known count the processes
// that this one sees and has seen of late, itself included.
func (g *Grants) Grant(a Ask, limit magno.Limit, alive, known int) Reply {
	now := g.Clock.Now()
	share := part(alive, known)
	h := g.home(a.Customer, limit, share, now)
	h.bucket.Level(now) // by the rate until now
	h.bucket.Rate, h.bucket.Burst = limit.Rate*share, limit.Burst*share
	h.bucket.Give(max(a.Back, 0))
	if h.bucket.Level(now) >= a.Need {
		spare := max(h.bucket.Level(now)-a.Need, 0)
		granted := a.Need + min(max(a.Want-a.Need, 0), spare/shareOut)
		h.bucket.Take(granted)
		return Reply{Granted: granted}
	}
	var r Reply
	if h.bucket.Has(a.Least, now) {
		r.Granted = max(a.Least, h.bucket.Level(now))
		h.bucket.Take(r.Granted)
	}
	r.After = h.later(a.Need-r.Granted, now)
	return r
}

// home returns a customer's allowance, made or changed as the limit says.
func (g *Grants) home(customer string, limit magno.Limit, share float64, now magno.Millis) *home {
	h := g.homes[customer]
	if h == nil {
		if g.homes == nil {
			g.homes = map[string]*home{}
		}
		h = &home{}
		g.homes[customer] = h
		h.limit = limit
		h.bucket.Burst = limit.Burst * share
		h.bucket.Fill(h.bucket.Burst*startPart, now)
	}
	if h.limit != limit {
		h.limit, h.promised = limit, 0
	}
	return h
}

// later is when a process that is turned away should ask again. Each is told a time of
// its own, as the tokens come.
func (h *home) later(need float64, now magno.Millis) magno.Millis {
	at := max(now+h.bucket.When(need, now), h.promised)
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
