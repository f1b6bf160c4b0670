package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
	"magnoliastall.example/stand/wait"
)

// maxWeightBytes limits how much of the weights of an adapter is read.
const maxWeightBytes = 1 << 20

var errRestarted = errors.New("engine restarted")

// fail ends a load that is in progress.
func (s *slot) fail(err error) {
	if s.loaded || s.err != nil {
		return
	}
	s.err = err
	close(s.done)
}

// checkFence rejects a fencing token that is lower than one seen before. The
// caller holds mu.
func (e *Engine) checkFence(fence int64) error {
	if _, ignored := e.faults.Active(fault.IgnoreFence, ""); ignored {
		return nil
	}
	if fence < e.fence {
		return echo.NewHTTPError(http.StatusPreconditionFailed, fmt.Sprintf("fence: %d is older than %d", fence, e.fence))
	}
	e.fence = fence
	return nil
}

// loadAdapter loads an adapter into a slot and waits until the load ends. A
// second request for the same adapter waits for the first load.
func (e *Engine) loadAdapter(ctx context.Context, req adapterRequest) error {
	s, first, err := e.reserveSlot(req)
	if err != nil {
		return err
	}
	if first {
		// The load continues when its caller disconnects: the slot is already
		// reserved, and cancelling the load would leave its state unknown.
		go e.fillSlot(s.bootCtx, req.Name, s)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
	}
	if errors.Is(s.err, errRestarted) {
		return serve.ErrAborted
	}
	if s.err != nil {
		return echo.NewHTTPError(http.StatusFailedDependency, s.err.Error())
	}
	return nil
}

// reserveSlot reserves a slot. first is true when the caller has to fill it.
func (e *Engine) reserveSlot(req adapterRequest) (s *slot, first bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(req.Fence); err != nil {
		return nil, false, err
	}
	if s := e.slots[req.Name]; s != nil {
		return s, false, nil
	}
	if len(e.slots) >= e.AdapterSlots {
		return nil, false, echo.NewHTTPError(http.StatusConflict, "no slot is free")
	}
	s = &slot{done: make(chan struct{}), bootCtx: e.bootCtx}
	e.slots[req.Name] = s
	return s, true, nil
}

// fillSlot loads a slot from the weight store and closes s.done at the end.
func (e *Engine) fillSlot(ctx context.Context, name string, s *slot) {
	err := e.fetchWeights(ctx, name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.err != nil {
		// The engine restarted meanwhile and has dropped the slot.
		return
	}
	if err != nil {
		delete(e.slots, name)
		s.fail(err)
		return
	}
	s.loaded = true
	close(s.done)
	e.loadedNames = append(slices.Clone(e.loadedNames), name)
	slices.Sort(e.loadedNames)
	e.recordReport()
}

func (e *Engine) fetchWeights(ctx context.Context, name string) error {
	if e.StoreURL == "" {
		return wait.Until(ctx, e.Clock, e.Clock.Now()+e.LoadTime)
	}
	adapter, version, _ := strings.Cut(name, "@")
	path := e.StoreURL + "/v1/weights/" + url.PathEscape(adapter) + "/" + url.PathEscape(version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWeightBytes)); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: %s", resp.Status)
	}
	return nil
}

// unloadAdapter removes an unused adapter. Unloading an adapter that has no
// slot succeeds.
func (e *Engine) unloadAdapter(req adapterRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(req.Fence); err != nil {
		return err
	}
	s := e.slots[req.Name]
	if s == nil {
		return nil
	}
	if s.refs > 0 || !s.loaded {
		return echo.NewHTTPError(http.StatusConflict, "the adapter is in use")
	}
	delete(e.slots, req.Name)
	e.loadedNames = slices.DeleteFunc(slices.Clone(e.loadedNames), func(name string) bool { return name == req.Name })
	e.recordReport()
	return nil
}
