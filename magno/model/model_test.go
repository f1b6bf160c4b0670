package model

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

const (
	chunk = `data: {"model":"a@1","choices":[{"text":"x y"}]}` + "\n\n"
	last  = `data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}` + "\n\n"
	done  = "data: [DONE]\n\n"
)

// If an engine fails, its connection closes between two events, and the text so far looks
// like a short answer. It must not be returned as complete.
func TestCutStream(t *testing.T) {
	tests := []struct {
		name, body string
		whole      bool
	}{
		{"whole", chunk + last + done, true},
		{"no space after the colon", strings.ReplaceAll(chunk+done, "data: ", "data:"), true},
		{"comments and other fields", ": ping\nevent: x\n" + chunk + done, true},
		{"nothing", "", false},
		{"no end", chunk, false},
		{"finish reason but no end", chunk + last, false},
		{"cut inside the end", chunk + last + "data: [DON", false},
		{"cut inside an event", chunk + `data: {"choices":[{"te`, false},
		{"an error for an event", chunk + `data: {"error":{"message":"crashed"}}` + "\n\n" + done, false},
		{"an event over the limit", chunk + "data: " + strings.Repeat("x", maxEventBytes+1), false},
	}
	for _, tt := range tests {
		var joined strings.Builder
		result, err := readStream(strings.NewReader(tt.body), func(p magno.Piece) { joined.WriteString(p.Text) })
		var refusal *magno.Refusal
		if tt.whole != (err == nil) || (err != nil && !errors.As(err, &refusal)) {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		if tt.whole && (result.Text != "x y" || joined.String() != "x y" || result.Ref != ParseRef("a@1")) {
			t.Errorf("%s: %+v, pieces %q", tt.name, result, joined.String())
		}
		if !tt.whole && (refusal.Kind != magno.KindInterrupted || refusal.Run != magno.RunUnknown) {
			t.Errorf("%s: %v run=%s", tt.name, refusal, refusal.Run)
		}
	}
}

// A proxy answers 503 if the engine is slow, and an engine may answer 500 after it started
// the request. If that were reported as RunNo, callers would repeat the request and it would
// be executed twice. Only statuses that the protocol lists as never run may give RunNo.
func TestRunOfStatus(t *testing.T) {
	tests := []struct {
		status int
		kind   magno.Kind
		run    magno.Run
	}{
		{404, magno.KindLoading, magno.RunNo},
		{412, magno.KindLoading, magno.RunNo},
		{429, magno.KindBusy, magno.RunNo},
		{400, magno.KindMalformed, magno.RunUnknown},
		{409, magno.KindFailed, magno.RunUnknown},
		{424, magno.KindFailed, magno.RunUnknown},
		{499, magno.KindFailed, magno.RunUnknown},
		{500, magno.KindFailed, magno.RunUnknown},
		{503, magno.KindUnknown, magno.RunUnknown},
		{302, magno.KindFailed, magno.RunUnknown},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "http://127.0.0.1:1/")
			w.WriteHeader(tt.status)
		}))
		refusal := run(t, server.Listener.Addr().String())
		if refusal.Kind != tt.kind || refusal.Run != tt.run {
			t.Errorf("%d: %v run=%s", tt.status, refusal, refusal.Run)
		}
		server.Close()
	}
}

// A failure to connect proves that the request was not executed. A connection that closes
// after the request was received proves nothing.
func TestRunOfConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 16))
			_ = conn.Close()
		}
	}()
	if refusal := run(t, address); refusal.Kind != magno.KindUnknown || refusal.Run != magno.RunUnknown {
		t.Errorf("cut: %v run=%s", refusal, refusal.Run)
	}
	_ = listener.Close()
	if refusal := run(t, address); refusal.Kind != magno.KindNoUpstream || refusal.Run != magno.RunNo {
		t.Errorf("gone: %v run=%s", refusal, refusal.Run)
	}
}

func run(t *testing.T, address string) *magno.Refusal {
	t.Helper()
	m := &Engine{}
	m.SetAddress(address, 1)
	_, err := m.Run(context.Background(), magno.Work{Body: "p"}, func(magno.Piece) {})
	var refusal *magno.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("%v", err)
	}
	return refusal
}

func FuzzRead(f *testing.F) {
	for _, seed := range []string{"", chunk + last + done, chunk, "data:", `data: {"choices":null,"usage":null,"error":null}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		var joined strings.Builder
		result, err := readStream(strings.NewReader(body), func(p magno.Piece) { joined.WriteString(p.Text) })
		if err == nil && (!strings.Contains(body, "[DONE]") || result.Text != joined.String()) {
			t.Errorf("%q accepted as complete: %+v", body, result)
		}
	})
}
