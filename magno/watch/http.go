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

// maxRetryAfter limits the wait that the service can request with Retry-After.
const maxRetryAfter = 30 * magno.Second

// rateLimitError means that the service answered 429.
type rateLimitError struct {
	wait magno.Millis
}

// Error implements error.
func (e *rateLimitError) Error() string {
	return fmt.Sprintf("rate limit of the service exceeded; retry after %d ms", e.wait)
}

// get reads a path. It returns the body and the service's revision, which is zero if the
// response has none.
func (r *Reader) get(ctx context.Context, path string) ([]byte, int64, error) {
	if err := r.limiter.Wait(ctx); err != nil {
		return nil, 0, err
	}
	r.reads.Inc()
	answer, err := fetch.Get(ctx, r.Client, r.URL+path, check.MaxShardBytes+1)
	r.bytes.Add(len(answer.Body))
	switch {
	case answer.Status == http.StatusTooManyRequests:
		return nil, 0, &rateLimitError{wait: parseRetryAfter(answer.Header)}
	case err == nil && answer.Status != http.StatusOK:
		return nil, 0, fmt.Errorf("GET %s: status %d", path, answer.Status)
	case err != nil:
		return nil, 0, err
	}
	// An oversized shard is passed on, so that the check rejects its version.
	revision, _ := strconv.ParseInt(answer.Header.Get("X-Revision"), 10, 64)
	return answer.Body, revision, nil
}

// parseRetryAfter returns the wait requested by the service, one second by default.
func parseRetryAfter(header http.Header) magno.Millis {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return magno.Second
	}
	return min(magno.Millis(seconds)*magno.Second, maxRetryAfter)
}
