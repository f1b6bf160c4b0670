// Package plain calls a plain service: one HTTP request, one answer. Some calls may not
// be repeated, so a call whose answer was lost has an unknown outcome and isn't retried
// here.
package plain

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fetch"
	"magnoliastall.example/magno/model"
)

// Limits on a service's answer, in bytes.
const (
	maxAnswerBytes = 1 << 20
	maxErrorBytes  = 4 << 10 // of an error's body that are kept
	maxHeaderBytes = 16 << 10
)

// Upstream is a plain service as its agent sees it. It implements magno.Upstream; loads
// and unloads of adapters do nothing.
type Upstream struct {
	// Address is the service's IP and port.
	Address string
	Client  *http.Client

	model.Notices
}

func init() {
	magno.Register(magno.PluginUpstream, string(magno.PoolPlain), func() any { return &Upstream{} })
}

// SetAddress sets the service's address and ignores the fence.
func (p *Upstream) SetAddress(address string, _ int64) {
	p.Address = address
	p.Client = &http.Client{CheckRedirect: model.NewClient().CheckRedirect, Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// When the service has closed a connection that is reused, it is unknown
		// whether the call arrived. A new connection for each call avoids that.
		DisableKeepAlives: true,
	}}
}

// Run makes the call. Once a connection was made, a transport error means that the call
// may have run.
func (p *Upstream) Run(ctx context.Context, w magno.Work, emit func(magno.Piece)) (magno.Result, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + p.Address + "/call/" + strings.TrimPrefix(w.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(w.Body))
	if err != nil {
		return magno.Result{}, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", w.ContentType)
	req.Header.Set("X-Request-Id", w.Job.ID)
	sentAt := p.Now()
	resp, err := p.Client.Do(req)
	if err != nil {
		return magno.Result{}, transportError(written.Load(), err)
	}
	defer resp.Body.Close()
	p.Pass(resp, sentAt)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return magno.Result{}, transportError(true, err)
	}
	if resp.StatusCode != http.StatusOK {
		return magno.Result{}, statusError(resp.StatusCode, string(body[:min(len(body), maxErrorBytes)]))
	}
	if len(body) > maxAnswerBytes {
		return magno.Result{}, magno.Refuse(magno.KindFailed, "the upstream's answer is over %d bytes", maxAnswerBytes)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// The answer ends with the connection, so a truncated one looks the same as a
		// whole one.
		return magno.Result{}, magno.Refuse(magno.KindInterrupted, "the upstream's answer doesn't say where it ends")
	}
	emit(magno.Piece{Text: string(body), Tokens: 1})
	return magno.Result{Text: string(body), ContentType: resp.Header.Get("Content-Type"), Output: 1}, nil
}

func transportError(written bool, err error) error {
	if !written {
		return magno.Refuse(magno.KindNoUpstream, "the upstream can't be reached: %v", err)
	}
	return magno.Refuse(magno.KindUnknown, "the upstream's answer was lost: %v", err)
}

func statusError(status int, body string) error {
	switch status {
	case http.StatusTooManyRequests:
		return magno.Refuse(magno.KindBusy, "the upstream answered %d: %s", status, body)
	case http.StatusBadRequest, http.StatusNotFound:
		return magno.Refuse(magno.KindMalformed, "the upstream answered %d: %s", status, body).WithRun(magno.RunUnknown)
	case http.StatusServiceUnavailable:
		return magno.Refuse(magno.KindUnknown, "the upstream answered %d: %s", status, body)
	}
	return magno.Refuse(magno.KindFailed, "the upstream answered %d: %s", status, body).WithRun(magno.RunUnknown)
}

// Load does nothing.
func (p *Upstream) Load(context.Context, magno.Ref, int64) error { return nil }

// Unload does nothing.
func (p *Upstream) Unload(context.Context, magno.Ref, int64) error { return nil }

// Probe reads the service's report.
func (p *Upstream) Probe(ctx context.Context) (magno.Probe, error) {
	var r struct {
		Boot  int64 `json:"boot"`
		Batch int   `json:"batch"`
	}
	if err := fetch.JSON(ctx, p.Client, "http://"+p.Address+"/report", maxAnswerBytes, &r); err != nil {
		return magno.Probe{}, err
	}
	return magno.Probe{Boot: r.Boot, Limits: magno.Limits{Slots: 1, Batch: r.Batch, Tokens: r.Batch, Step: 5}}, nil
}
