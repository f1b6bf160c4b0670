package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an event that is taken for whole in its middle, for a line of it fills the read buffer to the byte.
func TestLineThatFillsTheBufferEndsNoEvent(t *testing.T) {
	for _, lineLen := range []int{streamBufferSize - 1, streamBufferSize, streamBufferSize + 1, 2 * streamBufferSize} {
		for _, end := range []string{"\n", "\r\n"} {
			text := "data: " + strings.Repeat("x", lineLen-len("data: ")) + end + "id: 1" + end + end
			event, err := readEvent(bufio.NewReaderSize(strings.NewReader(text), streamBufferSize))
			if err != nil || string(event) != text {
				t.Errorf("a line of %d bytes before %q: the event of %d bytes was read as one of %d, %v", lineLen, end, len(text), len(event), err)
			}
		}
	}
}

// Guards against pieces of two runs that are joined: a run breaks off within an event, the start of which was passed on.
func TestResumedStreamJoinsNoPieces(t *testing.T) {
	line := "data: " + strings.Repeat("x", streamBufferSize-len("data: ")) + "\n"
	second := "id: 2\n" + line + "\n"
	for name, cut := range map[string]string{"the id before it": "id: 2\n" + line, "the id behind it": line} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				writeChunk(c, eventText(1))
				writeChunk(c, cut)
				return false
			})
			v := startUpstream(t, func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r.Header.Get("Id"))
				if r.Header.Get("From") != "2" {
					writeChunk(c, second)
				}
				writeChunk(c, eventText(3))
				fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			s := newSilentProxy(t, magno.RouteStream, true, u, v)
			_, body, err := s.get(t, http.MethodPost, "1")
			if want := eventText(1) + second + eventText(3); err != nil || body != want {
				got := strings.ReplaceAll(body, strings.Repeat("x", streamBufferSize-len("data: ")), "x...")
				t.Errorf("got %q, %v, want the events 1, 2 and 3", got, err)
			}
		})
	}
}
