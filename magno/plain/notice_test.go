package plain

import (
	"context"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against what a service states about itself being dropped by its client.
func TestNoticeInAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for _, c := range []struct {
		answer string
		want   magno.Notice
	}{
		{ok + "\r\nhi", magno.Notice{}},
		{ok + "X-Limit: 1.5\r\nX-Leaving: 1\r\n\r\nhi", magno.Notice{Limited: true, Rate: 1.5, Leaving: true}},
		{ok + "X-Limit: -2\r\nRetry-After: 3\r\n\r\nhi", magno.Notice{}},
		{"HTTP/1.1 503 x\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n", magno.Notice{RetryAfter: 500}},
		{"HTTP/1.1 429 x\r\nRetry-After: 1e6\r\nContent-Length: 0\r\n\r\n", magno.Notice{RetryAfter: 5 * magno.Minute}},
		{"HTTP/1.1 503 x\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n", magno.Notice{}},
	} {
		p := &Upstream{}
		p.SetAddress(serve(t, c.answer), 0)
		var got []magno.Notice
		clock := magno.NewClock(magno.Hour)
		p.OnNotice(clock, func(n magno.Notice, sentAt magno.Millis) {
			got = append(got, n)
			if sentAt != clock.Now() {
				t.Errorf("sent at %d", sentAt)
			}
		})
		_, _ = p.Run(context.Background(), magno.Work{Path: "x"}, func(magno.Piece) {})
		if len(got) != 1 || got[0] != c.want {
			t.Errorf("%q: got %+v, want %+v", c.answer, got, c.want)
		}
	}
}
