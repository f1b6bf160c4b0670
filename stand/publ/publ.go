// Package publ is a client of the administration APIs of the simulated services.
// It publishes configurations and instance lists, as operators of the platform do,
// and activates faults. The system itself never writes to the platform.
//
//	Publisher --PUT shards, then index--> configuration service
//	          --PUT instances-----------> instance list
package publ

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/pack"
)

// requestTimeout limits one request.
const requestTimeout = 5 * time.Second

// Publisher publishes files. Its fields must be set before use.
type Publisher struct {
	// ConfURL and ListURL are the URLs of the administration APIs of the
	// configuration service and the instance list.
	ConfURL string
	ListURL string
}

// PublishConfig publishes the full configuration in file and returns its version.
func (p *Publisher) PublishConfig(ctx context.Context, file string) (int64, error) {
	cfg, err := ReadConfig(file)
	if err != nil {
		return 0, err
	}
	values, err := pack.Pack(*cfg)
	if err != nil {
		return 0, err
	}
	for _, v := range values {
		if err := put(ctx, p.ConfURL+"/v1/value/"+v.Key, v.Data); err != nil {
			return 0, err
		}
	}
	return cfg.Version, nil
}

// ReadConfig reads a configuration in JSON with comments.
func ReadConfig(file string) (*magno.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	text, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	cfg := &magno.Config{}
	if err := json.Unmarshal(text, cfg); err != nil {
		return nil, errors.Wrap(err, file)
	}
	return cfg, nil
}

// PublishInstances publishes the instance list in file.
func (p *Publisher) PublishInstances(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return put(ctx, p.ListURL+"/v1/instances", data)
}

// SetFault sends a fault spec to the administration API at url.
func SetFault(ctx context.Context, url string, spec []byte) error {
	return send(ctx, http.MethodPost, url+"/fault", spec)
}

func put(ctx context.Context, url string, data []byte) error {
	return send(ctx, http.MethodPut, url, data)
}

func send(ctx context.Context, method, url string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return nil
}
