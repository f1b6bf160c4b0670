package plain

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/fault"
	"magnoliastall.example/stand/serve"
	"magnoliastall.example/stand/wait"
)

// handleCall runs one call. It completes the work even if the caller disconnects,
// as a service that records something would.
func (s *Service) handleCall(c echo.Context) error {
	body, err := serve.ReadBody(c, serve.MaxBodyBytes)
	if err != nil {
		return err
	}
	if err := s.faults.TurnAway(c.Response().Header()); err != nil {
		s.countRefused()
		return err
	}
	name := c.Param("name")
	subject := name + " " + string(body)
	if s.faults.Hit(fault.Fail, subject) {
		s.countRefused()
		return echo.NewHTTPError(http.StatusInternalServerError, "failed before running")
	}
	processCtx, err := s.acquireSlot(c.Request().Context())
	if err != nil {
		s.countRefused()
		return err
	}
	defer func() { <-s.slots }()
	answer := Expect(name, body)
	endsAt := s.Clock.Now() + magno.Millis(float64(s.WorkTime)*s.faults.Slowdown(subject))
	run := s.startRun(Run{ID: c.Request().Header.Get("X-Request-Id"), Call: name, Body: answer.Sum})
	if _, poison := s.faults.Active(fault.Crash, subject); poison {
		s.restart(s.RestartTime)
	}
	// An error means that the service went down during the call.
	completed := wait.Until(processCtx, s.Clock, endsAt) == nil
	s.endRun(run, completed)
	if !completed || s.faults.Hit(fault.Lost, subject) {
		return serve.ErrAborted
	}
	return c.JSON(http.StatusOK, answer)
}

// acquireSlot waits until the call may run. It returns the context of the
// simulated process that runs it; a call that waits while the process dies is
// aborted.
func (s *Service) acquireSlot(ctx context.Context) (context.Context, error) {
	s.mu.Lock()
	processCtx := s.processCtx
	select {
	case s.slots <- struct{}{}: // it doesn't wait, so it can't be one too many
		s.mu.Unlock()
		return processCtx, nil
	default:
	}
	full := s.waiting >= s.QueueLimit
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return nil, echo.NewHTTPError(http.StatusTooManyRequests, "too many calls wait")
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-processCtx.Done():
		return nil, serve.ErrAborted
	}
	if processCtx.Err() != nil {
		<-s.slots
		return nil, serve.ErrAborted
	}
	return processCtx, nil
}

func (s *Service) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// startRun records a run.
func (s *Service) startRun(r Run) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if len(s.runs) >= maxRunRecords {
		s.dropped++
		return &r
	}
	s.runs = append(s.runs, &r)
	return &r
}

func (s *Service) endRun(r *Run, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	r.Ended = completed
}
