package relay

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// errBodyLate marks the error of a body that wasn't complete when its request's time was over.
var errBodyLate = errors.New("the body came too slowly")

// readBodyInTime reads the caller's body up to limit bytes, as long as its request may take.
//
// Load pattern: callers stop within their bodies, or send a byte a second. Each would hold a connection, its goroutine
// and the memory of what has come.
func (j *job) readBodyInTime(limit int64) ([][]byte, error) {
	if j.r.Body == http.NoBody {
		return nil, nil
	}
	due := j.deadline
	if due == 0 { // the route isn't known yet
		due = j.received + defaultTimeout
	}
	control := http.NewResponseController(j.w)
	// Not all writers of tests have a connection.
	_ = control.SetReadDeadline(time.Now().Add(max(due-j.Clock.Now(), 1).Duration()))
	body, err := j.bodyMem.readBlocks(j.r.Body, j.r.ContentLength, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays: what is left of the body isn't waited for before the connection is closed.
		return nil, errors.Mark(err, errBodyLate)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, err
}

// refuseLate returns the refusal of a request whose body didn't come in time: it has not run.
func refuseLate() *magno.Refusal {
	return magno.Refuse(magno.KindBusy, "its time was over before its body was complete").WithRetryAfter(busyRetryAfter)
}

// readBody reads the body, unless it was read while the request waited for the configuration.
func (j *job) readBody() *magno.Refusal {
	limit := int64(defaultMaxBody)
	if plan := j.snap.Plan; plan != nil && plan.Body > 0 {
		limit = plan.Body
	}
	if j.bodyRead {
		return refuseLarge(int64(sizeOf(j.body)), limit)
	}
	if j.r.ContentLength > limit {
		return magno.Refuse(magno.KindTooLarge, "a body of %d bytes", j.r.ContentLength)
	}
	body, err := j.readBodyInTime(limit)
	if errors.Is(err, errBodyLate) {
		j.bodyLate = true
		return refuseLate()
	}
	if errors.Is(err, errNoMemory) {
		return magno.Refuse(magno.KindBusy, "this instance holds as many bodies as it can").WithRetryAfter(busyRetryAfter)
	}
	if err != nil {
		return magno.Refuse(magno.KindMalformed, "the body ended early: %v", err)
	}
	if refusal := refuseLarge(int64(sizeOf(body)), limit); refusal != nil {
		return refusal
	}
	j.body, j.bodyRead = body, true
	return nil
}

// refuseLarge returns the refusal of a body of more than limit bytes, nil for a smaller one.
func refuseLarge(size, limit int64) *magno.Refusal {
	if size <= limit {
		return nil
	}
	return magno.Refuse(magno.KindTooLarge, "a body of over %d bytes", limit)
}
