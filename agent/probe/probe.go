// Package probe watches an agent's upstream: what it holds, and whether it
// restarted.
package probe

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"magnoliastall.example/magno"
)

// probeTimeout bounds one probe; an upstream that is slower counts as down.
const probeTimeout = time.Second

// Probe asks the upstream at intervals. It implements magno.Duty.
type Probe struct {
	Upstream magno.Upstream
	Interval magno.Millis
	Log      *slog.Logger
	// OnRestart is called with the first answer and after each restart: the
	// upstream then holds just what the probe says.
	OnRestart func(p magno.Probe)
	// OnReport is called with every further answer.
	OnReport func(p magno.Probe)

	last atomic.Pointer[magno.Probe]
	up   atomic.Bool
}

// Name implements magno.Duty.
func (p *Probe) Name() string { return "probe" }

// Up tells whether the upstream answered lately.
func (p *Probe) Up() bool { return p.up.Load() }

// Last returns the latest answer, nil before the first.
func (p *Probe) Last() *magno.Probe { return p.last.Load() }

// Run probes until ctx ends.
func (p *Probe) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.Interval.Span())
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
		p.Log.Info("upstream", "up", up, "error", err)
	}
	if err != nil {
		return
	}
	before := p.last.Swap(&probe)
	if before == nil || before.Boot != probe.Boot {
		p.Log.Info("upstream", "boot", probe.Boot, "held", len(probe.Loaded))
		p.OnRestart(probe)
		return
	}
	p.OnReport(probe)
}
