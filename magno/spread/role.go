package spread

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
)

// role runs a function in a goroutine while this process has the role.
type role struct {
	name   string
	log    *slog.Logger
	cancel context.CancelFunc
	done   chan error
}

// setHeld starts or stops the function when the role is gained or lost.
func (r *role) setHeld(ctx context.Context, held bool, run func(context.Context) error) {
	if held == (r.cancel != nil) {
		return
	}
	r.log.Info("role changed", "name", r.name, "held", held)
	if !held {
		r.stop()
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.done = make(chan error, 1)
	go func() { r.done <- run(ctx) }()
}

// stop cancels the function and waits for its return.
func (r *role) stop() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	if err := <-r.done; err != nil {
		r.log.Warn("role ended with an error", "name", r.name, "error", err)
	}
	r.cancel = nil
}

// refusedByPeer reports whether err is a refusal by the peer, which is therefore
// up.
func refusedByPeer(err error) bool {
	var refusal *magno.Refusal
	return errors.As(err, &refusal)
}
