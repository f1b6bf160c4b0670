// Package hop sends one request over one connection to an upstream and reads
// its answer.
//
//	Get (kept or new connection) --> Send --> Receive --> Put or Close
//
// net/http's transport isn't used for this step: it resends some requests by
// itself when a kept connection turns out closed, and after that nobody can say
// how often a request that must not run twice was sent. It also hides whether
// any byte of a request went out. Reading and writing of messages are the
// library's.
package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"magnoliastall.example/magno"
)

const (
	// dialTime bounds a new connection. It takes a millisecond; a lost opening
	// packet is sent again after a whole second, which is too late to wait for.
	dialTime = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay without an acknowledgement
	// until the connection counts as broken, in milliseconds. Without it a
	// connection to a machine without power hangs for minutes.
	userTimeout = 1500
	// keepLife is how long an idle connection is kept where the upstream names
	// no time; keepSlack is taken off what it names, so that a request doesn't
	// cross its close.
	keepLife  = 4 * magno.Second
	keepSlack = magno.Second
	// mostIdle bounds the idle connections to one upstream.
	mostIdle = 64
	// readBuffer holds an answer's header and an event or two.
	readBuffer = 4 << 10
	// mostSkipped bounds what is read of an answer that belongs to another
	// request.
	mostSkipped = 1 << 20
)

// ErrSent marks an error after which the upstream may have got the request.
var ErrSent = errors.New("the request was sent")

// Pool keeps idle connections. It is safe for concurrent use; Clock is set
// before.
type Pool struct {
	Clock *magno.Clock

	mu    sync.Mutex
	idle  map[string][]*Conn
	dials *metrics.Counter
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	net.Conn
	// Reused is true when it has served a request before.
	Reused bool

	key   string
	read  *bufio.Reader
	until magno.Millis
}

// Get returns a connection to an upstream, the one used last if there is any.
// Key names the incarnation: its successor gets new connections.
func (p *Pool) Get(ctx context.Context, key, addr string) (*Conn, error) {
	for c := p.pop(key); c != nil; c = p.pop(key) {
		if p.Clock.Now() < c.until && quiet(c.Conn) {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	p.counter().Inc()
	d := net.Dialer{Timeout: dialTime, Control: options}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &Conn{Conn: conn, key: key, read: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func (p *Pool) counter() *metrics.Counter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dials == nil {
		p.dials = metrics.GetOrCreateCounter("upstream_connections_total")
	}
	return p.dials
}

func options(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel without the option only notices broken paths later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	})
}

// quiet tells whether an idle connection is open and has nothing to read. A
// closed one would lose the request; bytes that nobody asked for would be taken
// for its answer.
func quiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func (p *Pool) pop(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// Put keeps a connection whose answer was read to its end. Res is that answer.
func (p *Pool) Put(c *Conn, res *http.Response) {
	if res.Close || c.read.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.until = p.Clock.Now() + keepFor(res.Header.Get("Keep-Alive"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.key]) >= mostIdle {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// keepFor reads timeout=SECONDS.
func keepFor(header string) magno.Millis {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(magno.Millis(n)*magno.Second-keepSlack, 0)
		}
	}
	return keepLife
}

// Forget closes the idle connections to all but the upstreams of keep.
func (p *Pool) Prune(keep func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for key, list := range p.idle {
		open := list[:0]
		for _, c := range list {
			if keep(key) && now < c.until {
				open = append(open, c)
				continue
			}
			_ = c.Close()
		}
		if len(open) == 0 {
			delete(p.idle, key)
			continue
		}
		clear(list[len(open):])
		p.idle[key] = open
	}
}

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes the request. An error without ErrSent means that no byte of it
// went out.
func (c *Conn) Send(r *Request) error {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(err, "header")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	n, err := io.WriteString(c.Conn, b.String())
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.Wrap(err, "send")
	}
	return errors.Mark(errors.Wrap(err, "send"), ErrSent)
}

// Receive reads the head of the answer to the request with this method. Answers
// that mine refuses belong to another request and are passed over: an upstream
// may send a second answer late, where the next one is expected.
func (c *Conn) Receive(method string, mine func(*http.Response) bool) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "receive"), ErrSent)
		}
		if res.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if mine(res) {
			return res, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, mostSkipped))
		if err != nil || n == mostSkipped || res.Close {
			return nil, errors.Mark(errors.New("receive: another request's answer came"), ErrSent)
		}
	}
}
