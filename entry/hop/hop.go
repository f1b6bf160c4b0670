// Package hop sends a single request over a connection to an upstream and reads its
// response.
//
//	Get (pooled or new connection) --> Send --> Receive --> Put or Close
//
// It doesn't use net/http's transport, which resends some requests on its own if a reused
// connection turns out to be closed: it is then unknown how often a request that must not
// run twice was sent. The transport also hides whether any byte of a request was written.
// Messages are read and written with net/http.
package hop

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

const (
	// dialTimeout bounds a new connection, which takes about a millisecond. A lost SYN is
	// retransmitted only after a second, which is too late to wait for.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent data may remain unacknowledged, or unsent because the upstream doesn't read,
	// before the kernel closes the connection. Without it, a connection to a machine that lost power hangs for
	// minutes. A sound upstream may be silent for a second or two, and what it missed is sent once more after up to
	// twice as long.
	userTimeout = 4 * magno.Second
	// defaultIdleTime is how long an idle connection is kept if the upstream states no
	// timeout. idleMargin is subtracted from a stated one, so that no request is sent
	// while the upstream closes the connection.
	defaultIdleTime = 4 * magno.Second
	idleMargin      = magno.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 64
	// readBufferBytes is enough for a response header and one or two events.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the header of a response, the interim ones before it included: four times what the
	// platform allows callers. What is longer is no response.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds what is read of responses to other requests before the one that is due. Upstreams send
	// a late response or two, not a series of them.
	maxSkippedBytes = 1 << 20
)

// ErrSent marks an error after which the upstream may have received the request.
var ErrSent = errors.New("request may have been sent")

// Pool keeps idle connections. It is safe for concurrent use; Clock is set before use.
type Pool struct {
	Clock *magno.Clock

	mu   sync.Mutex
	idle map[string][]*Conn
	// ended holds the keys of upstreams that have most likely ended, see Ended.
	ended map[string]bool
	dials *metrics.Counter
}

// Conn is a connection, used by one request at a time.
type Conn struct {
	net.Conn
	// Reused is true if it has served a request before.
	Reused bool
	// OpenedAt is when the pool began to open it.
	OpenedAt magno.Millis
	// OnTimeout is called when a read or write exceeds its deadline. It returns true if that is
	// to go on, for which it has set another deadline. It is nil if none is to go on.
	OnTimeout func() bool

	key     string
	reader  *bufio.Reader
	expires magno.Millis
	// headLeft is how many more bytes may be read while a header is read (inHead).
	inHead   bool
	headLeft int
	// taken is how many bytes were read.
	taken int64
}

// errHeadTooLong is the error of a response whose header exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the header is too long")

// Get returns a connection to an upstream: the most recently used idle one, or a new one.
// The key identifies an incarnation of the upstream; its successor gets new connections.
func (p *Pool) Get(ctx context.Context, key, addr string) (*Conn, error) {
	for c := p.popIdle(key); c != nil; c = p.popIdle(key) {
		if p.Clock.Now() < c.expires && reusable(c.Conn) {
			c.Reused = true
			return c, nil
		}
		p.discard(c)
	}
	return p.dial(ctx, key, addr)
}

// discard closes an idle connection that can't be used any more.
func (p *Pool) discard(c *Conn) {
	if p.Clock.Now() < c.expires {
		p.mu.Lock()
		p.markEnded(c.key)
		p.mu.Unlock()
	}
	_ = c.Close()
}

// Ended reports whether an upstream has most likely ended: it closed a connection that it had
// promised to keep, or SetEnded was called, and there is no sign of it since. A new connection to
// its address may reach its successor.
func (p *Pool) Ended(key string) bool {
	for c := p.popIdle(key); c != nil; c = p.popIdle(key) {
		if p.Clock.Now() < c.expires && reusable(c.Conn) {
			p.keep(c)
			return false
		}
		p.discard(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[key]
}

// SetEnded records that an upstream has ended, and closes its idle connections: they are half-open, or lead to
// its successor.
func (p *Pool) SetEnded(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markEnded(key)
	for _, c := range p.idle[key] {
		_ = c.Close()
	}
	delete(p.idle, key)
}

// markEnded records that an upstream has ended. The caller holds mu.
func (p *Pool) markEnded(key string) {
	if p.ended == nil {
		p.ended = map[string]bool{}
	}
	p.ended[key] = true
}

func (p *Pool) dial(ctx context.Context, key, addr string) (*Conn, error) {
	p.dialCounter().Inc()
	now := p.Clock.Now()
	d := net.Dialer{Timeout: dialTimeout, Control: wire.UserTimeout(userTimeout)}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial upstream")
	}
	c := &Conn{Conn: conn, OpenedAt: now, key: key}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Read implements net.Conn. It continues after a timeout if OnTimeout says so. The readers of a response
// can't be used any more after an error, so this is decided here.
//
// Load pattern: an upstream sends a line, or header fields, without end and as fast as they are read. The readers of a
// header have no bound, so the bytes that they get have one.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inHead && c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	if c.inHead {
		p = p[:min(len(p), c.headLeft)]
	}
	for {
		n, err := c.Conn.Read(p)
		c.headLeft -= n
		c.taken += int64(n)
		if n > 0 || c.OnTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.OnTimeout() {
			return n, err
		}
	}
}

// Write implements net.Conn. Like Read, it continues after a timeout if OnTimeout says so.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || c.OnTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.OnTimeout() {
			return written, err
		}
	}
}

// Unacked returns how many sent bytes the upstream's machine hasn't acknowledged. It returns false if that isn't known.
func (c *Conn) Unacked() (int, bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	n := 0
	var outErr error
	err = raw.Control(func(fd uintptr) { n, outErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, err == nil && outErr == nil
}

// Abort resets the connection. Close would leave what was sent and isn't acknowledged to the kernel, which delivers it
// for as long as the path may come back.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Probe reports whether an upstream accepts connections. It opens one, unless there is an idle one,
// and keeps it for the next request.
func (p *Pool) Probe(ctx context.Context, key, addr string) error {
	c, err := p.Get(ctx, key, addr)
	if err != nil {
		return err
	}
	c.expires = p.Clock.Now() + defaultIdleTime
	p.keep(c)
	return nil
}

func (p *Pool) dialCounter() *metrics.Counter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dials == nil {
		p.dials = metrics.GetOrCreateCounter("upstream_connections_total")
	}
	return p.dials
}

// reusable reports whether an idle connection is open and has nothing to read. A request
// sent over a closed one would be lost; unsolicited bytes would be taken for its response.
func reusable(conn net.Conn) bool {
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

func (p *Pool) popIdle(key string) *Conn {
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

// Put returns a connection to the pool after its response res was read to the end, or
// closes it if it can't be reused.
func (p *Pool) Put(c *Conn, res *http.Response) {
	if res.Close || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.expires = p.Clock.Now() + idleTimeFor(res.Header.Get("Keep-Alive"))
	p.mu.Lock()
	delete(p.ended, c.key)
	p.mu.Unlock()
	p.keep(c)
}

// keep adds an idle connection, or closes it if there are too many.
func (p *Pool) keep(c *Conn) {
	c.OnTimeout = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.key]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// idleTimeFor parses timeout=SECONDS of a Keep-Alive header.
func idleTimeFor(header string) magno.Millis {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(magno.Millis(n)*magno.Second-idleMargin, 0)
		}
	}
	return defaultIdleTime
}

// Prune closes expired idle connections and those to upstreams that keep rejects.
func (p *Pool) Prune(keep func(key string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	maps.DeleteFunc(p.ended, func(key string, _ bool) bool { return !keep(key) })
	for key, list := range p.idle {
		open := list[:0]
		for _, c := range list {
			if keep(key) && now < c.expires {
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

// readHead reads the header of the next response that isn't an interim one.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.inHead, c.headLeft = true, maxHeadBytes
	defer func() { c.inHead = false }()
	for {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || res.StatusCode >= http.StatusOK {
			return res, err
		}
	}
}

// Receive reads the header of the response to a request with this method. Responses that
// accept rejects belong to another request and are skipped: an upstream may send a second
// response late, where the next one is expected.
//
// Load pattern: an upstream sends such responses without end and as fast as they are read. Each is short, so all of
// them together have a bound.
func (c *Conn) Receive(method string, accept func(*http.Response) bool) (*http.Response, error) {
	begin := c.taken
	for {
		res, err := c.readHead(method)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read response"), ErrSent)
		}
		if accept(res) {
			return res, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || c.taken-begin >= maxSkippedBytes || res.Close {
			return nil, errors.Mark(errors.New("read response: got the response to another request"), ErrSent)
		}
	}
}
