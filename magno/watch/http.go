package watch

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
	"magnoliastall.example/magno/fetch"
)

// maxWait bounds what a service may ask with Retry-After.
const maxWait = 30 * magno.Second

// busyError means that the service is over its rate.
type busyError struct {
	after magno.Millis
}

// Error tells how long to wait.
func (e *busyError) Error() string {
	return fmt.Sprintf("the service is over its rate; wait %d ms", e.after)
}

// get reads a path, with the service's revision where the answer has one.
func (r *Reader) get(ctx context.Context, path string) ([]byte, int64, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return nil, 0, err
	}
	r.reads.Inc()
	answer, err := fetch.Get(ctx, r.Client, r.URL+path, check.MaxShardBytes+1)
	r.bytes.Add(len(answer.Body))
	switch {
	case answer.Status == http.StatusTooManyRequests:
		return nil, 0, &busyError{after: retryAfter(answer.Header)}
	case err == nil && answer.Status != http.StatusOK:
		return nil, 0, fmt.Errorf("GET %s: status %d", path, answer.Status)
	case err != nil:
		return nil, 0, err
	}
	// A shard over the limit goes on, for the check to refuse its version.
	revision, _ := strconv.ParseInt(answer.Header.Get("X-Revision"), 10, 64)
	return answer.Body, revision, nil
}

// retryAfter returns what the service asks for, a second by default.
func retryAfter(header http.Header) magno.Millis {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return magno.Second
	}
	return min(magno.Millis(seconds)*magno.Second, maxWait)
}
