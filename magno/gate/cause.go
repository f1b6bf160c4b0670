package gate

import "magnoliastall.example/magno"

// Cause is why a request waits for its permit.
type Cause int

// The causes of a wait, each apart, since each has another remedy.
const (
	CauseModel    Cause = iota // its base model isn't there
	CauseSlot                  // every adapter slot is in use
	CauseLoad                  // its adapter is being loaded, or waits for its turn to be
	CauseCapacity              // no place among the running requests, or no memory
	CausePrefill               // prompts before it are read first
	causes
)

// causeNames are what logs and metrics say.
var causeNames = [causes]string{"model", "slot", "load", "place", "read"}

// String names the cause.
func (c Cause) String() string { return causeNames[c] }

// Causes lists all causes.
func Causes() []Cause { return []Cause{CauseModel, CauseSlot, CauseLoad, CauseCapacity, CausePrefill} }

// Waits is how long a request waited for each cause.
type Waits [causes]magno.Millis

// Add adds the waits at another engine.
func (w *Waits) Add(other *Waits) {
	for c, part := range other {
		w[c] += part
	}
}

// Line lists the causes that there were for a log line, in ms.
func (w *Waits) LogArgs() []any {
	var line []any
	for c, part := range w {
		if part > 0 {
			line = append(line, Cause(c).String(), part)
		}
	}
	return line
}

// blame adds the time since the last look to the cause that each waiting
// request had then, and notes the cause that it has now.
func (g *Gate) blame(now magno.Millis) {
	for _, w := range g.queue {
		w.passed(now)
		w.cause = g.cause(&w.Request)
	}
}

// passed adds the time since the last look to the cause of that time.
func (w *waiting) passed(now magno.Millis) {
	w.waits[w.cause] += now - w.looked
	w.looked = now
}

// cause tells why a request in the queue can't begin now.
func (g *Gate) cause(a *Request) Cause {
	switch {
	case !g.held.models[a.Model]:
		return CauseModel
	case g.held.ready(a) && !g.room(a):
		return CauseCapacity
	case g.held.ready(a):
		return CausePrefill
	case g.held.moving(a.name()) || g.held.fits() || g.spare():
		return CauseLoad
	}
	return CauseSlot
}

// spare tells whether an adapter is held that no request uses or waits for.
func (g *Gate) spare() bool {
	_, ok := g.held.victim(g.inUse(), g.held.at)
	return ok
}
