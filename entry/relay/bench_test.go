package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkStream forwards a stream of 36 events from an upstream to a caller over loopback.
// The time includes all three.
func BenchmarkStream(b *testing.B) {
	u := startUpstream(b, func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r.Header.Get("Id"))
		for n := range 36 {
			writeChunk(c, eventText(n+1))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newTestProxy(b, magno.RouteStream, true, u)
	for i := 0; b.Loop(); i++ {
		if _, _, err := s.get(b, http.MethodPost, fmt.Sprint(i)); err != nil {
			b.Fatal(err)
		}
	}
}
