// Package wire carries calls between the system's own processes by jsonrpc2
// over TCP.
//
//	Call --> peerConn (one for each peer in use) --> peer's handler
//	            ^ parts, reply                           |
//	            +----------------------------------------+
//
// A process calls few peers at a time. Connections are therefore dialled on demand,
// kept in a bounded cache and closed after a short idle time: for a peer that is
// called twice a minute, two new connections cost less than one that is kept. If
// all 2,600 processes kept all connections, there would be 6.7 million of them, most
// to peers that are never called.
//
// The error of a failed call states whether the peer may have received it.
// At-most-once execution depends on never reporting "unknown" as "not sent".
package wire

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/guard"
)

// Limits of a mesh, which bound the resources that a faulty or hostile peer can use.
const (
	maxMessageSize     = 4 << 20            // bytes of one message
	maxConns           = 512                // outgoing connections kept
	maxIncoming        = 4096               // incoming connections of allowed peers
	maxDenied          = 32                 // incoming connections of others
	maxConcurrentCalls = 4096               // incoming calls that run at once
	maxBufferedParts   = 1024               // parts of one stream buffered for the caller
	dialTimeout        = magno.Millis(800)  // connect; a lost SYN is sent again only after a second
	userTimeout        = magno.Millis(1500) // sent data without an acknowledgement
	sendTimeout        = 5 * magno.Second   // write of one message
	outgoingTimeout    = 5 * magno.Second   // idle timeout of outgoing connections
	incomingTimeout    = 5 * magno.Minute   // idle timeout of incoming connections
	deniedTimeout      = 5 * magno.Second   // idle timeout of denied connections
	sweepInterval      = magno.Second       // how often idle connections are closed
	keepAliveIdle      = 5 * magno.Second   // TCP keepalive: idle time before the first probe
	keepAliveInterval  = 2 * magno.Second   // TCP keepalive: time between probes
	keepAliveCount     = 3                  // TCP keepalive: lost probes before the connection fails
	acceptRetryDelay   = magno.Millis(50)   // after a failed accept
)

// Handler handles one method. Its result is encoded as JSON. A *magno.Refusal is
// returned to the caller unchanged; any other error gets kind internal. ctx ends
// with the caller's connection. The result of a notification is ignored, and its
// handler must not block, since it runs on the reading goroutine of the connection.
type Handler func(ctx context.Context, peer *Peer, params json.RawMessage) (any, error)

// Mesh serves calls from other processes and calls them. Exported fields are set,
// and Handle called, before Run or the first Call.
type Mesh struct {
	// Listen is the IP and port to listen on; empty for a process that only
	// calls.
	Listen string
	// Allow lists the IP addresses and CIDR prefixes of allowed peers. Empty means
	// loopback only.
	Allow []string
	// MaxConns limits outgoing connections; zero means 512.
	MaxConns int
	// Clock may be nil for the system clock.
	Clock *magno.Clock
	// Log may be nil.
	Log *slog.Logger

	handlers  map[string]Handler
	callSlots chan struct{}

	mu sync.Mutex
	// initialized is true after init, closed after Run.
	initialized, closed bool
	listener            net.Listener
	allow               *guard.Allowlist
	// outgoing maps an address to its connection, also while it is being dialled. It
	// has at most MaxConns entries.
	outgoing map[string]*peerConn
	// dialled is the number of outgoing connections so far.
	dialled uint64
	// incoming has at most maxIncoming connections of allowed peers and maxDenied of
	// others; denied counts the latter.
	incoming map[*peerConn]struct{}
	denied   int
}

// Handle registers the handler of a method.
func (m *Mesh) Handle(method string, h Handler) {
	if m.handlers == nil {
		m.handlers = map[string]Handler{}
	}
	m.handlers[method] = h
}

// Name implements magno.Task.
func (m *Mesh) Name() string { return "wire" }

// Open binds the listen address. Callers may call it before Run to fail early if
// the address is not available; otherwise Run does it.
func (m *Mesh) Open() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	allow, err := guard.New(m.Allow)
	if err != nil {
		return err
	}
	m.allow = allow
	if m.Listen == "" || m.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", m.Listen) //nolint:noctx // binding does not wait
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	m.listener = listener
	return nil
}

// init sets up the maps and defaults. The caller holds mu.
func (m *Mesh) init() {
	if m.initialized {
		return
	}
	m.initialized = true
	m.outgoing = map[string]*peerConn{}
	m.incoming = map[*peerConn]struct{}{}
	m.callSlots = make(chan struct{}, maxConcurrentCalls)
	if m.MaxConns <= 0 {
		m.MaxConns = maxConns
	}
	if m.Log == nil {
		m.Log = slog.New(slog.DiscardHandler)
	}
}

// SetAllow replaces the list of allowed peers; existing connections are kept.
func (m *Mesh) SetAllow(list []string) error {
	allow, err := guard.New(list)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allow = allow
	return nil
}

// Addr returns the bound address, empty before Open.
func (m *Mesh) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener == nil {
		return ""
	}
	return m.listener.Addr().String()
}

// Run serves calls until ctx ends, then closes every connection. To let running
// calls finish, wait for them before ending ctx.
func (m *Mesh) Run(ctx context.Context) error {
	if err := m.Open(); err != nil {
		return err
	}
	done := make(chan struct{}, 2)
	go func() { defer func() { done <- struct{}{} }(); m.accept(ctx) }()
	go func() { defer func() { done <- struct{}{} }(); m.sweep(ctx) }()
	<-ctx.Done()
	m.close()
	<-done
	<-done
	return nil
}

func (m *Mesh) close() {
	m.mu.Lock()
	m.closed = true
	if m.listener != nil {
		_ = m.listener.Close()
	}
	conns := m.conns()
	m.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// conns returns all connections. The caller holds mu.
func (m *Mesh) conns() []*peerConn {
	conns := make([]*peerConn, 0, len(m.outgoing)+len(m.incoming))
	for _, c := range m.outgoing {
		conns = append(conns, c)
	}
	for c := range m.incoming {
		conns = append(conns, c)
	}
	return conns
}

func (m *Mesh) accept(ctx context.Context) {
	if m.listener == nil {
		return
	}
	for ctx.Err() == nil {
		conn, err := m.listener.Accept()
		if err != nil {
			// Without a delay this would spin, for example while no file descriptors
			// are free.
			magno.Sleep(ctx, acceptRetryDelay)
			continue
		}
		m.admit(conn)
	}
}

// admit starts an incoming connection, or closes it if there are too many.
func (m *Mesh) admit(conn net.Conn) {
	m.mu.Lock()
	allowed := m.allow.Allows(conn.RemoteAddr().String())
	// Denied peers get a refusal for each call, but must not be able to use up the
	// connections of allowed peers.
	if m.closed || len(m.incoming)-m.denied >= maxIncoming || (!allowed && m.denied >= maxDenied) {
		m.mu.Unlock()
		_ = conn.Close()
		return
	}
	c := newPeerConn(m, conn.RemoteAddr().String())
	c.denied = !allowed
	c.incoming = true
	m.incoming[c] = struct{}{}
	if c.denied {
		m.denied++
	}
	m.mu.Unlock()
	if !allowed {
		m.Log.Warn("connection denied: address is not an allowed peer", "peer", c.addr)
	}
	c.attach(conn)
}

// forget removes a connection that was closed or must not be used again.
func (m *Mesh) forget(c *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.incoming[c]; ok && c.denied {
		m.denied--
	}
	delete(m.incoming, c)
	if m.outgoing[c.addr] == c {
		delete(m.outgoing, c.addr)
	}
}

// Connection identifies the connection that calls and notifications to addr use now, zero if there is none. As long
// as it stays the same, all notifications went over it, and a later answer shows that they arrived.
func (m *Mesh) Connection(addr string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.outgoing[addr]; c != nil {
		return c.number
	}
	return 0
}

// sweep closes connections that reached their idle timeout, until ctx ends.
func (m *Mesh) sweep(ctx context.Context) {
	for magno.Sleep(ctx, sweepInterval) {
		m.mu.Lock()
		conns := m.conns()
		m.mu.Unlock()
		for _, c := range conns {
			if c.idleExpired() {
				m.forget(c)
				c.close()
			}
		}
	}
}
