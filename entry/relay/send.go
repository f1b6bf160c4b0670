package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
)

const (
	// answerLimit bounds an answer that is held in memory.
	answerLimit = 16 << 20
	// firstTry is how long the first of several upstreams may take to answer an
	// idempotent request, in parts of its aim, and at least leastTry. One that
	// hangs would otherwise use up the whole time.
	firstTry = 4
	leastTry = 400 * magno.Millis(1)
	// deadConn is in the past for a connection's deadline: it ends reads and
	// writes that are under way.
	deadConn = 1
)

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to one replica and passes its answer on.
func (j *job) send(ctx context.Context, r *magno.Replica, urgency int) result {
	key := r.Key()
	j.at = key
	conn, err := j.Conns.Get(ctx, key, r.Address)
	if err != nil {
		j.retrying("connect", err)
		j.avoid = append(j.avoid, key)
		if j.service.Engine != nil && ctx.Err() == nil {
			j.Permits.ReportUnreachable(key)
		}
		return j.over(ctx, resultUnsent)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(deadConn, 0)) })
	defer stop()
	j.avoid = append(j.avoid, key)
	j.tries++
	if err := conn.Send(j.request(r, urgency)); err != nil {
		_ = conn.Close()
		if !errors.Is(err, hop.ErrSent) {
			j.retrying("send", err)
			return j.over(ctx, resultUnsent)
		}
		j.mayHaveRun()
		return j.broken(ctx, r, err)
	}
	j.mayHaveRun()
	res, err := j.receive(conn)
	if err != nil {
		_ = conn.Close()
		return j.broken(ctx, r, err)
	}
	return j.answered(ctx, r, conn, res)
}

func (j *job) mayHaveRun() {
	j.ran = true
	j.runs++
}

// notRun takes back that the last upstream may have run the request.
func (j *job) notRun() {
	j.runs--
	j.ran = j.runs > 0
}

// over tells gone from res once the caller left or the time is over.
func (j *job) over(ctx context.Context, res result) result {
	if ctx.Err() != nil {
		return resultGone
	}
	return res
}

// broken is the result of a connection that failed after the request was sent.
func (j *job) broken(ctx context.Context, r *magno.Replica, err error) result {
	if ctx.Err() != nil {
		return resultGone
	}
	j.retrying("broken", err)
	j.suspect(r.Key())
	return resultFailed
}

// retrying logs why a send did not lead to an answer.
func (j *job) retrying(step string, err error) {
	j.Log.Info("try", "request", j.id, "replica", j.at, "step", step, "tries", j.tries, "error", err, "left", j.end-j.Clock.Now())
}

// request is what goes on to the upstream.
func (j *job) request(r *magno.Replica, urgency int) *hop.Request {
	h := make(http.Header, len(j.r.Header)+4)
	copyHeader(h, j.r.Header)
	j.Dialect.Write(h, magno.Onward{
		Replica: r.ID, Left: j.end - j.Clock.Now(), Urgency: min(max(urgency, 0), 9), From: j.last,
		Customer: j.owner(), Keyed: len(j.snap.Plan.Customers) > 0,
	})
	return &hop.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}

// receive reads the head of the answer, within firstTry where another upstream
// may be tried.
func (j *job) receive(conn *hop.Conn) (*http.Response, error) {
	if j.mayGoElsewhere() {
		limit := max(firstTry*j.route.Aim, leastTry)
		_ = conn.SetReadDeadline(time.Now().Add(min(limit, j.end-j.Clock.Now()).Span()))
	}
	res, err := conn.Receive(j.r.Method, func(res *http.Response) bool {
		id := j.Dialect.Reply(res.StatusCode, res.Header).ID
		return id == j.id || id == ""
	})
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{})
	}
	return res, err
}

// mayGoElsewhere tells whether a further upstream could be tried after this one.
func (j *job) mayGoElsewhere() bool {
	return j.route.Repeatable() && j.runs < j.route.Attempts
}

// answered takes the head of an answer.
func (j *job) answered(ctx context.Context, r *magno.Replica, conn *hop.Conn, res *http.Response) result {
	reply := j.Dialect.Reply(res.StatusCode, res.Header)
	if j.route.Kind == magno.KindStream && res.StatusCode == http.StatusOK && j.proper(res, &reply) {
		return j.stream(ctx, r, conn, res)
	}
	body, err := j.readAnswer(ctx, res)
	if err != nil {
		_ = conn.Close()
		return j.broken(ctx, r, err)
	}
	j.Conns.Put(conn, res)
	switch {
	case reply.NotRun:
		j.notRun()
		j.retrying("notrun", errors.Newf("status %d", res.StatusCode))
		return resultNotRun
	case reply.ID != j.id || (res.StatusCode < http.StatusMultipleChoices && !j.proper(res, &reply)):
		return j.broken(ctx, r, errors.Newf("status %d without the upstream's own marks", res.StatusCode))
	}
	a := &answer{status: res.StatusCode, header: res.Header, body: body}
	if res.StatusCode >= http.StatusInternalServerError || promises(res.StatusCode) {
		j.failure = a
		j.retrying("failed", errors.Newf("status %d", res.StatusCode))
		return resultFailed
	}
	a.pass(j)
	return resultDone
}

// readAnswer reads an answer that isn't passed on as it comes. It waits until there is
// room for one that states its length; what others hold is passed on meanwhile.
func (j *job) readAnswer(ctx context.Context, res *http.Response) ([]byte, error) {
	j.answerRoom.free() // that of an earlier attempt
	if res.ContentLength > answerLimit {
		return nil, errors.Newf("an answer of %d bytes", res.ContentLength)
	}
	if err := j.answerRoom.wait(ctx, max(res.ContentLength, 0)); err != nil {
		return nil, err
	}
	body, err := j.answerRoom.read(res.Body, answerLimit)
	if err == nil && len(body) > answerLimit {
		err = errors.Newf("an answer of over %d bytes", answerLimit)
	}
	return body, err
}

// proper tells whether a successful answer is the upstream's own for this
// request.
func (j *job) proper(res *http.Response, reply *magno.Reply) bool {
	return reply.ID == j.id && reply.Signed && res.Header.Get("Content-Encoding") == ""
}

// pass gives an upstream's answer to the caller. One whose status would promise
// that the request has not run, though it may have, becomes a plain failure.
func (a *answer) pass(j *job) {
	if promises(a.status) {
		j.refuse(magno.Refuse(magno.KindFailed, "the upstream answered %d without stating that it did not run", a.status))
		return
	}
	h := j.w.Header()
	copyHeader(h, a.header)
	plainType(h)
	j.closing(h)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	j.w.WriteHeader(a.status)
	outcome := "served"
	if a.status >= http.StatusInternalServerError {
		outcome = "failed"
	}
	if _, err := j.w.Write(a.body); err != nil {
		outcome = "cancelled"
	}
	j.note(a.status, outcome, "")
}

// plainType keeps the library from guessing a type where the upstream named
// none.
func plainType(h http.Header) {
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// copyHeader copies all but what concerns one connection: the headers above, and
// those that Connection names.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}
