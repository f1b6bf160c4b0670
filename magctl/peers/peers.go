// Package peers queries the administration APIs of all processes concurrently.
package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"magnoliastall.example/magno/fetch"
)

// Limits of requests.
const (
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 16 << 20 // of one response
	maxConcurrent    = 32       // concurrent requests
)

// Fleet has the processes to query.
type Fleet struct {
	// Addresses are the addresses of the administration APIs, IP:PORT.
	Addresses []string
}

// Response is the response of one process.
type Response struct {
	Address string
	// Body is set if Err is nil.
	Body []byte
	Err  error
}

// Load returns the fleet of a comma-separated list of addresses, or else of a fleet
// file, {"admins": ["IP:PORT", ...]} in JSON with comments.
func Load(file, list string) (*Fleet, error) {
	if list != "" {
		return &Fleet{Addresses: strings.Split(list, ",")}, nil
	}
	if file == "" {
		return nil, errors.New("no processes given: set -fleet or -admin")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parse(file, data)
}

// parse decodes a fleet file.
func parse(file string, data []byte) (*Fleet, error) {
	text, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	var f struct {
		Admins []string `json:"admins"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, errors.Wrap(err, file)
	}
	if len(f.Admins) == 0 {
		return nil, errors.Newf("%s: admins: must list at least one process", file)
	}
	return &Fleet{Addresses: f.Admins}, nil
}

// Get requests path from every process and returns the responses in the order of
// Addresses.
func (f *Fleet) Get(ctx context.Context, path string) []Response {
	responses := make([]Response, len(f.Addresses))
	sem := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	for i, address := range f.Addresses {
		wg.Add(1)
		sem <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-sem }()
			body, err := get(ctx, "http://"+address+path)
			responses[i] = Response{Address: address, Body: body, Err: err}
		}()
	}
	wg.Wait()
	return responses
}

func get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := fetch.Get(ctx, http.DefaultClient, url, maxResponseBytes)
	if err == nil {
		err = resp.OK()
	}
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}
