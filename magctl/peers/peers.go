// Package peers reads the administration APIs of many processes at once.
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

// Limits of reading.
const (
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 16 << 20 // bytes
	maxConcurrent    = 32       // processes read at once
)

// Peers are the processes of a fleet.
type Fleet struct {
	// Addresses are those of the administration APIs, IP and port.
	Addresses []string
}

// Answer is what one process gave.
type Response struct {
	Address string
	// Body is set unless Err is.
	Body []byte
	Err  error
}

// Load reads a fleet file, {"admins": ["IP:PORT", ...]} in JSON with comments,
// or takes a comma-separated list of addresses.
func Load(file, list string) (*Fleet, error) {
	if list != "" {
		return &Fleet{Addresses: strings.Split(list, ",")}, nil
	}
	if file == "" {
		return nil, errors.New("neither -fleet nor -admin says which processes to ask")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parse(file, data)
}

// parse reads a fleet file's text.
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
		return nil, errors.Newf("%s: admins: lists no process", file)
	}
	return &Fleet{Addresses: f.Admins}, nil
}

// Get asks every process for path and returns the answers in the order of
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
