package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// response is a complete response of an upstream.
type response struct {
	status int
	header http.Header
	// body is in blocks, one after the other.
	body [][]byte
}

// failed reports whether a whole response is a failure. Behind events there is no place for any, and what one upstream
// rejects another one may still answer.
func (j *job) failed(status int) bool {
	return j.headSent || status >= http.StatusInternalServerError || promisesNotRun(status) || (j.hedged && status >= http.StatusMultipleChoices)
}

// readResponse reads a response that isn't streamed. It waits until there is memory for one
// that states its length; memory is released as other responses are forwarded.
func (j *job) readResponse(ctx context.Context, res *http.Response) ([][]byte, error) {
	j.responseMem.release() // reserved by an earlier attempt
	if res.ContentLength > maxResponseSize {
		return nil, errors.Newf("response of %d bytes is too large", res.ContentLength)
	}
	if err := j.responseMem.acquire(ctx, max(res.ContentLength, 0)); err != nil {
		return nil, err
	}
	body, err := j.responseMem.readBlocks(res.Body, res.ContentLength, maxResponseSize)
	if err == nil && sizeOf(body) > maxResponseSize {
		err = errors.Newf("response is larger than %d bytes", maxResponseSize)
	}
	return body, err
}

// authentic reports whether a successful response is signed by the upstream and belongs to this
// request.
func (j *job) authentic(res *http.Response, reply *magno.Reply) bool {
	return reply.ID == j.id && reply.Signed && res.Header.Get("Content-Encoding") == ""
}

// forward sends an upstream's response to the caller. If its status would guarantee that the
// request has not run, though it may have, the caller gets a plain failure instead.
func (a *response) forward(j *job) {
	if promisesNotRun(a.status) {
		j.refuse(magno.Refuse(magno.KindFailed, "the upstream answered %d without stating that it did not run", a.status))
		return
	}
	h := j.w.Header()
	copyHeader(h, a.header)
	disableSniffing(h)
	j.setConnectionClose(h)
	h.Set("Content-Length", strconv.Itoa(sizeOf(a.body)))
	j.w.WriteHeader(a.status)
	outcome := "served"
	if a.status >= http.StatusInternalServerError {
		outcome = "failed"
	}
	for _, block := range a.body {
		if _, err := j.w.Write(block); err != nil {
			outcome = "cancelled"
			break
		}
	}
	j.logOutcome(a.status, outcome, "")
}

// disableSniffing prevents net/http from guessing a content type where the upstream sent none.
func disableSniffing(h http.Header) {
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
}

// hopByHopHeaders apply to a single connection and aren't forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// copyHeader copies a header without hop-by-hop fields: those in hopByHopHeaders and those
// listed in the Connection field.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}
