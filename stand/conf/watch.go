package conf

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
)

// watchParams are the parameters of a watch.
type watchParams struct {
	after int64
	wait  magno.Millis
}

// parseWatch parses the parameters of a watch; a missing one is zero.
func parseWatch(after, wait string) (watchParams, error) {
	var params watchParams
	var err error
	if after != "" {
		if params.after, err = strconv.ParseInt(after, 10, 64); err != nil || params.after < 0 {
			return params, echo.NewHTTPError(http.StatusBadRequest, "after: is no revision")
		}
	}
	if wait != "" {
		ms, err := strconv.ParseInt(wait, 10, 64)
		if err != nil || ms < 0 {
			return params, echo.NewHTTPError(http.StatusBadRequest, "wait: is no time in milliseconds")
		}
		params.wait = min(magno.Millis(ms), MaxWait)
	}
	return params, nil
}

// watch answers when a key has changed after a revision, or when the wait ends.
func (s *Service) watch(c echo.Context) error {
	params, err := parseWatch(c.QueryParam("after"), c.QueryParam("wait"))
	if err != nil {
		return err
	}
	s.updateCounts(func(n *Counts) { n.Watches++ })
	deadline := s.Clock.Now() + params.wait
	for {
		if s.inOutage() {
			s.updateCounts(func(n *Counts) { n.Failed++ })
			return errOutage()
		}
		resp, changed := s.changesAfter(params.after)
		remaining := deadline - s.Clock.Now()
		if len(resp.Keys) > 0 || remaining <= 0 {
			return c.JSON(http.StatusOK, resp)
		}
		timer := time.NewTimer(s.maxSleep(remaining))
		select {
		case <-c.Request().Context().Done():
			timer.Stop()
			return c.Request().Context().Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// maxSleep returns how long a watch may sleep. On a stale service a change becomes
// visible later than it is made, and nothing wakes the watch then.
func (s *Service) maxSleep(remaining magno.Millis) time.Duration {
	if _, stale := s.faults.Active(fault.Stale, ""); stale {
		return min(remaining.Duration(), stalePollInterval)
	}
	return remaining.Duration()
}

// changesAfter returns the changes after a revision, and a channel that is closed
// at the next change.
func (s *Service) changesAfter(after int64) (WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, keys := s.values.changedSince(s.visibleTime(), after)
	return WatchResponse{Revision: revision, Keys: keys}, s.changed
}
