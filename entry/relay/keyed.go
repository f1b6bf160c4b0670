package relay

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
)

const (
	// revokeSlack is how much sooner than withdrawn keys must be refused none is
	// accepted: for the way of the answer that vouched for the configuration.
	revokeSlack = 100 * magno.Millis(1)
	// outdatedAfter is when a caller should come back to another instance, whose
	// configuration is likely to be confirmed.
	outdatedAfter = 200 * magno.Millis(1)
)

// KeysFresh tells whether the configuration was confirmed so lately that no key in it was
// withdrawn for longer than is allowed.
func (h *Handler) KeysFresh() bool { return h.sureAfter(h.Book.Unvouched()) }

// sureAfter is Sure for a configuration confirmed so long ago.
func (h *Handler) sureAfter(unvouched magno.Millis) bool {
	return h.MaxRevokeDelay == 0 || unvouched <= h.MaxRevokeDelay-revokeSlack
}

// authorize finds the caller's customer. It is called once the request has been read
// whole: a caller whose key was withdrawn while it sent the body is refused.
//
// Load pattern: keys are withdrawn while this process is cut off from the list, or stood
// still. It can't know, so it refuses all that need a key until the configuration is
// confirmed again; callers find another instance.
func (j *job) authorize() *magno.Refusal {
	if !j.snap.Plan.Keyed(j.route) {
		return nil
	}
	j.sure = j.Book.Unvouched()
	if !j.sureAfter(j.sure) {
		return magno.Refuse(magno.KindOutdated, "keys can't be checked, the configuration was confirmed %d ms ago", j.sure).
			Later(outdatedAfter)
	}
	now := j.Book.Now()
	j.customer = j.find(now.Plan).keys.Find(j.call.Key)
	if j.customer != nil {
		return nil
	}
	if age := j.Book.Age(); age > staleAge {
		return magno.Refuse(magno.KindOutdated, "the key is unknown, and the configuration is %d ms old", age).Later(outdatedAfter)
	}
	return magno.Refuse(magno.KindCredential, "the key belongs to no customer")
}

// rank is the request's urgency, 0 first.
func (j *job) rank() int {
	if j.customer != nil && j.customer.Rank != nil {
		return *j.customer.Rank
	}
	return j.route.Rank
}

// owner is the name of the customer, empty without one.
func (j *job) owner() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// take takes the request's cost from its customer's allowance.
func (j *job) take(ctx context.Context) *magno.Refusal {
	if j.customer == nil {
		return nil
	}
	j.count("asked")
	if j.customer.Limit == nil || j.Quotas == nil {
		return nil
	}
	cost := j.customer.Limit.Cost(j.call.Prompt + j.call.Output)
	if refusal := j.Quotas.Take(ctx, j.customer, cost); refusal != nil {
		j.count("over")
		return refusal
	}
	j.cost = cost
	return nil
}

// give returns the cost of a request that ends without having run.
func (j *job) give() {
	switch {
	case j.customer == nil:
	case j.ran:
		j.count("ran")
	case j.cost > 0:
		j.count("given")
		j.Quotas.Give(j.customer, j.cost)
	}
	j.cost = 0
}

// count counts what became of a customer's request.
func (j *job) count(what string) {
	metrics.GetOrCreateCounter(`customer_requests_total{customer="` + j.customer.Name + `",what="` + what + `"}`).Inc()
}
