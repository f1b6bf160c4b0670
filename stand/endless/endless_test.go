package endless

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A fault that isn't played lets a test pass that shows nothing: each row must go on beyond any buffer, with the fields
// of its request, and requests must be served again after it.
func TestEachRowGoesOn(t *testing.T) {
	h := &Handler{
		Next: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") }),
		Own:  func(r *http.Request) http.Header { return http.Header{"Id": {r.Header.Get("Id")}} },
	}
	s := httptest.NewServer(h)
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	for row := range Row(Rows) {
		t.Run(row.String(), func(t *testing.T) {
			undo := h.Set(row)
			text := readSome(t, address, 4<<20)
			undo()
			rest := texts[row].rest
			if row == OtherAnswers {
				rest = head + "Id: other\r\nContent-Length: 0\r\n\r\n"
			}
			if !strings.Contains(text[len(text)-2*blockBytes:], rest) {
				t.Errorf("no %q at the end", rest)
			}
			if reachesBody := strings.Contains(texts[row].first, "\r\n\r\n"); reachesBody && !strings.Contains(text[:200], "Id: 7\r\n") {
				t.Errorf("%q lacks the fields of its request", text[:200])
			}
		})
	}
	if n := h.Answers(); n != Rows {
		t.Errorf("%d answers without end, want %d", n, Rows)
	}
	res, err := http.Get(s.URL)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", res, err)
	}
	_ = res.Body.Close()
}

// readSome returns the first n bytes of an answer.
func readSome(t *testing.T, address string, n int) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nId: 7\r\n\r\n")
	text := make([]byte, n)
	for read := 0; read < n; {
		k, err := c.Read(text[read:])
		if err != nil {
			t.Fatalf("ended after %d bytes: %v", read, err)
		}
		read += k
	}
	return string(text)
}
