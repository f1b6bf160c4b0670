package sim

import (
	"sort"

	"magnoliastall.example/drive/fake"
	"magnoliastall.example/magno"
)

// upstream is a fake engine with its scheduler; it does what an agent does
// with orders.
type upstream struct {
	sim            *Sim
	name, dc, pool string
	sched          magno.Scheduler
	engine         *fake.Engine
	// jobs are queued or running here.
	jobs map[string]*request
	// boot counts restarts.
	boot             int
	stepping, polled bool
	holder           holder
}

func (u *upstream) offer(r *request) {
	refusal := u.sched.Offer(r.job)
	if refusal != nil {
		r.answered(refusal, u.sched.Backlog(), true)
		u.pump()
		return
	}
	r.queued, r.admitted = true, true
	u.jobs[r.job.ID] = r
	if r.job.Ref != (magno.Ref{}) && !u.engine.Holds(r.job.Ref) {
		r.stalled = u.sim.clock.Now()
	}
	u.pump()
}

// pump carries out what the scheduler wants now.
func (u *upstream) pump() {
	for _, o := range u.sched.Next() {
		switch o.Kind {
		case magno.OrderStart:
			u.jobs[o.Job.ID].unstall()
			u.engine.Start(o.Job, u.jobs[o.Job.ID].from.OutputTokens)
		case magno.OrderLoad:
			u.holder.busy++
			u.sim.beginLoad(u, o.Ref)
		case magno.OrderUnload:
			u.unload(o.Ref)
		case magno.OrderRefuse:
			r := u.jobs[o.Job.ID]
			delete(u.jobs, o.Job.ID)
			r.unstall()
			r.answered(o.Refusal, u.sched.Backlog(), true)
		}
	}
	u.step()
	u.poll()
	u.ask()
}

// poll asks again later while jobs wait, for schedulers wait for time too.
func (u *upstream) poll() {
	if u.polled || len(u.jobs) == u.engine.Running() {
		return
	}
	u.polled = true
	u.sim.after(tick, func() {
		u.polled = false
		u.pump()
	})
}

func (u *upstream) step() {
	if u.stepping || u.engine.Running() == 0 {
		return
	}
	u.stepping = true
	boot := u.boot
	u.sim.after(u.engine.StepTime(), func() {
		if boot != u.boot {
			return
		}
		u.stepping = false
		now := u.sim.clock.Now()
		for _, m := range u.engine.Step() {
			u.made(m, now)
		}
		u.pump()
	})
}

func (u *upstream) made(m fake.Progress, now magno.Millis) {
	r := u.jobs[m.ID]
	if m.First {
		r.first = now
	}
	r.last = now
	r.tokens += m.Tokens
	u.sched.Tokens(m.ID, m.Tokens)
	if !m.End {
		return
	}
	u.sched.Done(m.ID, true)
	delete(u.jobs, m.ID)
	r.answered(nil, u.sched.Backlog(), true)
}

func (u *upstream) unload(ref magno.Ref) {
	u.engine.Unload(ref)
	for _, id := range u.open() {
		if r := u.jobs[id]; r.job.Ref == ref && r.stalled == 0 {
			r.stalled = u.sim.clock.Now()
		}
	}
	boot := u.boot
	u.holder.busy++
	u.sim.after(unloadTime, func() {
		if boot == u.boot {
			u.holder.busy--
			u.sched.Unloaded(ref)
			u.pump()
		}
	})
}

// loaded takes the end of a load; one begun before a restart means nothing.
func (u *upstream) loaded(p pending, ok bool) {
	if p.boot != u.boot {
		return
	}
	if ok && !u.engine.Load(p.ref) {
		u.engine.Violations++
		ok = false
	}
	if ok {
		for _, r := range u.jobs {
			if r.job.Ref == p.ref {
				r.unstall()
			}
		}
	}
	u.holder.busy--
	u.sched.Loaded(p.ref, ok)
	u.giveBack()
	u.pump()
}

// restart empties the engine. What ran has an unknown end: the caller may not
// be told that it was not run.
func (u *upstream) restart() {
	u.boot++
	u.stepping = false
	u.holder.busy = 0
	u.giveBack()
	u.engine.Reset()
	ids := u.sched.Reset()
	sort.Strings(ids)
	for _, id := range ids {
		r := u.jobs[id]
		if r == nil {
			continue
		}
		delete(u.jobs, id)
		r.answered(magno.Refuse(magno.KindUnknown, "the upstream restarted"), u.sched.Backlog(), false)
	}
	for _, id := range u.open() {
		if r := u.jobs[id]; r.job.Ref != (magno.Ref{}) && r.stalled == 0 {
			r.stalled = u.sim.clock.Now()
		}
	}
	u.pump()
}

// open lists the jobs here in a fixed order.
func (u *upstream) open() []string {
	ids := make([]string, 0, len(u.jobs))
	for id := range u.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
