package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	keptDialTimeout = time.Second
	// keptPatience is longer than any request may take, so that its connection is never ended by its caller.
	keptPatience = callerDeadline + 2*time.Second
)

// keptCaller sends one request after another over one connection, which it opens again only once it has ended. It
// never repeats a request by itself.
type keptCaller struct {
	caller  *fake.Caller
	address string
	// bodyTime is the time over which the bodies arrive, zero for at once.
	bodyTime time.Duration
	conn     net.Conn
	reader   *bufio.Reader
}

// slowBody is a body that arrives byte by byte.
type slowBody struct {
	rest  string
	pause time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p[:1], b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// send sends a request and reads the response. WholeAt is when the whole request was sent, zero if it wasn't.
func (c *keptCaller) send(ctx context.Context, m fake.Message) (o fake.Outcome, wholeAt time.Time) {
	if c.conn == nil && !c.open(ctx) {
		return fake.Outcome{}, time.Time{}
	}
	req, err := c.caller.NewRequest(ctx, c.address, m)
	if err != nil || c.conn.SetDeadline(time.Now().Add(keptPatience)) != nil {
		c.drop()
		return fake.Outcome{}, time.Time{}
	}
	if c.bodyTime > 0 {
		req.Body = io.NopCloser(&slowBody{rest: m.Body, pause: c.bodyTime / time.Duration(len(m.Body))})
	}
	if req.Write(c.conn) == nil {
		wholeAt = time.Now()
	}
	res, err := http.ReadResponse(c.reader, req) //nolint:bodyclose // ReadOutcome closes it
	if err != nil {
		c.drop()
		return fake.Outcome{}, wholeAt
	}
	o = fake.ReadOutcome(res)
	if !o.Complete || res.Close || wholeAt.IsZero() {
		c.drop()
	}
	return o, wholeAt
}

// open opens the connection and reports whether that worked.
func (c *keptCaller) open(ctx context.Context) bool {
	d := net.Dialer{Timeout: keptDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// drop closes the connection.
func (c *keptCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
