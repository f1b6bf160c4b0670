package relay

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
)

const (
	// revokeMargin is how long before the end of MaxRevokeDelay keys are no longer accepted. It
	// allows for the time that the confirmation of the configuration was in transit.
	revokeMargin = 100 * magno.Millis(1)
	// outdatedRetryAfter is the Retry-After where the configuration isn't confirmed. Another
	// instance is likely to have a confirmed one.
	outdatedRetryAfter = 200 * magno.Millis(1)
)

// KeysFresh reports whether the configuration was confirmed so recently that no key in it can
// have been revoked for longer than MaxRevokeDelay.
func (h *Handler) KeysFresh() bool { return h.keysFreshAt(h.Book.Staleness()) }

// keysFreshAt is KeysFresh for a configuration that was confirmed the given time ago.
func (h *Handler) keysFreshAt(unvouched magno.Millis) bool {
	return h.MaxRevokeDelay == 0 || unvouched <= h.MaxRevokeDelay-revokeMargin
}

// authorize finds the caller's customer. It is called after the whole request was read: a
// caller whose key was revoked while it sent the body is refused.
//
// Load pattern: keys are revoked while this process is partitioned from the list or frozen. It
// can't know, so it refuses all requests that need a key until the configuration is confirmed
// again. Callers retry at another instance.
func (j *job) authorize() *magno.Refusal {
	if !j.snap.Plan.Keyed(j.route) {
		return nil
	}
	j.configAge = j.Book.Staleness()
	if !j.keysFreshAt(j.configAge) {
		return magno.Refuse(magno.KindOutdated, "keys can't be checked, the configuration was confirmed %d ms ago", j.configAge).
			WithRetryAfter(outdatedRetryAfter)
	}
	now := j.Book.Current()
	j.customer = j.tablesFor(now.Plan).keys.Find(j.call.Key)
	if j.customer != nil {
		return nil
	}
	if why := j.configDoubt(); why != "" {
		return magno.Refuse(magno.KindOutdated, "the key is unknown, and the configuration %s", why).WithRetryAfter(outdatedRetryAfter)
	}
	return magno.Refuse(magno.KindCredential, "the key belongs to no customer")
}

// rank returns the request's priority, 0 first.
func (j *job) rank() int {
	if j.customer != nil && j.customer.Rank != nil {
		return *j.customer.Rank
	}
	return j.route.Rank
}

// customerName returns the name of the customer, empty if there is none.
func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// takeQuota charges the request's cost to its customer's limit.
func (j *job) takeQuota(ctx context.Context) *magno.Refusal {
	if j.customer == nil {
		return nil
	}
	j.countOutcome("asked")
	if j.customer.Limit == nil || j.Quotas == nil {
		return nil
	}
	cost := j.customer.Limit.Cost(j.call.Prompt + j.call.Output)
	if refusal := j.Quotas.Take(ctx, j.customer, cost); refusal != nil {
		j.countOutcome("over")
		return refusal
	}
	j.cost = cost
	return nil
}

// returnQuota returns the cost of a request that ends without having run.
func (j *job) returnQuota() {
	switch {
	case j.customer == nil:
	case j.mayHaveRun:
		j.countOutcome("ran")
	case j.cost > 0:
		j.countOutcome("given")
		j.Quotas.Give(j.customer, j.cost)
	}
	j.cost = 0
}

// countOutcome counts a customer's requests by outcome.
func (j *job) countOutcome(what string) {
	metrics.GetOrCreateCounter(`customer_requests_total{customer="` + j.customer.Name + `",what="` + what + `"}`).Inc()
}
