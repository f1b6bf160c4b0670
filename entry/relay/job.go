package relay

import (
	"context"
	"net/http"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/gate"
	"magnoliastall.example/magno/paths"
	"magnoliastall.example/magno/view"
)

const (
	// leastRun is what must be left for a request to be worth beginning: the
	// reading of a prompt and the first event.
	leastRun = 200 * magno.Millis(1)
	// callersGap, aimGaps and pauseGaps tell when callers leave a stream without
	// its first event: after two seconds, four times the aim or eight times the
	// pause that is allowed, whichever is longest.
	callersGap = 2 * magno.Second
	aimGaps    = 4
	pauseGaps  = 8
	// waitSlack is what a request must have left of that time when it begins.
	waitSlack = 500 * magno.Millis(1)
	// mostChoices bounds the replicas that are asked for a permit in one pass.
	mostChoices = 3
	// mostDeclines is how many engines may say that another is better now: each
	// costs a round trip, and brings fresh word of one of the few candidates.
	mostDeclines = 2
	// busyAfter is the time to come back where no agent tells one.
	busyAfter = 200 * magno.Millis(1)
	// goneAfter is the time to come back when a service has no replica.
	goneAfter = 500 * magno.Millis(1)
	// plainWork is the work of a request to a plain service: they differ little.
	plainWork = 1
)

// job is one request on its way.
type job struct {
	*Handler
	w    http.ResponseWriter
	r    *http.Request
	snap *view.Snapshot
	call magno.Call
	// id is the attempt's.
	id    string
	route *magno.Route
	body  []byte
	// bodyRoom and answerRoom are what the body and an upstream's answer hold.
	bodyRoom, answerRoom holding
	// customer is whom the caller's key belongs to, nil where none is needed. cost is
	// what the request took from its allowance.
	customer *magno.Customer
	cost     float64
	// sure is how long before the key was checked its configuration was confirmed, zero
	// where none is needed.
	sure magno.Millis
	// print is the request's fingerprint as a suspect, zero without a body.
	print uint64
	// came is when it was read, end when it must have its answer.
	came, end magno.Millis

	service *magno.Service
	// tries counts sends, avoid lists the replicas that they went to.
	tries int
	avoid []string
	// ran is true once an upstream may have begun to work on it.
	ran bool
	// runs counts upstreams that may have.
	runs int
	// at is the replica that it was sent to last, waited the wait for permits,
	// waits what agents say of its causes.
	at     string
	waited magno.Millis
	waits  gate.Waits
	// started is true once the head of the answer went to the caller; last is
	// the newest event that did, events their number.
	started bool
	last    string
	events  int
	// first is when the first event came, passed the last, and pause the longest
	// time between two.
	first, passed, pause magno.Millis
	// failure is the upstream's answer to pass on when no other can be had.
	failure *answer
	// refusal is why the last choice was refused.
	refusal *magno.Refusal
}

// result is what became of one send.
type result int

const (
	resultDone     result = iota // the caller has its answer
	resultUnsent                 // nothing reached the upstream
	resultNotRun                 // the upstream states that it did not run it
	resultFailed                 // it ran, or may have
	resultGone                   // the caller left, or the time is over
	resultRefused                // nobody lets it begin
	resultDeclined               // another upstream is better by now
)

// run sends the request until it has its answer.
func (j *job) run() {
	j.service = j.snap.Plan.Service(paths.PickService(j.route, j.id))
	if j.service == nil {
		j.refuse(magno.Refuse(magno.KindNoUpstream, "the route's service isn't configured").Later(goneAfter))
		return
	}
	if j.Suspects.MustRefuse(j.print) {
		j.refuse(magno.Refuse(magno.KindSuspect, "requests like it crashed upstreams"))
		return
	}
	ctx, cancel := context.WithTimeout(j.r.Context(), (j.end - j.Clock.Now()).Span())
	defer cancel()
	if refusal := j.take(ctx); refusal != nil {
		j.refusal = refusal
		j.finish(resultRefused)
		return
	}
	defer j.give()
	j.Pools.CountRequest(j.service.Name)
	for {
		res := j.attempt(ctx)
		if res == resultDone || !j.again(ctx, res) {
			j.finish(res)
			return
		}
	}
}

// again tells whether the request may be sent once more after res.
func (j *job) again(ctx context.Context, res result) bool {
	if ctx.Err() != nil || j.end-j.Clock.Now() < leastRun/2 {
		return false
	}
	switch res {
	case resultUnsent:
		return len(j.avoid) < mostChoices
	case resultNotRun:
		return len(j.avoid) < mostChoices && j.Pools.AllowRetry(j.service.Name)
	case resultFailed:
		return j.route.Repeatable() && j.runs < j.route.Attempts && j.Pools.AllowRetry(j.service.Name)
	}
	return false
}

// finish gives the final answer when no upstream's could be had.
func (j *job) finish(res result) {
	gone := j.r.Context().Err() != nil
	switch {
	case res == resultDone:
	case gone:
		j.note(0, "cancelled", "the caller left")
	case j.started:
		j.note(http.StatusOK, "interrupted", "the stream broke off")
		panic(http.ErrAbortHandler) // it must not look complete
	case j.failure != nil:
		j.failure.pass(j)
	case j.Clock.Now() >= j.end-1:
		j.refuse(j.expired())
	case j.refusal != nil && !j.ran:
		j.refuse(j.refusal)
	case !j.ran:
		j.refuse(magno.Refuse(magno.KindBusy, "no upstream took it").Later(busyAfter))
	default:
		j.refuse(magno.Refuse(magno.KindUnknown, "the upstream's answer was lost"))
	}
}

// expired is the answer when the route's time is over.
func (j *job) expired() *magno.Refusal {
	if j.ran {
		return magno.Refuse(magno.KindDeadline, "its time is over")
	}
	return magno.Refuse(magno.KindBusy, "its time was over before it could begin").Later(busyAfter)
}

// attempt chooses a replica, gets a permit and sends the request once.
func (j *job) attempt(ctx context.Context) result {
	choice := j.choose()
	if len(choice.replicas) == 0 {
		j.refusal = magno.Refuse(magno.KindNoUpstream, "no upstream of %s is there", j.service.Name).Later(goneAfter)
		return resultRefused
	}
	if j.service.Engine == nil {
		return j.plain(ctx, choice.replicas[0])
	}
	return j.best(ctx, choice)
}

func (j *job) query() magno.Query {
	return magno.Query{Ref: j.ref(), Prefix: j.call.Prefix, Aim: j.route.Aim, Gap: j.route.Gap, Avoid: j.avoid}
}

// ref names what an engine must hold.
func (j *job) ref() magno.Ref {
	if j.service.Engine == nil {
		return magno.Ref{}
	}
	return magno.Ref{Adapter: gate.QualifiedName(j.call.Model, j.call.Adapter)}
}

// replicas finds the incarnations that a router named.
func (j *job) replicas(names []string) []*magno.Replica {
	snap := j.Book.Now()
	list := make([]*magno.Replica, 0, len(names))
	for _, name := range names {
		if r := snap.Find(name); r != nil && !r.Leaving {
			list = append(list, r)
		}
	}
	return list
}

// plain sends to a plain service, which needs no permit.
func (j *job) plain(ctx context.Context, r *magno.Replica) result {
	router := j.Pools.Router(j.service.Name)
	router.Sent(r.Key(), plainWork)
	from := j.Clock.Now()
	res := j.send(ctx, r, 0)
	router.Ended(r.Key(), plainWork, j.Clock.Now()-from, res != resultUnsent && res != resultFailed)
	router.Report(r.Key(), magno.Backlog{})
	return res
}
