package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections. While it is cut it forwards nothing, and keeps what it has read.
type proxy struct {
	mu sync.Mutex
	// open is closed while the proxy isn't cut.
	open chan struct{}
	// usedAt is when a caller last sent something.
	usedAt time.Time
}

// newProxy starts a proxy until the run ends.
func newProxy(w *world, listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{open: make(chan struct{})}
	close(p.open)
	go func() {
		<-w.ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, target)
		}
	}()
	return p, nil
}

func (p *proxy) forward(c net.Conn, target string) {
	<-p.gate()
	to, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	go p.copy(c, to, false)
	p.copy(to, c, true)
}

// copy forwards one direction.
func (p *proxy) copy(to, from net.Conn, up bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			<-p.gate()
			if up {
				p.mu.Lock()
				p.usedAt = time.Now()
				p.mu.Unlock()
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				<-p.gate()
			}
			return
		}
	}
}

func (p *proxy) gate() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// cut stops the proxy, heal lets it go on.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// usedWithin reports whether a caller sent something in the last while.
func (p *proxy) usedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.usedAt) < d
}
