package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/platform/fake"
)

// process is one program of the system. It is restarted whenever it exits.
type process struct {
	name, bin, kind string
	settings        string
	log             *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// paused is true between SIGSTOP and SIGCONT.
	paused bool
	// disturbedAt are the times of signals and starts.
	disturbedAt []time.Time
	// ended is closed once the process has ended and isn't restarted.
	ended chan struct{}
}

func (p *process) start() error {
	cmd := exec.Command(p.bin, "site", "platform") //nolint:noctx // supervise kills it when the context ends
	cmd.Env = append(os.Environ(), fake.SettingsEnv+"="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.disturbedAt = append(p.disturbedAt, time.Now())
	return nil
}

// restartDelay is the pause before an exited process is restarted.
const restartDelay = 200 * time.Millisecond

// supervise restarts the process whenever it exits, and kills it when ctx ends.
func (p *process) supervise(ctx context.Context) {
	defer close(p.ended)
	go func() {
		<-ctx.Done()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}()
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		if ctx.Err() != nil {
			p.signal(syscall.SIGKILL) // it was started after the signal above
		}
		_ = cmd.Wait() // its log says how it ended
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
		for err := p.start(); err != nil; err = p.start() {
			fmt.Fprintf(os.Stderr, "soak: %v\n", err) // the machine may have no room for a process at the moment
			select {
			case <-ctx.Done():
				return
			case <-time.After(restartDelay):
			}
		}
	}
}

// signal sends a signal to this process only.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGHUP {
		p.disturbedAt = append(p.disturbedAt, time.Now())
	}
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have exited already
	}
}

// sharePeriod is the period in which a process gets its share of the time.
const sharePeriod = 50 * time.Millisecond

// throttle lets the process run for a share of the time only, until ctx ends.
func (p *process) throttle(ctx context.Context, share float64) {
	run := time.Duration(share * float64(sharePeriod))
	for ctx.Err() == nil {
		p.pulse(syscall.SIGSTOP)
		time.Sleep(sharePeriod - run)
		p.pulse(syscall.SIGCONT)
		time.Sleep(run)
	}
}

// pulse sends a signal that is no fault, unless the process is paused by one.
func (p *process) pulse(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.paused && p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have exited already
	}
}
