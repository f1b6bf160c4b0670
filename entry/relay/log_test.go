package relay

import (
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"magnoliastall.example/magno"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *logBuffer) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// Guards against an interrupted stream whose line in the log doesn't tell what its last upstreams did.
func TestInterruptedStreamIsLoggedWithItsCause(t *testing.T) {
	u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		writeChunk(c, eventText(1))
		return false
	})
	s := newTestProxy(t, magno.RouteStream, true, u, startUpstream(t, others["the other refuses"]))
	log := &logBuffer{}
	s.Log = log.logger()
	if _, _, err := s.get(t, http.MethodPost, "1"); err == nil {
		t.Fatal("the stream is whole")
	}
	for _, want := range []string{"outcome=interrupted", "the last try: notrun: status 503"} {
		waitFor(t, "a line with "+want, func() bool { return strings.Contains(log.String(), want) })
	}
}
