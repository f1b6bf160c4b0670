// Package fetch reads one URL within a limit. Whoever answers decides how long
// the answer is; without the limit a broken service fills its reader's memory.
package fetch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// errorLimit is how many bytes of an answer an error quotes.
const errorLimit = 200

// Answer is what a server gave.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Cut is true when Body is not all of it.
	Truncated bool
}

// Get reads url, most bytes of its body at most. The error means that no
// answer came, or that it broke off; any status is an answer.
func Get(ctx context.Context, client *http.Client, url string, most int) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Response{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	answer := Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Truncated: len(body) > most}
	if answer.Truncated {
		answer.Body = body[:most]
	}
	return answer, err
}

// OK returns an error unless the answer is whole and its status 200.
func (a Response) OK() error {
	if a.Status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.Status, strings.TrimSpace(string(a.Body[:min(len(a.Body), errorLimit)])))
	}
	if a.Truncated {
		return fmt.Errorf("the answer is over %d bytes", len(a.Body))
	}
	return nil
}

// JSON reads url into a value.
func JSON(ctx context.Context, client *http.Client, url string, most int, into any) error {
	answer, err := Get(ctx, client, url, most)
	if err == nil {
		err = answer.OK()
	}
	if err != nil {
		return fmt.Errorf("GET %s: %w", url, err)
	}
	return json.Unmarshal(answer.Body, into)
}
