package gate

import "magnoliastall.example/magno"

// Cause is why a request waits for its permit.
type Cause int

// The causes of a wait. They are told apart because each has a different remedy.
const (
	CauseModel    Cause = iota // the base model is not loaded
	CauseSlot                  // every adapter slot is in use
	CauseLoad                  // the adapter is being loaded, or its load is queued
	CauseCapacity              // the batch or the token memory is full
	CausePrefill               // earlier prompts are prefilled first
	CauseLimit                 // the engine named a limit
	numCauses
)

// causeNames are the names in logs and metrics.
var causeNames = [numCauses]string{"model", "slot", "load", "place", "read", "limit"}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseModel, CauseSlot, CauseLoad, CauseCapacity, CausePrefill, CauseLimit}
}

// Waits is the time that a request waited, by cause.
type Waits [numCauses]magno.Millis

// Add adds the waits at another engine.
func (w *Waits) Add(other *Waits) {
	for c, part := range other {
		w[c] += part
	}
}

// LogArgs returns the nonzero waits as arguments of a log call, in ms.
func (w *Waits) LogArgs() []any {
	var line []any
	for c, part := range w {
		if part > 0 {
			line = append(line, Cause(c).String(), part)
		}
	}
	return line
}

// accountWaits adds the time since the last call to the previous cause of each queued request,
// and determines its current cause.
func (g *Gate) accountWaits(now magno.Millis) {
	for _, w := range g.queue {
		w.accountWait(now)
		w.cause = g.cause(&w.Request)
	}
}

// accountWait adds the time since the last call to the request's cause.
func (w *queuedRequest) accountWait(now magno.Millis) {
	w.waits[w.cause] += now - w.accountedAt
	w.accountedAt = now
}

// cause returns why a queued request cannot start now.
func (g *Gate) cause(req *Request) Cause {
	switch {
	case !g.inventory.models[req.Model]:
		return CauseModel
	case g.inventory.ready(req) && !g.hasCapacity(req):
		return CauseCapacity
	case g.inventory.ready(req) && !g.limiter.Allows(g.inventory.now):
		return CauseLimit
	case g.inventory.ready(req):
		return CausePrefill
	case g.inventory.changing(req.qualifiedName()) || g.inventory.canFitAdapter() || g.hasIdleAdapter():
		return CauseLoad
	}
	return CauseSlot
}

// hasIdleAdapter reports whether an adapter is loaded that no running or queued request uses.
func (g *Gate) hasIdleAdapter() bool {
	_, ok := g.inventory.victim(g.inUse(), g.inventory.now)
	return ok
}
