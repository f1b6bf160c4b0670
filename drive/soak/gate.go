package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// period is a span of time.
type period struct{ from, to time.Time }

// overlaps reports whether the period has a moment in common with another one.
func (p period) overlaps(o period) bool { return p.from.Before(o.to) && o.from.Before(p.to) }

// gate lets a server stand still as a process does that isn't scheduled: connections wait in the accept queue, bytes
// in the sockets' buffers, and all of it goes on afterwards.
type gate struct {
	mu sync.Mutex
	// opened is closed once the gate is open again, nil while it is open.
	opened chan struct{}
	// silences are the periods in which it was shut.
	silences []period
}

// shut shuts the gate for a period, unless it is shut already.
func (g *gate) shut(length time.Duration) {
	g.mu.Lock()
	if g.opened != nil {
		g.mu.Unlock()
		return
	}
	opened := make(chan struct{})
	g.opened = opened
	now := time.Now()
	g.silences = append(g.silences, period{now, now.Add(length)})
	g.mu.Unlock()
	time.Sleep(length)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(opened)
	g.opened = nil
	g.silences[len(g.silences)-1].to = time.Now()
}

// wait returns once the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

// silentIn returns the silences that overlap a period.
func (g *gate) silentIn(p period) []period {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(g.silences), func(s period) bool { return !s.overlaps(p) })
}

// gatedListener is a listener behind a gate, and so are its connections.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept accepts a connection once the gate is open.
func (l *gatedListener) Accept() (net.Conn, error) {
	l.gate.wait()
	c, err := l.Listener.Accept()
	l.gate.wait()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: l.gate}, nil
}

// gatedConn is a connection behind a gate.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Read reads while the gate is open.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.gate.wait()
	n, err := c.Conn.Read(b)
	c.gate.wait()
	return n, err
}

// Write writes once the gate is open.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(b)
}
