package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// mode is what a proxy does with its connections.
type mode int

const (
	modePass        mode = iota
	modeDelay            // adds a delay in both directions
	modeBlackhole        // forwards nothing, connections stay open
	modeDropReplies      // forwards requests but no replies
	modeReset            // resets open and new connections
	modeHold             // forwards nothing, and drops what it holds of connections that are reset
)

// modeNames are those of the modes that are drawn.
var modeNames = []string{"pass", "delay", "mute", "oneway", "reset"}

// delayTime is the delay that modeDelay adds to each read.
const delayTime = 60 * time.Millisecond

// proxy forwards TCP connections and injects network faults.
type proxy struct {
	listen, target string

	mu   sync.Mutex
	mode mode
	// changedAt are the times at which the mode was set.
	changedAt []time.Time
	conns     map[net.Conn]bool
}

// run forwards connections until ctx ends.
func (p *proxy) run(ctx context.Context) error {
	l, err := listenAt(ctx, p.listen)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = l.Close()
		p.resetAll()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	p.disturb()
	if m == modeReset {
		p.resetAll()
	}
}

// disturb records a fault of the path, or its end.
func (p *proxy) disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changedAt = append(p.changedAt, time.Now())
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// faultyIn reports whether a fault began or ended in a period, or up to maxFaultDuration before it.
func (p *proxy) faultyIn(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.changedAt, func(at time.Time) bool {
		return at.After(from.Add(-maxFaultDuration)) && at.Before(to)
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serve(near net.Conn) {
	if p.currentMode() == modeReset {
		reset(near)
		return
	}
	d := net.Dialer{Timeout: time.Second}
	far, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	if p.conns == nil {
		p.conns = map[net.Conn]bool{}
	}
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(far, near, false, done)
	go p.copy(near, far, true, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy forwards bytes until either side ends, as the current mode permits.
func (p *proxy) copy(to, from net.Conn, answers bool, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if p.hold(answers) && wasReset(from) {
			reset(to)
			return
		}
		if p.currentMode() == modeDelay {
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			p.close(to, err)
			return
		}
	}
}

// hold returns once bytes may go on. It reports whether those of connections that were reset are dropped.
func (p *proxy) hold(answers bool) (drops bool) {
	for {
		switch m := p.currentMode(); {
		case m == modeHold:
			drops = true
		case m != modeBlackhole && (m != modeDropReplies || !answers):
			return drops
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// wasReset reports whether the other side has reset a connection, whose last bytes may still be unread.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	if cerr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); cerr != nil || err != nil {
		return true
	}
	return info.State == unix.BPF_TCP_CLOSE
}

// close ends the other side like the first: half-closed at EOF, reset otherwise.
func (p *proxy) close(to net.Conn, err error) {
	if errors.Is(err, io.EOF) {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
			return
		}
	}
	reset(to)
}
