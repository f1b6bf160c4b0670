package wire

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"magnoliastall.example/magno"
)

// Error is why a call got no answer from its peer.
type Error struct {
	Addr   string
	Method string
	// Sent is false only when the peer can't have got the whole call, so that
	// it didn't and never will run it. True means that nobody knows.
	Sent bool
	Err  error
}

// Error names peer, method and cause.
func (e *Error) Error() string {
	if e.Sent {
		return "call " + e.Method + " to " + e.Addr + ": no answer: " + e.Err.Error()
	}
	return "call " + e.Method + " to " + e.Addr + ": not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent is true when err proves that the peer did not get the call.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

var (
	errSlow = errors.New("the caller took the parts of a stream too slowly")
	errFull = errors.New("every connection of the cache is in use")
	errShut = errors.New("this process is closing its connections")
)

// SlowConsumer is true when a stream ended because its caller took no parts.
func SlowConsumer(err error) bool { return errors.Is(err, errSlow) }

// TooLarge is true when a message was over the limit and not sent.
func TooLarge(err error) bool { return errors.Is(err, errTooLarge) }

// Peer is the other end of a call that a handler answers.
type Peer struct {
	// Addr is the IP and port that the call came from.
	Addr string
	conn *jsonrpc2.Conn
	// call is zero for a notification.
	call uint64
}

// Notify sends a part to whoever made the call, before its reply and in
// order with other parts.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	if p.call == 0 {
		return errors.New("this call takes no parts")
	}
	return p.conn.Notify(ctx, method, params, jsonrpc2.Meta(tag{Call: p.call}))
}

// Call asks addr to run method and decodes its answer into result, which may
// be nil. The error is a *magno.Refusal that the peer decided, or an *Error.
func (m *Mesh) Call(ctx context.Context, addr, method string, params, result any) error {
	return m.CallStream(ctx, addr, method, params, result, nil)
}

// CallStream is Call for a method that sends parts first. onPart gets them in
// order, all of them before CallStream returns, on the caller's goroutine.
func (m *Mesh) CallStream(ctx context.Context, addr, method string, params, result any,
	onPart func(method string, params json.RawMessage),
) error {
	l, err := m.link(ctx, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Err: err}
	}
	defer l.end()
	number := l.seq.Add(1)
	var opts []jsonrpc2.CallOption
	var s *stream
	if onPart != nil {
		s = l.listen(number)
		defer l.drop(number)
		opts = append(opts, jsonrpc2.Meta(tag{Call: number}))
	}
	sent := l.clock()
	waiter, err := l.conn.DispatchCall(ctx, method, params, opts...)
	if TooLarge(err) {
		return &Error{Addr: addr, Method: method, Err: err} // nothing is wrong with the connection
	}
	if err != nil {
		m.forget(l)
		return &Error{Addr: addr, Method: method, Err: err}
	}
	err = l.await(ctx, waiter, s, result, onPart)
	if errors.Is(err, context.DeadlineExceeded) && l.heard.Load() < sent {
		// Nothing came in since the call went out: a cut path gives no sign
		// for minutes. Later calls get a new connection; other calls on this
		// one may still be answered.
		m.forget(l)
	}
	return m.outcome(addr, method, err)
}

// outcome turns a jsonrpc2 error into a refusal of the peer or an *Error.
func (m *Mesh) outcome(addr, method string, err error) error {
	if err == nil {
		return nil
	}
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		return decode(answer)
	}
	return &Error{Addr: addr, Method: method, Sent: true, Err: err}
}

// await passes parts on until the reply or the end of ctx.
func (l *link) await(ctx context.Context, w jsonrpc2.Waiter, s *stream, result any,
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
		case <-s.lost:
			return errSlow
		case err := <-done:
			for len(s.parts) > 0 {
				p := <-s.parts
				onPart(p.method, p.params)
			}
			// Parts that were lost came before the answer.
			select {
			case <-s.lost:
				return errSlow
			default:
				return err
			}
		}
	}
}

// Notify sends method to addr without an answer; one connection's
// notifications arrive in order. A nil error means that the message was handed
// to the kernel, not that it arrived.
func (m *Mesh) Notify(ctx context.Context, addr, method string, params any) error {
	l, err := m.link(ctx, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Err: err}
	}
	defer l.end()
	if err := l.conn.Notify(ctx, method, params); err != nil {
		m.forget(l)
		return &Error{Addr: addr, Method: method, Err: err}
	}
	return nil
}

// NotifyAll notifies several addresses at once, each within limit, and returns when all
// are done. Params makes what each is sent; failed is told of those that weren't reached,
// from several goroutines.
func (m *Mesh) NotifyAll(ctx context.Context, addrs []string, method string, limit magno.Millis,
	params func(addr string) any, failed func(addr string, err error),
) {
	each(ctx, addrs, limit, func(ctx context.Context, addr string) error {
		return m.Notify(ctx, addr, method, params(addr))
	}, failed)
}

// Broadcast is NotifyAll where all are sent the same, which is encoded once.
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
	each(ctx, addrs, limit, func(ctx context.Context, addr string) error {
		return m.send(ctx, addr, method, frame)
	}, failed)
	return nil
}

// send writes an encoded notification to addr.
func (m *Mesh) send(ctx context.Context, addr, method string, frame []byte) error {
	l, err := m.link(ctx, addr)
	if err != nil {
		return &Error{Addr: addr, Method: method, Err: err}
	}
	defer l.end()
	if err := l.frames.write(frame); err != nil {
		m.forget(l)
		return &Error{Addr: addr, Method: method, Err: err}
	}
	return nil
}

// each calls f for all addresses at once, each within limit.
func each(ctx context.Context, addrs []string, limit magno.Millis, f func(ctx context.Context, addr string) error,
	failed func(addr string, err error),
) {
	var working sync.WaitGroup
	for _, addr := range addrs {
		working.Add(1)
		go func() {
			defer working.Done()
			ctx, cancel := context.WithTimeout(ctx, limit.Span())
			defer cancel()
			if err := f(ctx, addr); err != nil {
				failed(addr, err)
			}
		}()
	}
	working.Wait()
}

// link returns the connection to addr, made if need be, and counts a use of
// it, which the caller ends.
func (m *Mesh) link(ctx context.Context, addr string) (*link, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.start()
	l := m.links[addr]
	fresh := l == nil
	if fresh {
		if m.closed {
			m.mu.Unlock()
			return nil, errShut
		}
		if !m.room() {
			m.mu.Unlock()
			return nil, errFull
		}
		l = newLink(m, addr)
		m.links[addr] = l
	}
	l.begin()
	m.mu.Unlock()
	if fresh {
		go m.dial(l)
	}
	select {
	case <-l.ready:
	case <-ctx.Done():
		l.end()
		return nil, ctx.Err()
	}
	if l.err != nil {
		l.end()
		return nil, l.err
	}
	return l, nil
}

// room makes place for one more connection by closing the one unused for
// longest. The caller holds mu.
func (m *Mesh) room() bool {
	if len(m.links) < m.MaxConns {
		return true
	}
	var oldest *link
	for _, l := range m.links {
		if l.active.Load() == 0 && (oldest == nil || l.used.Load() < oldest.used.Load()) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.links, oldest.addr)
	go oldest.close()
	return true
}

// dial connects l. It does not depend on the first caller's context: others
// wait for the same connection.
func (m *Mesh) dial(l *link) {
	d := net.Dialer{Timeout: dialTimeout.Span(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: aliveIdle.Span(), Interval: aliveEvery.Span(), Count: aliveCount,
	}}
	conn, err := d.DialContext(context.Background(), "tcp", l.addr)
	if err != nil {
		l.err = err
		m.forget(l)
		close(l.ready)
		return
	}
	l.attach(conn)
}

// encode puts err into a jsonrpc2 error with the refusal as its data.
func encode(err error) *jsonrpc2.Error {
	var refusal *magno.Refusal
	if !errors.As(err, &refusal) {
		refusal = magno.Refuse(magno.KindInternal, "%v", err)
	}
	out := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: refusal.Error()}
	out.SetError(refusal)
	return out
}

// decode returns the refusal in a peer's error.
func decode(answer *jsonrpc2.Error) error {
	refusal := &magno.Refusal{}
	if answer.Data == nil || json.Unmarshal(*answer.Data, refusal) != nil || refusal.Kind == "" {
		return magno.Refuse(magno.KindInternal, "%s", answer.Message)
	}
	if refusal.Run == "" {
		refusal.Run = magno.RunUnknown
	}
	return refusal
}
