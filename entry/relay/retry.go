package relay

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// reserveRetry sets one more send aside in the retry budget, unless one is already. It returns false
// if the budget is used up.
func (j *job) reserveRetry() bool {
	if !j.retryReserved {
		j.retryReserved = j.Pools.ReserveRetry(j.service.Name)
	}
	return j.retryReserved
}

// spendRetry is called right before the request is sent. It charges the send to the retry budget if
// the request has reached an upstream before, and returns false if it must not be sent.
func (j *job) spendRetry() bool {
	if !j.arrived {
		return true
	}
	if j.reserveRetry() {
		j.retryReserved = false
		if j.Pools.SpendRetry(j.service.Name, j.unanswered) {
			return true
		}
	}
	j.deferRefusal(magno.Refuse(magno.KindBusy, "the retry budget is used up").WithRetryAfter(busyRetryAfter))
	return false
}

// returnRetry returns the retry that was reserved and not sent, if there is one.
func (j *job) returnRetry() {
	if j.retryReserved {
		j.retryReserved = false
		j.Pools.ReturnRetry(j.service.Name)
	}
}

// noteSilence is called when a send got no sign of its upstream. If the upstream may read the request later, that is
// another arrival of it, whatever became of it elsewhere.
func (j *job) noteSilence(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return // it closed the connection
	}
	j.unanswered = j.lastReplica
	if j.resent {
		j.Pools.RetryUnanswered(j.service.Name, j.lastReplica)
	}
}
