package relay

import "magnoliastall.example/magno"

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
		if j.Pools.SpendRetry(j.service.Name) {
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
