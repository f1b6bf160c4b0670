package plain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against a service whose answer, or its header, never ends and fills the agent's memory.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, first, rest string
		limit             int
	}{
		{"a status line", "HTTP/1.1 200 ", "x", maxHeaderBytes},
		{"header fields", head, "A: b\r\n", maxHeaderBytes},
		{"interim answers", "", "HTTP/1.1 103 x\r\nA: b\r\n\r\n", maxHeaderBytes},
		{"a body", head + "\r\n", "x", maxAnswerBytes},
		{"a body longer than its length", head + "Content-Length: 3000000\r\n\r\n", "x", maxAnswerBytes},
		{"a failure's body", "HTTP/1.1 500 x\r\n\r\n", "x", maxAnswerBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			read := make(chan int, 1)
			p := &Upstream{}
			p.SetAddress("127.0.0.1:1", 1)
			p.Client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					_, _ = far.Read(make([]byte, 4<<10)) // the request
					n, err := fmt.Fprint(far, c.first)
					block := []byte(strings.Repeat(c.rest, 1000))
					for k := 0; err == nil && n < 16<<20; n += k {
						k, err = far.Write(block)
					}
					read <- n
				}()
				return near, nil
			}
			_, err := p.Run(t.Context(), magno.Work{Body: "b", Path: "p"}, func(magno.Piece) {})
			var refusal *magno.Refusal
			if !errors.As(err, &refusal) {
				t.Errorf("the answer was taken: %v", err)
			}
			const readAhead = 64 << 10
			if n := <-read; n > c.limit+readAhead {
				t.Errorf("%d bytes were read, at most %d may be", n, c.limit+readAhead)
			}
		})
	}
}
