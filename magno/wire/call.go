package wire

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"magnoliastall.example/magno"
)

// Error is a call that got no response from its peer.
type Error struct {
	Addr   string
	Method string
	// Sent is false only if the peer can't have received the complete call, so that
	// it has not run it and never will. True means that this is unknown.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "call " + e.Method + " to " + e.Addr + ": no answer: " + e.Err.Error()
	}
	return "call " + e.Method + " to " + e.Addr + ": not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err proves that the peer did not receive the call.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

var (
	errSlowConsumer = errors.New("stream buffer full: the caller reads parts too slowly")
	errNoFreeConn   = errors.New("connection limit reached, all connections in use")
	errClosed       = errors.New("mesh is closed")
)

// SlowConsumer reports whether a stream failed because its caller read parts too
// slowly.
func SlowConsumer(err error) bool { return errors.Is(err, errSlowConsumer) }

// TooLarge reports whether a message was not sent because it exceeds the size
// limit.
func TooLarge(err error) bool { return errors.Is(err, errTooLarge) }

// Peer is the caller of a method, as its handler sees it.
type Peer struct {
	// Addr is the IP and port that the call came from.
	Addr string
	conn *jsonrpc2.Conn
	// call is zero for a notification.
	call uint64
}

// Notify sends a part of the response to the caller, before the reply and in
// order with the other parts.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	if p.call == 0 {
		return errors.New("the caller did not ask for a stream")
	}
	return p.conn.Notify(ctx, method, params, jsonrpc2.Meta(callTag{Call: p.call}))
}

// Call runs method on the peer at addr and decodes the reply into result, which
// may be nil. The error is a *magno.Refusal by the peer, or an *Error.
func (m *Mesh) Call(ctx context.Context, addr, method string, params, result any) error {
	return m.CallStream(ctx, addr, method, params, result, nil)
}

// CallStream is Call for a method that sends parts before its reply. onPart is
// called with each in order, on the caller's goroutine.
func (m *Mesh) CallStream(ctx context.Context, addr, method string, params, result any,
	onPart func(method string, params json.RawMessage),
) error {
	c, err := m.conn(ctx, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Err: err}
	}
	defer c.release()
	number := c.seq.Add(1)
	var opts []jsonrpc2.CallOption
	var s *stream
	if onPart != nil {
		s = c.openStream(number)
		defer c.closeStream(number)
		opts = append(opts, jsonrpc2.Meta(callTag{Call: number}))
	}
	sent := c.now()
	waiter, err := c.conn.DispatchCall(ctx, method, params, opts...)
	if TooLarge(err) {
		return &Error{Addr: addr, Method: method, Err: err} // the connection is still usable
	}
	if err != nil {
		m.forget(c)
		return &Error{Addr: addr, Method: method, Err: err}
	}
	err = c.await(ctx, waiter, s, result, onPart)
	if errors.Is(err, context.DeadlineExceeded) && c.lastRead.Load() < sent {
		// Nothing was received since the call was sent, so the network path may be
		// broken, which TCP reports only after minutes. Later calls use a new
		// connection; other calls on this one may still be answered.
		m.forget(c)
	}
	return m.callError(addr, method, err)
}

// callError converts a jsonrpc2 error to a refusal by the peer or an *Error.
func (m *Mesh) callError(addr, method string, err error) error {
	if err == nil {
		return nil
	}
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		return decodeError(answer)
	}
	return &Error{Addr: addr, Method: method, Sent: true, Err: err}
}

// await passes parts to onPart until the reply comes or ctx ends.
func (c *peerConn) await(ctx context.Context, w jsonrpc2.Waiter, s *stream, result any,
	onPart func(string, json.RawMessage),
) error {
	if s == nil {
		return w.Wait(ctx, result)
	}
	done := make(chan error, 1)
	go func() { done <- w.Wait(ctx, result) }()
	for {
		select {
		case p := <-s.parts:
			onPart(p.method, p.params)
		case <-s.overflow:
			return errSlowConsumer
		case err := <-done:
			for len(s.parts) > 0 {
				p := <-s.parts
				onPart(p.method, p.params)
			}
			// Parts that were dropped came before the reply.
			select {
			case <-s.overflow:
				return errSlowConsumer
			default:
				return err
			}
		}
	}
}

// Notify sends a notification, which has no reply, to addr. Notifications on one
// connection arrive in order. A nil error means that the message was handed to
// the kernel, not that it arrived.
func (m *Mesh) Notify(ctx context.Context, addr, method string, params any) error {
	c, err := m.conn(ctx, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Err: err}
	}
	defer c.release()
	return m.notify(ctx, c, method, func() error { return c.conn.Notify(ctx, method, params) })
}

// notify writes a notification once none is being written to the same peer. If ctx ends before that, it isn't
// sent. A peer that doesn't read blocks the one that is being written, and the lock of the connection would
// block all others, whatever their contexts.
func (m *Mesh) notify(ctx context.Context, c *peerConn, method string, write func() error) error {
	select {
	case c.notifying <- struct{}{}:
	case <-ctx.Done():
		return &Error{Addr: c.addr, Method: method, Err: ctx.Err()}
	}
	defer func() { <-c.notifying }()
	if err := write(); err != nil {
		m.forget(c)
		return &Error{Addr: c.addr, Method: method, Err: err}
	}
	return nil
}

// NotifyAll notifies several addresses concurrently, each within limit, and returns
// when all are done. params returns the parameters for an address; failed is called
// from several goroutines with those that could not be reached.
func (m *Mesh) NotifyAll(ctx context.Context, addrs []string, method string, limit magno.Millis,
	params func(addr string) any, failed func(addr string, err error),
) {
	forEach(ctx, addrs, limit, func(ctx context.Context, addr string) error {
		return m.Notify(ctx, addr, method, params(addr))
	}, failed)
}

// Broadcast is NotifyAll with the same parameters for all, which are encoded once.
func (m *Mesh) Broadcast(ctx context.Context, addrs []string, method string, limit magno.Millis,
	params any, failed func(addr string, err error),
) error {
	req := &jsonrpc2.Request{Method: method, Notif: true}
	if err := req.SetParams(params); err != nil {
		return errors.Wrap(err, method)
	}
	frame, err := encodeFrame(req)
	if err != nil {
		return errors.Wrap(err, method)
	}
	forEach(ctx, addrs, limit, func(ctx context.Context, addr string) error {
		return m.send(ctx, addr, method, frame)
	}, failed)
	return nil
}

// send writes an encoded notification to addr.
func (m *Mesh) send(ctx context.Context, addr, method string, frame []byte) error {
	c, err := m.conn(ctx, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Err: err}
	}
	defer c.release()
	return m.notify(ctx, c, method, func() error { return c.codec.write(frame) })
}

// forEach calls f for all addresses concurrently, each within limit.
func forEach(ctx context.Context, addrs []string, limit magno.Millis, f func(ctx context.Context, addr string) error,
	failed func(addr string, err error),
) {
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, limit.Duration())
			defer cancel()
			if err := f(ctx, addr); err != nil {
				failed(addr, err)
			}
		}()
	}
	wg.Wait()
}

// conn returns the connection to addr, which it dials if there is none. The
// caller releases it.
func (m *Mesh) conn(ctx context.Context, addr string) (*peerConn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.init()
	c := m.outgoing[addr]
	isNew := c == nil
	if isNew {
		if m.closed {
			m.mu.Unlock()
			return nil, errClosed
		}
		if !m.evictIdle() {
			m.mu.Unlock()
			return nil, errNoFreeConn
		}
		c = newPeerConn(m, addr)
		m.dialled++
		c.number = m.dialled
		m.outgoing[addr] = c
	}
	c.acquire()
	m.mu.Unlock()
	if isNew {
		go m.dial(c)
	}
	select {
	case <-c.ready:
	case <-ctx.Done():
		c.release()
		return nil, ctx.Err()
	}
	if c.err != nil {
		c.release()
		return nil, c.err
	}
	return c, nil
}

// evictIdle closes the connection idle for longest if the cache is full, and
// reports whether there is room for one more. The caller holds mu.
func (m *Mesh) evictIdle() bool {
	if len(m.outgoing) < m.MaxConns {
		return true
	}
	var oldest *peerConn
	for _, c := range m.outgoing {
		if c.active.Load() == 0 && (oldest == nil || c.lastUsed.Load() < oldest.lastUsed.Load()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.outgoing, oldest.addr)
	go oldest.close()
	return true
}

// dial connects c. It does not use the context of the first caller, since others
// wait for the same connection.
func (m *Mesh) dial(c *peerConn) {
	conn, err := newDialer().DialContext(context.Background(), "tcp", c.addr)
	if err != nil {
		c.err = err
		m.forget(c)
		close(c.ready)
		return
	}
	c.attach(conn)
}

// encodeError returns a jsonrpc2 error with err as a refusal in its data.
func encodeError(err error) *jsonrpc2.Error {
	var refusal *magno.Refusal
	if !errors.As(err, &refusal) {
		refusal = magno.Refuse(magno.KindInternal, "%v", err)
	}
	out := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: refusal.Error()}
	out.SetError(refusal)
	return out
}

// decodeError returns the refusal in an error of a peer.
func decodeError(answer *jsonrpc2.Error) error {
	refusal := &magno.Refusal{}
	if answer.Data == nil || json.Unmarshal(*answer.Data, refusal) != nil || refusal.Kind == "" {
		return magno.Refuse(magno.KindInternal, "%s", answer.Message)
	}
	if refusal.Run == "" {
		refusal.Run = magno.RunUnknown
	}
	return refusal
}
