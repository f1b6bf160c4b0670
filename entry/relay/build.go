package relay

import (
	"context"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/origin"
)

const (
	// streamTimeouts is how long a stream lasts at most with all tries of its caller, as a multiple of
	// its route's timeout: it breaks off, and is taken up within what is left.
	streamTimeouts = 2
	// takeUpSlack is how long a caller takes at most to send a request, once it no longer waits for the next
	// event of a stream.
	takeUpSlack = magno.Second
	// originRetryAfter is the Retry-After where it isn't known at which build a stream began. Another
	// entry may know.
	originRetryAfter = 200 * magno.Millis(1)
)

// Origins knows at which build streams began. resume.Manager implements it.
type Origins interface {
	// Record records where the stream of a caller's attempt began.
	Record(attempt string, o origin.Origin)
	// Find returns where a stream began, nil if that isn't known.
	Find(ctx context.Context, q origin.Query) *origin.Origin
}

// findOrigin finds out where a stream began that the caller takes up, and refuses it if that isn't known:
// what two builds write doesn't fit into one stream.
func (j *job) findOrigin(ctx context.Context) *magno.Refusal {
	if j.route.Kind != magno.RouteStream || j.call.From == "" || j.Origins == nil {
		return nil
	}
	timeout := j.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	j.began = j.Origins.Find(ctx, origin.Query{
		Request: j.id, Attempt: j.call.Resumes, Service: j.service.Name, Lasts: streamTimeouts * timeout, Patience: j.callerPatience() + takeUpSlack,
	})
	if j.began == nil {
		return magno.Refuse(magno.KindNoUpstream, "it isn't known at which build the stream began").WithRetryAfter(originRetryAfter)
	}
	if j.began.Service == j.service.Name {
		return nil
	}
	j.service = j.snap.Plan.Service(j.began.Service)
	leadsThere := func(p magno.Part) bool { return p.Service == j.began.Service }
	if j.service == nil || !slices.ContainsFunc(j.route.Parts, leadsThere) {
		return magno.Refuse(magno.KindNoUpstream, "the stream began at service %s", j.began.Service).WithRetryAfter(noReplicaRetryAfter)
	}
	return nil
}

// requiredBuild returns the only build that may run the request, empty for any.
func (j *job) requiredBuild() string {
	if j.began == nil {
		return ""
	}
	return j.began.Build
}

// fits reports whether a replica may run the request.
func (j *job) fits(r *magno.Replica) bool {
	required := j.requiredBuild()
	return required == "" || r.Build == required
}

// isListed reports whether a replica is still the incarnation that the list names. Another one may have
// started under its name, with another build, and the list may be out of date.
func (j *job) isListed(r *magno.Replica) bool {
	switch {
	case r.StartedAt == 0:
		return true // its name is used once
	case j.engineStart != 0:
		return j.engineStart == r.StartedAt
	}
	return j.Book.Age() <= staleConfigAge
}

// recordOrigin records where a stream began, as its first event is sent to the caller.
func (j *job) recordOrigin(r *magno.Replica) {
	if !j.buildKnown {
		return
	}
	if j.began == nil {
		j.began = &origin.Origin{Service: r.Service, Build: r.Build}
	}
	if j.Origins != nil {
		j.Origins.Record(j.id, *j.began)
	}
}
