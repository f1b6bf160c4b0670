package gate

import (
	"slices"

	"magnoliastall.example/magno"
)

// refuseLeaving refuses a request at an engine that is leaving: what starts too late is cut off
// when it stops.
func refuseLeaving() *magno.Refusal {
	return magno.Refuse(magno.KindLeaving, "the engine leaves").WithRetryAfter(minRetryAfter)
}

// expire rejects requests that have waited too long, and those that would: if an adapter cannot
// be ready in time, the request is refused now, while its caller may still be served elsewhere.
func (g *Gate) expire(d *Decisions, f *forecast, now magno.Millis) {
	eta, kept := f.eta, 0
	g.queue = slices.DeleteFunc(g.queue, func(w *queuedRequest) bool {
		r := g.queueRefusal(w, eta[w.qualifiedName()], now)
		if r == nil {
			r = g.limitRefusal(w, kept, now)
		}
		if r != nil {
			w.accountWait(now)
			d.Rejections = append(d.Rejections, Rejection{ID: w.ID, Refusal: r, Waits: w.waits})
			return true
		}
		kept++
		return false
	})
}

// queueRefusal returns why a queued request is given up, nil if it may still start.
func (g *Gate) queueRefusal(w *queuedRequest, eta, now magno.Millis) *magno.Refusal {
	switch {
	case g.isLeaving():
		return refuseLeaving()
	case now+eta >= w.giveUpAt && eta > 0:
		return magno.Refuse(magno.KindLoading, "its adapter is expected in %d ms, and it waited for %d", eta, now-w.queuedAt).
			WithRetryAfter(boundRetryAfter(eta))
	case now >= w.giveUpAt:
		return magno.Refuse(magno.KindBusy, "it waited for %d ms", now-w.queuedAt).WithRetryAfter(boundRetryAfter(max(eta, g.queueWait(now))))
	}
	return nil
}

// limitRefusal refuses a queued request that cannot start in time because of the engine's limit,
// behind the given number of others. The queue may be from before the limit was named.
func (g *Gate) limitRefusal(w *queuedRequest, ahead int, now magno.Millis) *magno.Refusal {
	wait := g.limiter.Delay(ahead+1, now)
	if wait == 0 || now+wait <= w.giveUpAt {
		return nil
	}
	return magno.Refuse(magno.KindBusy, "the engine's limit lets it start in %d ms, and it waited for %d", wait, now-w.queuedAt).
		WithRetryAfter(boundRetryAfter(wait))
}

// admit starts the requests that the engine can take now. A request whose adapter is not loaded
// does not block those behind it. One that waits for capacity or prefill does, or long prompts
// would starve.
func (g *Gate) admit(d *Decisions, now magno.Millis) {
	blocked := false
	g.queue = slices.DeleteFunc(g.queue, func(w *queuedRequest) bool {
		if blocked || !g.inventory.ready(&w.Request) {
			return false
		}
		tokens := g.prefillTokens(&w.Request)
		if !g.hasCapacity(&w.Request) || !g.pacer.allows(tokens, now) || !g.limiter.Allows(now) {
			blocked = true
			return false
		}
		byLength := len(g.active) > 0 && !g.reservedCapacity(&w.Request)
		g.limiter.Take(1)
		prefillBy := g.pacer.start(tokens, now)
		g.prefixes.add(w.qualifiedName(), w.PrefixHash)
		r := &activeRequest{request: w.Request, grantedAt: now, expiresAt: w.deadline + grantExpirySlack, prefillTokens: tokens, prefillBy: prefillBy}
		g.active[w.ID] = r
		g.lengths.invalidate()
		g.chargeShare(r)
		w.accountWait(now)
		d.Grants = append(d.Grants, Grant{ID: w.ID, Version: g.inventory.version(&w.Request), Waited: now - w.queuedAt, Waits: w.waits, Overtook: w.overtakes, ByLength: byLength})
		return true
	})
}

// prefillTokens is the number of prompt tokens that the engine has to prefill. A prefix that it
// processed recently for the same adapter is still cached.
func (g *Gate) prefillTokens(req *Request) int {
	if req.PrefixTokens > 0 && g.prefixes.has(req.qualifiedName(), req.PrefixHash) {
		return req.Prompt - req.PrefixTokens
	}
	return req.Prompt
}

// hasCapacity reports whether the engine has a place in the batch and token memory for one more
// request.
func (g *Gate) hasCapacity(req *Request) bool {
	if g.runningCount() >= g.spec.Engine.Batch {
		return false
	}
	if len(g.active) == 0 {
		return true
	}
	if fits, known := g.learnedCapacity(req); known {
		return fits
	}
	return g.reservedCapacity(req)
}

// reservedCapacity reports whether the token memory suffices for one more request by what is
// reserved for declared maxima.
func (g *Gate) reservedCapacity(req *Request) bool {
	return float64(g.reservedTokens(req)) <= tokenMemoryShare*float64(g.spec.Engine.Tokens)
}

// reservedTokens is what is reserved for declared maxima of the running requests and one more.
func (g *Gate) reservedTokens(req *Request) int {
	used := memoryTokens(req)
	for _, r := range g.active {
		used += memoryTokens(&r.request)
	}
	return used
}

func memoryTokens(req *Request) int { return req.Prompt + min(req.MaxOutput, maxReservedOutput) }
