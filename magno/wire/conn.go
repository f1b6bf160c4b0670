package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"magnoliastall.example/magno"
)

// peerConn is one connection to a peer, incoming or outgoing.
type peerConn struct {
	mesh *Mesh
	addr string
	// number tells outgoing connections apart.
	number uint64
	// incoming connections have a longer idle timeout.
	incoming bool
	// denied is true if the peer is not allowed; all its calls are refused.
	denied bool
	// ready is closed once conn and codec, or err, are set; they are constant then.
	ready chan struct{}
	conn  *jsonrpc2.Conn
	// codec is the message stream of conn.
	codec *codec
	err   error
	// active counts running calls in both directions. lastUsed is when one last
	// began or ended, lastRead when data was last received, in milliseconds.
	active   atomic.Int64
	lastUsed atomic.Int64
	lastRead atomic.Int64
	seq      atomic.Uint64
	// notifying holds a token while a notification is being written.
	notifying chan struct{}

	mu sync.Mutex
	// streams maps the numbers of calls to their streams.
	streams map[uint64]*stream
}

// stream buffers parts between the reading goroutine and the caller.
type stream struct {
	parts chan part
	// overflow is closed when a part was dropped because parts was full.
	overflow chan struct{}
}

type part struct {
	method string
	params json.RawMessage
}

// callTag assigns a notification to a call on the same connection.
type callTag struct {
	Call uint64 `json:"call"`
}

func newPeerConn(mesh *Mesh, addr string) *peerConn {
	c := &peerConn{mesh: mesh, addr: addr, ready: make(chan struct{}), notifying: make(chan struct{}, 1), streams: map[uint64]*stream{}}
	c.touch()
	return c
}

// attach starts reading from conn.
func (c *peerConn) attach(conn net.Conn) {
	c.codec = newCodec(&limitedConn{Conn: conn, owner: c})
	c.conn = jsonrpc2.NewConn(context.Background(), c.codec, c, jsonrpc2.SetLogger(logger{c}))
	close(c.ready)
}

func (c *peerConn) touch() { c.lastUsed.Store(c.now()) }

func (c *peerConn) now() int64 { return int64(c.mesh.Clock.Now()) }

func (c *peerConn) acquire() {
	c.active.Add(1)
	c.touch()
}

func (c *peerConn) release() {
	c.touch()
	c.active.Add(-1)
}

// idleExpired reports whether the connection has reached its idle timeout.
func (c *peerConn) idleExpired() bool {
	limit := outgoingTimeout
	switch {
	case c.denied:
		limit = deniedTimeout
	case c.incoming:
		limit = incomingTimeout
	}
	select {
	case <-c.ready:
	default:
		return false
	}
	return c.active.Load() == 0 && c.now()-c.lastUsed.Load() > int64(limit)
}

func (c *peerConn) close() {
	select {
	case <-c.ready:
	default:
		return
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// Handle is called by the reading goroutine with each message, in order.
// Notifications are handled on it to keep their order, calls on goroutines of
// their own.
func (c *peerConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		c.handleNotification(ctx, conn, req)
		return
	}
	select {
	case c.mesh.callSlots <- struct{}{}:
	default:
		c.reply(ctx, conn, req, nil, magno.Refuse(magno.KindBusy, "too many calls at once"))
		return
	}
	c.acquire()
	go func() {
		defer func() { <-c.mesh.callSlots }()
		defer c.release()
		result, err := c.serve(ctx, conn, req)
		c.reply(ctx, conn, req, result, err)
	}()
}

func (c *peerConn) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	handler := c.mesh.handlers[req.Method]
	switch {
	case c.denied:
		return nil, magno.Refuse(magno.KindDenied, "%s is not an allowed peer", c.addr)
	case handler == nil:
		return nil, magno.Refuse(magno.KindInternal, "no method %q", req.Method).WithRun(magno.RunNo)
	}
	return handler(ctx, &Peer{Addr: c.addr, conn: conn, call: callOf(req)}, paramsOf(req))
}

func (c *peerConn) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = resp.SetResult(result)
	}
	if err != nil {
		resp.Result = nil
		resp.Error = encodeError(err)
	}
	if err := conn.SendResponse(ctx, resp); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		c.mesh.Log.Warn("reply failed", "peer", c.addr, "method", req.Method, "error", err)
		if errors.Is(err, errTooLarge) {
			resp.Result, resp.Error = nil, encodeError(magno.Refuse(magno.KindInternal, "the reply is over the size limit"))
			_ = conn.SendResponse(ctx, resp)
		}
	}
}

// handleNotification passes a part to the call it belongs to, and any other
// notification to the handler of the method.
func (c *peerConn) handleNotification(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	call := callOf(req)
	if call == 0 {
		if handler := c.mesh.handlers[req.Method]; handler != nil && !c.denied {
			c.touch()
			_, _ = handler(ctx, &Peer{Addr: c.addr, conn: conn}, paramsOf(req))
		}
		return
	}
	c.mu.Lock()
	s := c.streams[call]
	c.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.parts <- part{method: req.Method, params: paramsOf(req)}:
	default:
		// Waiting for a slow caller would block all other calls and streams of the
		// connection.
		c.closeStream(call)
		close(s.overflow)
	}
}

func (c *peerConn) openStream(call uint64) *stream {
	s := &stream{parts: make(chan part, maxBufferedParts), overflow: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[call] = s
	return s
}

func (c *peerConn) closeStream(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, call)
}

// callOf returns the call number in the tag of a message, zero without one.
func callOf(req *jsonrpc2.Request) uint64 {
	if req.Meta == nil {
		return 0
	}
	var t callTag
	if json.Unmarshal(*req.Meta, &t) != nil {
		return 0
	}
	return t.Call
}

func paramsOf(req *jsonrpc2.Request) json.RawMessage {
	if req.Params == nil {
		return nil
	}
	return *req.Params
}

// logger writes the log messages of jsonrpc2 to the log of the mesh.
type logger struct{ c *peerConn }

func (l logger) Printf(format string, v ...any) {
	l.c.mesh.Log.Debug("jsonrpc2", "peer", l.c.addr, "text", fmt.Sprintf(format, v...))
}
