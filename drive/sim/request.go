package sim

import (
	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/tally"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/retry"
)

// grantHops is the number of hops of the round trip to the witnesses, which must grant a
// non-idempotent request before it is offered to an upstream.
const grantHops = 2

// request tracks one arrival from its entry to its response.
type request struct {
	sim    *Sim
	router magno.Router
	budget *retry.Budget
	// dataCentre is the data centre of the entry.
	dataCentre string
	job        magno.Job
	arrival    *load.Arrival
	avoid      []string
	// up is the upstream that the request was last sent to, at sentAt.
	up     *upstream
	sentAt magno.Millis
	// queued is true while the request is at an upstream, admitted once an upstream has
	// accepted it.
	queued, admitted bool
	// stalledSince is when the request began to wait for its adapter, zero while it is not
	// waiting.
	stalledSince, stallTime magno.Millis
	firstToken, lastToken   magno.Millis
	tokens                  int
	done                    bool
}

// arrive receives a request at its entry, after the network delay from the caller.
func (s *Sim) arrive(a *load.Arrival) {
	e := s.entries[a.Pool][a.Entry]
	r := &request{sim: s, arrival: a, job: a.Job, router: e.router, budget: e.budget, dataCentre: e.dc}
	r.job.Arrived += startTime
	r.job.Deadline += startTime
	s.after(s.Workload.Deployment.ClientDelay, r.attempt)
}

// attempt offers the request to the next upstream of its route. Non-idempotent requests go
// to the home of their key, as in entries. Baseline routers without homes send them
// anywhere, which favours the baselines' results.
func (r *request) attempt() {
	var names []string
	if homer, ok := r.homer(); ok {
		names = homer.Homes(magno.Query{Ref: r.job.Ref, Customer: r.job.Customer}, r.job.ID, maxAttempts)
		names = names[min(len(r.avoid), len(names)):]
	} else {
		names = r.router.Route(magno.Query{
			Ref: r.job.Ref, Prefix: r.job.Prefix, Customer: r.job.Customer, Work: r.work(), Avoid: r.avoid, DataCentre: r.dataCentre,
		})
	}
	if len(names) == 0 {
		r.finish(magno.Refuse(magno.KindNoUpstream, "no upstream is left to try"))
		return
	}
	r.up = r.sim.upstreamsByName[names[0]]
	r.sentAt = r.sim.clock.Now()
	r.router.Sent(r.up.name, r.work())
	delay := r.sim.Workload.Deployment.HopDelay
	if !r.job.Idempotent {
		delay += grantHops * r.sim.Workload.Deployment.HopDelay
	}
	r.sim.after(delay, func() { r.up.offer(r) })
}

// homer returns the router as a magno.HomeRouter, which knows the homes of the request's key;
// ok is false when any upstream may serve the request.
func (r *request) homer() (homer magno.HomeRouter, ok bool) {
	if r.job.Idempotent || r.sim.Policy.IgnoreHomes {
		return nil, false
	}
	homer, ok = r.router.(magno.HomeRouter)
	return homer, ok
}

func (r *request) work() int { return r.job.Prompt + r.job.Output }

// handleAnswer receives an upstream's response at the entry, together with the backlog
// that the upstream reports in it.
func (r *request) handleAnswer(refusal *magno.Refusal, backlog magno.Backlog, ok bool) {
	r.queued = false
	up := r.up
	r.sim.after(r.sim.Workload.Deployment.HopDelay, func() {
		now := r.sim.clock.Now()
		r.router.Ended(up.name, r.work(), now-r.sentAt, ok)
		r.router.Report(up.name, backlog)
		if refusal == nil {
			r.budget.Succeeded()
		}
		if wait, ok := r.retryDelay(refusal); ok {
			r.avoid = append(r.avoid, up.name)
			r.sim.after(wait, r.attempt)
			return
		}
		r.finish(refusal)
	})
}

// retryDelay returns whether another upstream may be tried, and after which delay, by the
// retry rules of the entries.
func (r *request) retryDelay(refusal *magno.Refusal) (magno.Millis, bool) {
	if refusal == nil || len(r.avoid)+1 >= maxAttempts {
		return 0, false
	}
	switch refusal.Kind {
	case magno.KindUnknown, magno.KindBusy, magno.KindLoading:
		if !r.job.Idempotent {
			return 0, false
		}
	default:
		return 0, false
	}
	left := r.job.Deadline - r.sim.clock.Now()
	wait, ok := r.budget.Allow(refusal, len(r.avoid)+1, left, 0, r.job.Idempotent)
	if ok {
		r.firstToken, r.tokens = 0, 0
	}
	return wait, ok
}

// finish adds the request to the tally, with the times that its caller observes.
func (r *request) finish(refusal *magno.Refusal) {
	if r.done {
		return
	}
	r.done = true
	s := r.sim
	r.endStall()
	if r.arrival.Job.Arrived < s.Workload.WarmUp {
		return
	}
	a := tally.Answer{
		Job: r.job, Refusal: refusal, Admitted: r.admitted, Stall: r.stallTime,
		Engine: r.arrival.Pool == load.PoolReading, Hot: r.arrival.Hot,
	}
	a.Job.Output = r.arrival.OutputTokens
	if refusal == nil {
		network := s.Workload.Deployment.ClientDelay + s.Workload.Deployment.HopDelay
		a.FirstToken = r.firstToken + network - r.job.Arrived
		a.Latency = s.clock.Now() + s.Workload.Deployment.ClientDelay - r.job.Arrived
		if r.tokens > 1 {
			a.TokenGap = int64(r.lastToken-r.firstToken) * 1000 / int64(r.tokens-1)
		}
	}
	s.tally.Add(a)
}

func (r *request) endStall() {
	if r.stalledSince != 0 {
		r.stallTime += r.sim.clock.Now() - r.stalledSince
		r.stalledSince = 0
	}
}
