package relay

import (
	"net/http"

	"magnoliastall.example/magno"
)

// finish sends the final response if none of an upstream was forwarded.
func (j *job) finish(res result) {
	callerGone := j.r.Context().Err() != nil
	switch {
	case res == resultDone:
	case callerGone:
		j.logOutcome(0, "cancelled", "the caller left")
		panic(http.ErrAbortHandler) // one that still reads must not get an empty success
	case j.headSent:
		j.logOutcome(http.StatusOK, "interrupted", j.interruption())
		panic(http.ErrAbortHandler) // a truncated stream must not look complete
	case j.failure != nil:
		j.failure.forward(j)
	case j.Clock.Now() >= j.deadline-1:
		j.refuse(j.deadlineRefusal())
	case !j.mayHaveRun && j.exitOver():
		j.refuse(refuseLeaving())
	case j.refusal != nil && !j.mayHaveRun:
		j.refuse(j.refusal)
	case !j.mayHaveRun:
		j.refuse(magno.Refuse(magno.KindBusy, "no upstream took it").WithRetryAfter(j.retryAfter()))
	default:
		j.refuse(magno.Refuse(magno.KindUnknown, "the upstream's answer was lost"))
	}
}

// interruption returns why a stream that has begun can't be completed.
func (j *job) interruption() string {
	if j.Clock.Now() >= j.deadline-1 {
		return "its time is over"
	}
	why := "the last try: " + j.lastTry
	if j.refusal != nil {
		why += ", refused: " + j.refusal.Detail
	}
	return why
}

// retryAfter returns when an upstream of the service will accept requests, including those that
// were tried.
func (j *job) retryAfter() magno.Millis {
	q := j.query()
	q.Avoid = nil
	return max(j.Pools.Router(j.service.Name).Choose(q).RetryAfter, busyRetryAfter)
}

// deadlineRefusal returns the refusal for a request whose deadline has passed.
func (j *job) deadlineRefusal() *magno.Refusal {
	if j.mayHaveRun {
		return magno.Refuse(magno.KindDeadline, "its time is over")
	}
	return magno.Refuse(magno.KindBusy, "its time was over before it could begin").WithRetryAfter(busyRetryAfter)
}
