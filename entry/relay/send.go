package relay

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/caller"
	"magnoliastall.example/magno/queue"
)

const (
	// maxResponseSize bounds a response that is held in memory, in bytes.
	maxResponseSize = 16 << 20
	// headTimeoutAims bounds the time until the first of several upstreams responds to an
	// idempotent request, as a multiple of the route's aim and at least minHeadTimeout.
	// Otherwise an upstream that hangs would use up the whole timeout.
	headTimeoutAims = 4
	minHeadTimeout  = 400 * magno.Millis(1)
	// minPlainTime is the least time that must be left when a request is sent to a plain service: a round
	// trip between two data centres. For routes with a shorter timeout it is a part of that.
	minPlainTime    = 20 * magno.Millis(1)
	minPlainDivisor = 4
	// pastDeadline is a connection deadline in the past, as Unix time: it aborts pending reads
	// and writes.
	pastDeadline = 1
)

// send sends the request to one replica and forwards the response.
func (j *job) send(ctx context.Context, r *magno.Replica, urgency int) result {
	key := r.Key()
	j.lastReplica, j.lastAddress = key, r.Address
	if refusal := j.checkSuspect(); refusal != nil {
		// Upstreams ended under it while it waited or was sent before.
		j.refusal = refusal
		return resultRefused
	}
	if now := j.Book.Current().Find(key); now != nil {
		r = now // it may have another build by now
	}
	j.buildKnown = j.isListed(r)
	if !j.fits(r) || (j.requiredBuild() != "" && !j.buildKnown) {
		j.deferRefusal(magno.Refuse(magno.KindNoUpstream, "the upstream's build isn't %s", j.requiredBuild()).WithRetryAfter(noReplicaRetryAfter))
		j.tried = append(j.tried, key)
		return resultUnsent
	}
	conn, err := j.Conns.Get(ctx, key, r.Address)
	if err != nil {
		return j.connectFailed(ctx, key, err)
	}
	if res := j.maySendNow(ctx, key); res != resultDone {
		_ = conn.Close()
		return res
	}
	j.stopAbort = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(pastDeadline, 0)) })
	defer j.stopAbort()
	conn.OnTimeout = func() bool { return j.awaitsAnswer(ctx, conn) }
	j.connOpenedAt = conn.OpenedAt
	j.tried = append(j.tried, key)
	j.sends++
	j.sentAt, j.sendNumber = j.Clock.Now(), j.sendCount.Add(1)
	before := j.unanswered
	j.recordArrival()
	j.setRetryLimit(ctx, conn, j.headTimeout())
	if err := conn.Send(j.upstreamRequest(r, urgency)); err != nil {
		j.abort(conn)
		if !errors.Is(err, hop.ErrSent) {
			j.retractArrival(before)
			j.logTry("send", err)
			return j.abortedOr(ctx, resultUnsent)
		}
		j.noteSilence(ctx, err)
		return j.connectionFailed(ctx, r, err)
	}
	res, err := j.receiveHead(ctx, conn)
	if err != nil {
		j.noteSilence(ctx, err)
		j.abort(conn)
		return j.connectionFailed(ctx, r, err)
	}
	return j.recordTime(j.handleResponse(ctx, r, conn, res))
}

// connectFailed handles an upstream to which no connection could be had.
func (j *job) connectFailed(ctx context.Context, key string, err error) result {
	j.logTry("connect", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		j.refusesConnections(key)
	}
	j.tried = append(j.tried, key)
	if j.service.Engine != nil && ctx.Err() == nil {
		j.Permits.ReportUnreachable(key)
	}
	return j.abortedOr(ctx, resultUnsent)
}

// maySendNow is maySend, but first refuses a request that is in doubt while another one is tried, and one with too
// little time left for an answer before its deadline or the end of this process, and aborts one whose caller has left.
func (j *job) maySendNow(ctx context.Context, key string) result {
	if refusal := j.askToSend(ctx); refusal != nil {
		j.refusal = refusal
		return resultRefused
	}
	if caller.Left(j.r.Context()) {
		return resultAborted
	}
	if !j.headSent && !j.endsBeforeExit() {
		j.deferRefusal(refuseLeaving())
		return resultRefused
	}
	if ctx.Err() != nil || j.deadline-j.Clock.Now() < j.minTimeLeft() {
		j.deferRefusal(j.deadlineRefusal())
		return resultRefused
	}
	return j.maySend(key)
}

// maySend is called right before the request is sent. The result is resultDone if it may be.
func (j *job) maySend(key string) result {
	if j.Book.Current().Find(key) == nil {
		// The list names another incarnation there by now, or none.
		j.deferRefusal(magno.Refuse(magno.KindNoUpstream, "the upstream is no longer listed").WithRetryAfter(noReplicaRetryAfter))
		j.tried = append(j.tried, key)
		return resultUnsent
	}
	if !j.spendRetry() {
		return resultRefused
	}
	return resultDone
}

// minTimeLeft returns the time that must be left when the request is sent. With less there would be no
// answer in time, and the caller could no longer be told that the request has not run.
func (j *job) minTimeLeft() magno.Millis {
	switch {
	case j.service.Engine != nil:
		return minRunTime / 2
	case j.route.Timeout > 0:
		return min(minPlainTime, j.route.Timeout/minPlainDivisor)
	}
	return minPlainTime
}

// putConn returns a connection to the pool after its response was read. If the end of the request's
// context has begun to abort it, it is closed instead: the deadline that this sets in the past would
// break the answer of the next request.
func (j *job) putConn(conn *hop.Conn, res *http.Response) {
	if !j.stopAbort() || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	j.Conns.Put(conn, res)
}

// recordArrival records that the upstream may have received the request, and may run it.
func (j *job) recordArrival() {
	j.arrived, j.unanswered = true, ""
	j.begunAt, j.underWay = 0, false
	j.silent, j.responding = false, false
	j.arrivals++
	j.resent = j.arrivals > 1
	j.mayHaveRun = true
	j.runs++
}

// retractArrival takes recordArrival back: nothing of the request was written. Unanswered is as before it.
func (j *job) retractArrival(unanswered string) {
	j.arrivals--
	j.arrived, j.unanswered = j.arrivals > 0, unanswered
	j.retractRun()
}

// retractRun takes back a run of recordArrival: the last upstream did not run the request.
func (j *job) retractRun() {
	j.runs--
	j.mayHaveRun = j.runs > 0
}

// abortedOr returns res, or resultAborted if the caller is gone or the deadline has passed.
func (j *job) abortedOr(ctx context.Context, res result) result {
	if ctx.Err() != nil {
		return resultAborted
	}
	return res
}

// connectionFailed handles a connection that failed after the request was sent.
func (j *job) connectionFailed(ctx context.Context, r *magno.Replica, err error) result {
	if ctx.Err() != nil {
		if j.silent && j.race.hasLost(j.racer) {
			j.logTry("silent", err)
			j.checkEnded(r)
			return resultSuperseded
		}
		j.noteCancelled(r)
		return resultAborted
	}
	j.logTry("broken", err)
	j.checkEnded(r)
	return resultFailed
}

// logTry logs why a send did not lead to a response.
func (j *job) logTry(step string, err error) {
	now := j.Clock.Now()
	j.lastTry = fmt.Sprintf("%s: %v", step, err)
	j.Log.Info("try", "request", j.id, "replica", j.lastReplica, "step", step, "tries", j.sends, "error", err, "after", now-j.sentAt, "left", j.deadline-now)
}

// upstreamRequest returns the request to send to the upstream.
func (j *job) upstreamRequest(r *magno.Replica, urgency int) *hop.Request {
	h := make(http.Header, len(j.r.Header)+4)
	copyHeader(h, j.r.Header)
	j.Dialect.Write(h, magno.ForwardInfo{
		Replica: r.ID, Left: j.deadline - j.Clock.Now(), Urgency: min(max(urgency, 0), 9), From: j.lastEvent,
		Customer: j.customerName(), Keyed: len(j.snap.Plan.Customers) > 0,
	})
	return &hop.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}

// headTimeout returns the time after which another upstream is tried, if one may be.
func (j *job) headTimeout() magno.Millis {
	return max(headTimeoutAims*j.route.Aim, minHeadTimeout)
}

// receiveHead reads the header of the response, with a shorter timeout if another upstream may
// be tried.
func (j *job) receiveHead(ctx context.Context, conn *hop.Conn) (*http.Response, error) {
	j.setRetryLimit(ctx, conn, j.headTimeout())
	res, err := conn.Receive(j.r.Method, func(res *http.Response) bool {
		id := j.Dialect.Reply(res.StatusCode, res.Header).ID
		return id == j.id || id == ""
	})
	if err == nil {
		setDeadline(ctx, conn, time.Time{})
	}
	return res, err
}

// setLimit bounds the time for which nothing is written to or read from the upstream, so that another one can be tried.
func (j *job) setLimit(ctx context.Context, conn *hop.Conn, limit magno.Millis) {
	j.readLimit = limit
	// At least a millisecond, as the context may end a little later than the deadline.
	setDeadline(ctx, conn, time.Now().Add(max(min(limit, j.deadline-j.Clock.Now()), 1).Duration()))
}

// setRetryLimit is setLimit if another upstream may be tried after the limit. There is none otherwise.
func (j *job) setRetryLimit(ctx context.Context, conn *hop.Conn, limit magno.Millis) {
	if !j.canRetryElsewhere() {
		setDeadline(ctx, conn, time.Time{})
		return
	}
	j.setLimit(ctx, conn, limit)
}

// setDeadline sets the deadline of reads and writes. The end of ctx, which aborts them by a deadline too,
// must not be undone.
func setDeadline(ctx context.Context, conn *hop.Conn, t time.Time) {
	_ = conn.SetDeadline(t)
	if ctx.Err() != nil {
		_ = conn.SetDeadline(time.Unix(pastDeadline, 0))
	}
}

// canRetryElsewhere reports whether another upstream could be tried after this one.
func (j *job) canRetryElsewhere() bool {
	return j.route.Repeatable() && j.runs < j.route.Attempts && (j.events == 0 || j.began != nil)
}

// handleResponse handles a response whose header was read.
func (j *job) handleResponse(ctx context.Context, r *magno.Replica, conn *hop.Conn, res *http.Response) result {
	reply := j.Dialect.Reply(res.StatusCode, res.Header)
	j.recordNotice(r.Key(), &reply)
	if reply.ID == j.id {
		j.responding = true
		j.Pools.Answered(j.service.Name, r.Key())
	}
	if reply.Signed && reply.ID == j.id {
		j.answeredSince(r.Key(), j.sendNumber)
	}
	if j.route.Kind == magno.RouteStream && res.StatusCode == http.StatusOK && j.authentic(res, &reply) {
		return j.forwardStream(ctx, r, conn, res)
	}
	body, err := j.readResponse(ctx, res)
	if err != nil {
		j.abort(conn)
		return j.connectionFailed(ctx, r, err)
	}
	if reply.Misrouted { // another incarnation is there
		_ = conn.Close()
		j.Conns.SetEnded(r.Key())
	} else {
		j.putConn(conn, res)
	}
	switch {
	case reply.NotRun:
		j.retractRun()
		j.logTry("notrun", errors.Newf("status %d", res.StatusCode))
		return resultNotRun
	case reply.ID != j.id || (res.StatusCode < http.StatusMultipleChoices && !j.authentic(res, &reply)):
		return j.connectionFailed(ctx, r, errors.Newf("status %d without the request's id or the upstream's signature", res.StatusCode))
	}
	a := &response{status: res.StatusCode, header: res.Header, body: body}
	if j.failed(res.StatusCode) {
		j.failure = a
		j.logTry("failed", errors.Newf("status %d", res.StatusCode))
		if j.authentic(res, &reply) {
			j.endTurn(queue.Result{OK: true}) // the upstream works, though this request failed
		}
		return resultFailed
	}
	j.Suspects.Clear(j.prints...)
	j.endTurn(queue.Result{OK: true})
	if !j.claim() {
		return resultAborted
	}
	a.forward(j)
	return resultDone
}
