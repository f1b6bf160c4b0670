package relay

import (
	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// maxParts bounds the parts of a prompt that are looked at.
const maxParts = 32

// computePrints returns the fingerprints by which a request is recognised at all entries: its own and
// those of the parts of its prompt.
func (j *job) computePrints() []uint64 {
	prints := []uint64{j.computeFingerprint()}
	for _, id := range j.call.Parts[:min(len(j.call.Parts), maxParts)] {
		prints = append(prints, crash.PartPrint(id))
	}
	return prints
}

// computeFingerprint returns a hash of the request and its customer. The caller's address is no part of
// it: it changes as callers move between networks.
func (j *job) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{j.customerName(), j.r.Method, j.r.Host, j.r.RequestURI} {
		_, _ = d.WriteString(part) // a Digest returns no errors
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(j.body)
	return crash.RequestPrint(d.Sum64())
}

// suspectRefusal returns the refusal of a request that ends upstreams.
func suspectRefusal() *magno.Refusal {
	return magno.Refuse(magno.KindSuspect, "upstreams ended under this request")
}

// recordEnd records the end of an upstream under a request and the parts of its prompt.
func (h *Handler) recordEnd(c *endCheck, run brokenRun) {
	key := c.replica.Key()
	end := magno.NewUpstreamEnd(c.replica.Service, key)
	end.Age = h.Clock.Now() - run.at
	part, partEnds := uint64(0), 0
	for i, print := range run.prints {
		h.Suspects.RecordEnd(print, end)
		if n := h.Suspects.Count(print); i > 0 && n >= partEnds {
			part, partEnds = print, n
		}
	}
	own, moments := h.Suspects.Evidence(part, run.prints)
	h.Log.Warn("suspect", "request", run.id, "print", run.prints[0], "replica", key, "ends", h.Suspects.Count(run.prints[0]),
		"part", part, "partends", partEnds, "partown", own, "moments", moments, "refused", h.Suspects.Refused(run.prints...))
}
