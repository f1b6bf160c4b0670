package relay

import (
	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// computeFingerprint returns a hash of the request and its customer that is the same at all entries.
// The caller's address is no part of it: it changes as callers move between networks.
func (j *job) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{j.customerName(), j.r.Method, j.r.Host, j.r.RequestURI} {
		_, _ = d.WriteString(part) // a Digest returns no errors
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(j.body)
	return max(d.Sum64(), 1)
}

// suspectRefusal returns the refusal of a request that ends upstreams.
func suspectRefusal() *magno.Refusal {
	return magno.Refuse(magno.KindSuspect, "upstreams ended under this request")
}

// recordEnd records the end of an upstream under a request.
func (h *Handler) recordEnd(c *endCheck, run brokenRun) {
	key := c.replica.Key()
	end := magno.NewUpstreamEnd(c.replica.Service, key)
	end.Age = h.Clock.Now() - run.at
	h.Suspects.RecordEnd(run.fingerprint, end)
	h.Log.Warn("suspect", "request", run.id, "print", run.fingerprint, "replica", key, "ends", h.Suspects.Count(run.fingerprint))
}
