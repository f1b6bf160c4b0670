package gate

import (
	"cmp"
	"slices"

	"magnoliastall.example/magno/fair"
)

// shareCost is the cost of a request for its customer's share, given the tokens to prefill.
func shareCost(req *Request, prefill int) int {
	output := req.ExpectedOutput
	if output == 0 {
		output = min(req.MaxOutput, maxReservedOutput)
	}
	return max(prefill+output, 1)
}

// orderByShares reorders the sorted queue by fair shares among customers: the requests of each
// rank, separately for those in time and late ones. Requests of one customer keep their order, and
// so does a queue in which no request names a customer.
func (g *Gate) orderByShares() {
	if !g.namesCustomer(nil) {
		return
	}
	g.tagQueue(nil)
	for from := 0; from < len(g.queue); {
		to := from + 1
		for to < len(g.queue) && sameClass(g.queue[from], g.queue[to]) {
			to++
		}
		sortByTag(g.queue[from:to])
		from = to
	}
}

// sameClass reports whether only shares and times order two requests.
func sameClass(a, b *queuedRequest) bool {
	return a.Rank == b.Rank && a.late == b.late && a.promoted == b.promoted
}

// sortByTag sorts requests by their tags, and notes which ones overtake an earlier one.
func sortByTag(queue []*queuedRequest) {
	highest := 0.0
	for i, w := range queue {
		w.overtakes = i > 0 && w.shareTag < highest
		highest = max(highest, w.shareTag)
	}
	slices.SortStableFunc(queue, func(a, b *queuedRequest) int { return cmp.Compare(a.shareTag, b.shareTag) })
}

// namesCustomer reports whether a queued request or the given one, which may be nil, names a
// customer.
func (g *Gate) namesCustomer(req *Request) bool {
	if req != nil && req.Customer != "" {
		return true
	}
	return slices.ContainsFunc(g.queue, func(w *queuedRequest) bool { return w.Customer != "" })
}

// tagQueue sets the share tags of the queued requests in their present order. It returns the tag
// that the given request would get behind them, zero if it is nil.
func (g *Gate) tagQueue(req *Request) float64 {
	list := make([]fair.Request, 0, len(g.queue)+1)
	for _, w := range g.queue {
		list = append(list, fair.Request{
			Customer: w.Customer, Rank: w.Rank, Cost: shareCost(&w.Request, g.prefillTokens(&w.Request)), Ready: g.inventory.ready(&w.Request),
		})
	}
	if req != nil {
		// It isn't queued yet and may be refused, so it must not count as waiting.
		list = append(list, fair.Request{Customer: req.Customer, Rank: req.Rank})
	}
	g.shares.Tag(list)
	for i, w := range g.queue {
		w.shareTag = list[i].Tag
	}
	if req == nil {
		return 0
	}
	return list[len(list)-1].Tag
}

// overtaken returns a function that reports whether a request that arrives now would overtake a
// queued one that is in time. Without it, a customer's requests would be refused because of the
// waits of another customer that is over its share.
func (g *Gate) overtaken(req *Request) func(*queuedRequest) bool {
	if !g.namesCustomer(req) {
		return func(*queuedRequest) bool { return false }
	}
	tag := g.tagQueue(req)
	return func(w *queuedRequest) bool { return w.Rank == req.Rank && w.shareTag > tag }
}

// chargeShare charges an admitted request to its customer's share, until releaseShare.
func (g *Gate) chargeShare(r *activeRequest) {
	r.shareCost = shareCost(&r.request, r.prefillTokens)
	g.shares.Started(r.request.Rank, r.request.Customer, r.shareCost)
}

func (g *Gate) releaseShare(r *activeRequest) {
	g.shares.Ended(r.request.Rank, r.request.Customer, r.shareCost)
}
