package sim

import (
	"magnoliastall.example/drive/load"
	"magnoliastall.example/drive/tally"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/retry"
)

// grantHops is what the witnesses' grant adds before work that may not be
// repeated is offered: there and back.
const grantHops = 2

// request follows one arrival from its entry to its answer.
type request struct {
	sim    *Sim
	router magno.Router
	budget *retry.Budget
	// home is the entry's data centre.
	home  string
	job   magno.Job
	from  *load.Arrival
	avoid []string
	// up is where it was sent last, sent when.
	up   *upstream
	sent magno.Millis
	// queued is true while an upstream has it; admitted once one took it.
	queued, admitted bool
	// stalled is since when it waits for its adapter, zero when it doesn't.
	stalled, stall magno.Millis
	first, last    magno.Millis
	tokens         int
	over           bool
}

// arrive takes a request in at an entry, after its way from the caller.
func (s *Sim) arrive(a *load.Arrival) {
	e := s.entries[a.Pool][a.Entry]
	r := &request{sim: s, from: a, job: a.Job, router: e.router, budget: e.budget, home: e.dc}
	r.job.Arrived += start
	r.job.Deadline += start
	s.after(s.Workload.Deployment.ClientDelay, r.attempt)
}

// attempt offers the request to the next upstream of its route. Work that may
// not be repeated goes to the home of its key, as entries send it; a baseline
// that knows no homes sends it anywhere, so its figures flatter it.
func (r *request) attempt() {
	var names []string
	if homer, ok := r.homer(); ok {
		names = homer.Homes(magno.Query{Ref: r.job.Ref, Customer: r.job.Customer}, r.job.ID, attempts)
		names = names[min(len(r.avoid), len(names)):]
	} else {
		names = r.router.Route(magno.Query{
			Ref: r.job.Ref, Prefix: r.job.Prefix, Customer: r.job.Customer, Work: r.work(), Avoid: r.avoid, DataCentre: r.home,
		})
	}
	if len(names) == 0 {
		r.end(magno.Refuse(magno.KindNoUpstream, "no upstream is left to try"))
		return
	}
	r.up = r.sim.ups[names[0]]
	r.sent = r.sim.clock.Now()
	r.router.Sent(r.up.name, r.work())
	way := r.sim.Workload.Deployment.HopDelay
	if !r.job.Repeat {
		way += grantHops * r.sim.Workload.Deployment.HopDelay
	}
	r.sim.after(way, func() { r.up.offer(r) })
}

// homer knows the homes of the request's key; ok is false when it may go
// anywhere.
func (r *request) homer() (homer magno.Homer, ok bool) {
	if r.job.Repeat || r.sim.Policy.IgnoreHomes {
		return nil, false
	}
	homer, ok = r.router.(magno.Homer)
	return homer, ok
}

func (r *request) work() int { return r.job.Prompt + r.job.Output }

// answered takes an upstream's answer at the entry, with the backlog that
// rides on it.
func (r *request) answered(refusal *magno.Refusal, b magno.Backlog, ok bool) {
	r.queued = false
	up := r.up
	r.sim.after(r.sim.Workload.Deployment.HopDelay, func() {
		now := r.sim.clock.Now()
		r.router.Ended(up.name, r.work(), now-r.sent, ok)
		r.router.Report(up.name, b)
		if refusal == nil {
			r.budget.Succeeded()
		}
		if wait, ok := r.again(refusal); ok {
			r.avoid = append(r.avoid, up.name)
			r.sim.after(wait, r.attempt)
			return
		}
		r.end(refusal)
	})
}

// again tells whether another upstream may be tried, and after which wait, by
// the rules of the entries.
func (r *request) again(refusal *magno.Refusal) (magno.Millis, bool) {
	if refusal == nil || len(r.avoid)+1 >= attempts {
		return 0, false
	}
	switch refusal.Kind {
	case magno.KindUnknown, magno.KindBusy, magno.KindLoading:
		if !r.job.Repeat {
			return 0, false
		}
	default:
		return 0, false
	}
	left := r.job.Deadline - r.sim.clock.Now()
	wait, ok := r.budget.Allow(refusal, len(r.avoid)+1, left, 0, r.job.Repeat)
	if ok {
		r.first, r.tokens = 0, 0
	}
	return wait, ok
}

// end counts the request as its caller sees it.
func (r *request) end(refusal *magno.Refusal) {
	if r.over {
		return
	}
	r.over = true
	s := r.sim
	r.unstall()
	if r.from.Job.Arrived < s.Workload.WarmUp {
		return
	}
	a := tally.Answer{
		Job: r.job, Refusal: refusal, Admitted: r.admitted, Stall: r.stall,
		Engine: r.from.Pool == load.PoolReading, Hot: r.from.Hot,
	}
	a.Job.Output = r.from.OutputTokens
	if refusal == nil {
		way := s.Workload.Deployment.ClientDelay + s.Workload.Deployment.HopDelay
		a.First = r.first + way - r.job.Arrived
		a.End = s.clock.Now() + s.Workload.Deployment.ClientDelay - r.job.Arrived
		if r.tokens > 1 {
			a.Gap = int64(r.last-r.first) * 1000 / int64(r.tokens-1)
		}
	}
	s.tally.Add(a)
}

func (r *request) unstall() {
	if r.stalled != 0 {
		r.stall += r.sim.clock.Now() - r.stalled
		r.stalled = 0
	}
}
