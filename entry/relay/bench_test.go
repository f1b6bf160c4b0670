package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"magnoliastall.example/magno"
)

// BenchmarkStream passes a stream of 36 events from an upstream to a caller,
// over loopback. The time is that of all three.
func BenchmarkStream(b *testing.B) {
	u := serveUpstream(b, func(_ int, r *http.Request, c net.Conn) bool {
		head(c, r.Header.Get("Id"))
		for n := range 36 {
			chunk(c, event(n+1))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	s := newSite(b, magno.KindStream, true, u)
	for i := 0; b.Loop(); i++ {
		if _, _, err := s.get(b, http.MethodPost, fmt.Sprint(i)); err != nil {
			b.Fatal(err)
		}
	}
}
