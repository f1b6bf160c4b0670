package relay

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

const (
	// maxParts bounds the parts of a prompt that are looked at.
	maxParts = 32
	// unprovenRetryAfter is the Retry-After of a request that is refused while another one is tried.
	unprovenRetryAfter = magno.Second
)

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
	for _, block := range j.body {
		_, _ = d.Write(block)
	}
	return crash.RequestPrint(d.Sum64())
}

// suspectRefusal returns the refusal of a request that ends upstreams.
func suspectRefusal() *magno.Refusal {
	return magno.Refuse(magno.KindSuspect, "upstreams ended under this request")
}

// runPrints returns the fingerprints that the end of the last send's upstream counts for: not those of
// parts once the stream is under way.
func (j *job) runPrints() []uint64 {
	if j.underWay {
		return j.prints[:1]
	}
	return j.prints
}

// unprovenRefusal returns the refusal of a request that may end upstreams, while another one like it is tried.
func unprovenRefusal() *magno.Refusal {
	return magno.Refuse(magno.KindNoUpstream, "upstreams ended under requests like it, and another one is tried").WithRetryAfter(unprovenRetryAfter)
}

// checkSuspect returns the refusal of a request that surely must not be sent because upstreams ended under it, nil if it
// may be.
func (j *job) checkSuspect() *magno.Refusal {
	causes, unproven := j.Suspects.Judge(j.prints...)
	switch {
	case len(causes) > 0 && (j.trial || j.Trials == nil || !j.Trials.MayTry(causes)):
		return suspectRefusal()
	case len(unproven) > 0 && j.Trials != nil && !j.Trials.MayAsk(unproven):
		return unprovenRefusal()
	}
	return nil
}

// askToSend is called once there is a connection to an upstream. It returns a refusal if upstreams ended under the
// request, and another one like it, or none, is tried now.
func (j *job) askToSend(ctx context.Context) *magno.Refusal {
	causes, unproven := j.Suspects.Judge(j.prints...)
	if len(causes) > 0 {
		if j.trial || j.Trials == nil || !j.Trials.Ask(ctx, causes) {
			return suspectRefusal()
		}
		j.trial = true
	}
	if len(unproven) > 0 && j.Trials != nil && !j.Trials.AskUnproven(ctx, unproven) {
		return unprovenRefusal()
	}
	return nil
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
