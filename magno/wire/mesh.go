// Package wire carries calls between the system's own processes by jsonrpc2
// over TCP.
//
//	Call --> link (one connection for each peer in use) --> peer's handler
//	            ^ parts, reply                                  |
//	            +-----------------------------------------------+
//
// A process talks to few peers at a time, so connections are made on demand,
// kept in a bounded cache and closed soon when idle: a peer that is called twice a
// minute costs less by two connections than by one that is kept. A mesh of 2,600 processes that
// kept every connection would hold 6.7 million of them, and each process would
// pay for peers it never asks.
//
// A call that fails says whether the peer may have got it: at-most-once
// depends on never mixing "not sent" with "unknown".
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

// Limits of a mesh. They bound what a broken or hostile peer can cost.
const (
	maxMessage  = 4 << 20          // bytes of one message
	maxLinks    = 512              // outgoing connections kept
	maxPeers    = 4096             // incoming connections of listed peers
	maxDenied   = 32               // incoming connections of others
	maxCalls    = 4096             // incoming calls that run at once
	maxParts    = 1024             // parts of one stream that wait for the caller
	dialTimeout = 2 * magno.Second // to connect
	sendTimeout = 5 * magno.Second // to hand one message to the kernel
	idleTimeout = 5 * magno.Second // an unused outgoing connection closes
	peerTimeout = 5 * magno.Minute // an unused incoming connection closes
	denyTimeout = 5 * magno.Second // an incoming connection of another closes
	sweepEvery  = magno.Second     // how often unused connections are sought
	aliveIdle   = 5 * magno.Second // TCP keepalive: first probe
	aliveEvery  = 2 * magno.Second // TCP keepalive: next probes
	aliveCount  = 3                // TCP keepalive: probes without answer
	acceptPause = magno.Millis(50) // after a failed accept
)

// Handler answers one method. Its result is encoded as JSON. A *magno.Refusal
// reaches the caller unchanged; any other error becomes kind internal. ctx
// ends when the caller's connection does. For a notification the result is
// dropped, and the handler must not block: it holds up its connection.
type Handler func(ctx context.Context, peer *Peer, params json.RawMessage) (any, error)

// Mesh listens for calls from other processes and calls them. Exported fields
// are set, and Handle called, before Run or the first Call.
type Mesh struct {
	// Listen is the IP and port to listen on; empty for a process that only
	// calls.
	Listen string
	// Allow lists IP addresses and CIDR prefixes whose calls are taken. Empty
	// means loopback alone.
	Allow []string
	// MaxConns bounds outgoing connections; zero means 512.
	MaxConns int
	// Clock may be nil, for the machine's.
	Clock *magno.Clock
	// Log may be nil.
	Log *slog.Logger

	handlers map[string]Handler
	calls    chan struct{}

	mu sync.Mutex
	// open is true once start ran; closed once Run ended.
	open, closed bool
	listener     net.Listener
	allow        *guard.Guard
	// links maps an address to its outgoing connection, also while it is
	// being made. len(links) is at most MaxLinks.
	links map[string]*link
	// peers are incoming connections, at most maxPeers; denied counts those
	// of peers that aren't on the list, at most maxDenied.
	peers  map[*link]struct{}
	denied int
}

// Handle names the handler of a method.
func (m *Mesh) Handle(method string, h Handler) {
	if m.handlers == nil {
		m.handlers = map[string]Handler{}
	}
	m.handlers[method] = h
}

// Name returns the duty's name.
func (m *Mesh) Name() string { return "wire" }

// Open binds the address, so that a process that can't have it ends before it
// does anything else. Run calls it when nobody did.
func (m *Mesh) Open() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	allow, err := guard.New(m.Allow)
	if err != nil {
		return err
	}
	m.allow = allow
	if m.Listen == "" || m.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", m.Listen) //nolint:noctx // binding does not wait
	if err != nil {
		return errors.Wrap(err, "wire")
	}
	m.listener = l
	return nil
}

// start makes the tables. The caller holds mu.
func (m *Mesh) start() {
	if m.open {
		return
	}
	m.open = true
	m.links = map[string]*link{}
	m.peers = map[*link]struct{}{}
	m.calls = make(chan struct{}, maxCalls)
	if m.MaxConns <= 0 {
		m.MaxConns = maxLinks
	}
	if m.Log == nil {
		m.Log = slog.New(slog.DiscardHandler)
	}
}

// SetAllow replaces the list of peers; connections that stand are kept.
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

// Run takes calls until ctx ends, then closes every connection: whoever wants
// running calls to finish first ends ctx after they have.
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
	all := m.all()
	m.mu.Unlock()
	for _, l := range all {
		l.close()
	}
}

// all lists every connection. The caller holds mu.
func (m *Mesh) all() []*link {
	all := make([]*link, 0, len(m.links)+len(m.peers))
	for _, l := range m.links {
		all = append(all, l)
	}
	for l := range m.peers {
		all = append(all, l)
	}
	return all
}

func (m *Mesh) accept(ctx context.Context) {
	if m.listener == nil {
		return
	}
	for ctx.Err() == nil {
		conn, err := m.listener.Accept()
		if err != nil {
			// Out of descriptors, for one: without a pause this would spin.
			magno.Pause(ctx, acceptPause)
			continue
		}
		m.admit(conn)
	}
}

// admit starts an incoming connection, or closes it when there are too many.
func (m *Mesh) admit(conn net.Conn) {
	m.mu.Lock()
	allowed := m.allow.Allows(conn.RemoteAddr().String())
	// Denied peers are told so, but whoever isn't on the list must not be able
	// to take up the places of those who are.
	if m.closed || len(m.peers)-m.denied >= maxPeers || (!allowed && m.denied >= maxDenied) {
		m.mu.Unlock()
		_ = conn.Close()
		return
	}
	l := newLink(m, conn.RemoteAddr().String())
	l.denied = !allowed
	l.incoming = true
	m.peers[l] = struct{}{}
	if l.denied {
		m.denied++
	}
	m.mu.Unlock()
	if !allowed {
		m.Log.Warn("denied", "peer", l.addr)
	}
	l.attach(conn)
}

// forget drops a connection that closed or must not be used again.
func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.peers[l]; ok && l.denied {
		m.denied--
	}
	delete(m.peers, l)
	if m.links[l.addr] == l {
		delete(m.links, l.addr)
	}
}

// sweep closes connections that nobody uses.
func (m *Mesh) sweep(ctx context.Context) {
	for magno.Pause(ctx, sweepEvery) {
		m.mu.Lock()
		all := m.all()
		m.mu.Unlock()
		for _, l := range all {
			if l.unused() {
				m.forget(l)
				l.close()
			}
		}
	}
}
