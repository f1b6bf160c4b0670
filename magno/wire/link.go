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

// link is one connection, incoming or outgoing.
type link struct {
	mesh *Mesh
	addr string
	// incoming connections wait longer before they close unused.
	incoming bool
	// denied is true when the peer is not on the list; each call is refused.
	denied bool
	// ready is closed once conn and frames, or err, are set; they don't change after.
	ready chan struct{}
	conn  *jsonrpc2.Conn
	// frames are what conn reads and writes.
	frames *frames
	err    error
	// active counts calls in either direction; used is when the last began or
	// ended, heard when bytes last came in.
	active atomic.Int64
	used   atomic.Int64
	heard  atomic.Int64
	seq    atomic.Uint64

	mu sync.Mutex
	// streams maps a call's number to its waiting parts.
	streams map[uint64]*stream
}

// stream holds parts between the reading goroutine and the caller.
type stream struct {
	parts chan part
	// lost is closed when parts was full: the caller is too slow.
	lost chan struct{}
}

type part struct {
	method string
	params json.RawMessage
}

// tag binds a notification to a call of the same connection.
type tag struct {
	Call uint64 `json:"call"`
}

func newLink(m *Mesh, addr string) *link {
	l := &link{mesh: m, addr: addr, ready: make(chan struct{}), streams: map[uint64]*stream{}}
	l.touch()
	return l
}

// attach starts to read from conn.
func (l *link) attach(conn net.Conn) {
	l.frames = newFrames(&bounded{Conn: conn, link: l})
	l.conn = jsonrpc2.NewConn(context.Background(), l.frames, l, jsonrpc2.SetLogger(logger{l}))
	close(l.ready)
}

func (l *link) touch() { l.used.Store(l.clock()) }

func (l *link) clock() int64 { return int64(l.mesh.Clock.Now()) }

func (l *link) begin() {
	l.active.Add(1)
	l.touch()
}

func (l *link) end() {
	l.touch()
	l.active.Add(-1)
}

func (l *link) unused() bool {
	limit := idleTimeout
	switch {
	case l.denied:
		limit = denyTimeout
	case l.incoming:
		limit = peerTimeout
	}
	select {
	case <-l.ready:
	default:
		return false
	}
	return l.active.Load() == 0 && l.clock()-l.used.Load() > int64(limit)
}

func (l *link) close() {
	select {
	case <-l.ready:
	default:
		return
	}
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// Handle is called by the reading goroutine for each message in order.
// Notifications run here, so that they stay in order; calls run beside it.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		l.notified(ctx, conn, req)
		return
	}
	select {
	case l.mesh.calls <- struct{}{}:
	default:
		l.reply(ctx, conn, req, nil, magno.Refuse(magno.KindBusy, "too many calls at once"))
		return
	}
	l.begin()
	go func() {
		defer func() { <-l.mesh.calls }()
		defer l.end()
		result, err := l.serve(ctx, conn, req)
		l.reply(ctx, conn, req, result, err)
	}()
}

func (l *link) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h := l.mesh.handlers[req.Method]
	switch {
	case l.denied:
		return nil, magno.Refuse(magno.KindDenied, "%s is not an allowed peer", l.addr)
	case h == nil:
		return nil, magno.Refuse(magno.KindInternal, "no method %q", req.Method).Ran(magno.RunNo)
	}
	return h(ctx, &Peer{Addr: l.addr, conn: conn, call: callOf(req)}, paramsOf(req))
}

func (l *link) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = resp.SetResult(result)
	}
	if err != nil {
		resp.Result = nil
		resp.Error = encode(err)
	}
	if err := conn.SendResponse(ctx, resp); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		l.mesh.Log.Warn("reply failed", "peer", l.addr, "method", req.Method, "error", err)
		if errors.Is(err, errTooLarge) {
			resp.Result, resp.Error = nil, encode(magno.Refuse(magno.KindInternal, "the reply is over the size limit"))
			_ = conn.SendResponse(ctx, resp)
		}
	}
}

// notified hands a part to the call it belongs to, and anything else to the
// method's handler.
func (l *link) notified(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	call := callOf(req)
	if call == 0 {
		if h := l.mesh.handlers[req.Method]; h != nil && !l.denied {
			l.touch()
			_, _ = h(ctx, &Peer{Addr: l.addr, conn: conn}, paramsOf(req))
		}
		return
	}
	l.mu.Lock()
	s := l.streams[call]
	l.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.parts <- part{method: req.Method, params: paramsOf(req)}:
	default:
		// A caller that takes no parts would otherwise hold up every other
		// stream of the connection.
		l.drop(call)
		close(s.lost)
	}
}

func (l *link) listen(call uint64) *stream {
	s := &stream{parts: make(chan part, maxParts), lost: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[call] = s
	return s
}

func (l *link) drop(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, call)
}

// callOf returns the number that a message's tag carries, zero without one.
func callOf(req *jsonrpc2.Request) uint64 {
	if req.Meta == nil {
		return 0
	}
	var t tag
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

// logger passes the library's complaints on.
type logger struct{ l *link }

func (g logger) Printf(format string, v ...any) {
	g.l.mesh.Log.Debug("jsonrpc2", "peer", g.l.addr, "text", fmt.Sprintf(format, v...))
}
