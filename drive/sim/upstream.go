package sim

import (
	"sort"

	"magnoliastall.example/drive/fake"
	"magnoliastall.example/magno"
)

// upstream is a fake engine with its scheduler. It executes orders as an agent does.
type upstream struct {
	sim            *Sim
	name, dc, pool string
	sched          magno.Scheduler
	engine         *fake.Engine
	// jobs are the jobs queued or running here, by ID.
	jobs map[string]*request
	// restarts counts restarts, to recognise events that began before the last one.
	restarts                 int
	stepPending, pollPending bool
	turnClient               turnClient
}

func (u *upstream) offer(r *request) {
	refusal := u.sched.Offer(r.job)
	if refusal != nil {
		r.handleAnswer(refusal, u.sched.Backlog(), true)
		u.runOrders()
		return
	}
	r.queued, r.admitted = true, true
	u.jobs[r.job.ID] = r
	if r.job.Ref != (magno.Ref{}) && !u.engine.Holds(r.job.Ref) {
		r.stalledSince = u.sim.clock.Now()
	}
	u.runOrders()
}

// runOrders executes the scheduler's current orders.
func (u *upstream) runOrders() {
	for _, o := range u.sched.Next() {
		switch o.Kind {
		case magno.OrderStart:
			u.jobs[o.Job.ID].endStall()
			u.engine.Start(o.Job, u.jobs[o.Job.ID].arrival.OutputTokens)
		case magno.OrderLoad:
			u.turnClient.inProgress++
			u.sim.beginLoad(u, o.Ref)
		case magno.OrderUnload:
			u.unload(o.Ref)
		case magno.OrderRefuse:
			r := u.jobs[o.Job.ID]
			delete(u.jobs, o.Job.ID)
			r.endStall()
			r.handleAnswer(o.Refusal, u.sched.Backlog(), true)
		}
	}
	u.scheduleStep()
	u.schedulePoll()
	u.requestTurn()
}

// schedulePoll polls the scheduler again later while jobs wait, because schedulers also
// act on the passing of time.
func (u *upstream) schedulePoll() {
	if u.pollPending || len(u.jobs) == u.engine.Running() {
		return
	}
	u.pollPending = true
	u.sim.after(pollInterval, func() {
		u.pollPending = false
		u.runOrders()
	})
}

func (u *upstream) scheduleStep() {
	if u.stepPending || u.engine.Running() == 0 {
		return
	}
	u.stepPending = true
	boot := u.restarts
	u.sim.after(u.engine.StepTime(), func() {
		if boot != u.restarts {
			return
		}
		u.stepPending = false
		now := u.sim.clock.Now()
		for _, m := range u.engine.Step() {
			u.handleTokens(m, now)
		}
		u.runOrders()
	})
}

func (u *upstream) handleTokens(m fake.Progress, now magno.Millis) {
	r := u.jobs[m.ID]
	if m.First {
		r.firstToken = now
	}
	r.lastToken = now
	r.tokens += m.Tokens
	u.sched.Tokens(m.ID, m.Tokens)
	if !m.End {
		return
	}
	u.sched.Done(m.ID, true)
	delete(u.jobs, m.ID)
	r.handleAnswer(nil, u.sched.Backlog(), true)
}

func (u *upstream) unload(ref magno.Ref) {
	u.engine.Unload(ref)
	for _, id := range u.jobIDs() {
		if r := u.jobs[id]; r.job.Ref == ref && r.stalledSince == 0 {
			r.stalledSince = u.sim.clock.Now()
		}
	}
	boot := u.restarts
	u.turnClient.inProgress++
	u.sim.after(unloadTime, func() {
		if boot == u.restarts {
			u.turnClient.inProgress--
			u.sched.Unloaded(ref)
			u.runOrders()
		}
	})
}

// finishLoad handles the end of a load. Loads that began before a restart are ignored.
func (u *upstream) finishLoad(p pendingLoad, ok bool) {
	if p.restarts != u.restarts {
		return
	}
	if ok && !u.engine.Load(p.ref) {
		u.engine.Violations++
		ok = false
	}
	if ok {
		for _, r := range u.jobs {
			if r.job.Ref == p.ref {
				r.endStall()
			}
		}
	}
	u.turnClient.inProgress--
	u.sched.Loaded(p.ref, ok)
	u.releaseTurn()
	u.runOrders()
}

// restart empties the engine. Whether the running jobs took effect is unknown, so their
// callers must not be told that they were not run.
func (u *upstream) restart() {
	u.restarts++
	u.stepPending = false
	u.turnClient.inProgress = 0
	u.releaseTurn()
	u.engine.Reset()
	ids := u.sched.Reset(magno.UpstreamEnd{Upstream: uint64(u.restarts), Pool: 1}) //nolint:gosec // a counter
	sort.Strings(ids)
	for _, id := range ids {
		r := u.jobs[id]
		if r == nil {
			continue
		}
		delete(u.jobs, id)
		r.handleAnswer(magno.Refuse(magno.KindUnknown, "the upstream restarted"), u.sched.Backlog(), false)
	}
	for _, id := range u.jobIDs() {
		if r := u.jobs[id]; r.job.Ref != (magno.Ref{}) && r.stalledSince == 0 {
			r.stalledSince = u.sim.clock.Now()
		}
	}
	u.runOrders()
}

// jobIDs returns the IDs of the jobs here in sorted order.
func (u *upstream) jobIDs() []string {
	ids := make([]string, 0, len(u.jobs))
	for id := range u.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
