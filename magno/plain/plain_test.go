package plain

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// serve answers one connection with raw bytes after it has read the request. With an
// empty answer it closes the connection.
func serve(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

func status(line string) string { return "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n" }

// A service takes the call and its connection is cut, or its answer is too long or
// truncated. The caller must neither be told that nothing ran nor get a part of the
// answer as the whole.
func TestRunOfAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, answer string
		kind         magno.Kind
		run          magno.Run
	}{
		{"whole", ok + "Content-Length: 2\r\n\r\nhi", "", ""},
		{"whole in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "", ""},
		{"no answer", "", magno.KindUnknown, magno.RunUnknown},
		{"cut by length", ok + "Content-Length: 9\r\n\r\nhi", magno.KindUnknown, magno.RunUnknown},
		{"cut by chunks", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", magno.KindUnknown, magno.RunUnknown},
		{"no stated end", ok + "\r\nhi", magno.KindInterrupted, magno.RunUnknown},
		{"too long", ok + "Content-Length: 1048577\r\n\r\n" + strings.Repeat("x", maxAnswerBytes+1), magno.KindFailed, magno.RunYes},
		{"429", status("429 Many"), magno.KindBusy, magno.RunNo},
		{"400", status("400 Bad"), magno.KindMalformed, magno.RunUnknown},
		{"404", status("404 None"), magno.KindMalformed, magno.RunUnknown},
		{"500", status("500 Failed"), magno.KindFailed, magno.RunUnknown},
		{"503", status("503 Away"), magno.KindUnknown, magno.RunUnknown},
		{"redirect", "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", magno.KindFailed, magno.RunUnknown},
	}
	for _, tt := range tests {
		p := &Upstream{}
		p.SetAddress(serve(t, tt.answer), 0)
		check(t, tt.name, p, tt.kind, tt.run)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	p := &Upstream{}
	p.SetAddress(listener.Addr().String(), 0)
	check(t, "gone", p, magno.KindNoUpstream, magno.RunNo)
}

func check(t *testing.T, name string, p *Upstream, kind magno.Kind, run magno.Run) {
	t.Helper()
	emitted := ""
	result, err := p.Run(context.Background(), magno.Work{Path: "c", Body: "b"}, func(piece magno.Piece) { emitted += piece.Text })
	if kind == "" {
		if err != nil || result.Text != "hi" || emitted != "hi" {
			t.Errorf("%s: %q %q %v", name, result.Text, emitted, err)
		}
		return
	}
	var refusal *magno.Refusal
	if !errors.As(err, &refusal) || refusal.Kind != kind || refusal.Run != run || emitted != "" {
		t.Errorf("%s: %v, emitted %d bytes", name, err, len(emitted))
	}
}
