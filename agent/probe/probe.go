// Package probe polls an agent's upstream for the adapters that it holds and detects its
// restarts.
package probe

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"magnoliastall.example/magno"
)

// probeTimeout bounds one probe. An upstream that takes longer counts as down.
const probeTimeout = time.Second

// Probe polls the upstream at a fixed interval. It implements magno.Task.
type Probe struct {
	Upstream magno.Upstream
	Interval magno.Millis
	Log      *slog.Logger
	// OnRestart is called with the first answer and with the first one after each restart, when
	// the upstream holds exactly the adapters that the probe lists.
	OnRestart func(p magno.Probe)
	// OnReport is called with every other answer.
	OnReport func(p magno.Probe)

	last atomic.Pointer[magno.Probe]
	up   atomic.Bool
}

// Name implements magno.Task.
func (p *Probe) Name() string { return "probe" }

// Up reports whether the upstream answered the latest probe.
func (p *Probe) Up() bool { return p.up.Load() }

// Last returns the latest answer, or nil before the first.
func (p *Probe) Last() *magno.Probe { return p.last.Load() }

// Run polls the upstream until ctx is done.
func (p *Probe) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.Interval.Duration())
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Probe) poll(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probe, err := p.Upstream.Probe(call)
	if ctx.Err() != nil {
		return
	}
	if up := err == nil; p.up.Swap(up) != up {
		p.Log.Info("upstream availability changed", "up", up, "error", err)
	}
	if err != nil {
		return
	}
	previous := p.last.Swap(&probe)
	if previous == nil || previous.Boot != probe.Boot {
		p.Log.Info("upstream started", "boot", probe.Boot, "held", len(probe.Loaded))
		p.OnRestart(probe)
		return
	}
	p.OnReport(probe)
}
