// Package fetch reads a URL with a limit on the size of the response. Without it, a faulty
// server could exhaust the memory of its client.
package fetch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxErrorBytes bounds the part of a response that is quoted in an error.
const maxErrorBytes = 200

// Response is the response of a server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Truncated is true if the response is longer than Body.
	Truncated bool
}

// Get reads url with at most maxBytes of its body. An error means that there was no
// response or that it broke off; a status other than 200 is not an error.
func Get(ctx context.Context, client *http.Client, url string, maxBytes int) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Response{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)+1))
	answer := Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Truncated: len(body) > maxBytes}
	if answer.Truncated {
		answer.Body = body[:maxBytes]
	}
	return answer, err
}

// OK returns an error unless the status is 200 and the response is complete.
func (a Response) OK() error {
	if a.Status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.Status, strings.TrimSpace(string(a.Body[:min(len(a.Body), maxErrorBytes)])))
	}
	if a.Truncated {
		return fmt.Errorf("response exceeds %d bytes", len(a.Body))
	}
	return nil
}

// JSON reads url and decodes its JSON response, of at most maxBytes, into a value.
func JSON(ctx context.Context, client *http.Client, url string, maxBytes int, into any) error {
	answer, err := Get(ctx, client, url, maxBytes)
	if err == nil {
		err = answer.OK()
	}
	if err != nil {
		return fmt.Errorf("GET %s: %w", url, err)
	}
	return json.Unmarshal(answer.Body, into)
}
