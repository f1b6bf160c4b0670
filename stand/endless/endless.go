// Package endless answers requests with bytes without end, as a faulty server may.
package endless

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Row is what comes without end.
type Row int

// The rows: the first come where a head is due, the others within a body.
const (
	StatusLine Row = iota
	HeaderField
	Bytes
	HeaderFields
	Interim
	OtherAnswers
	Body
	ChunkSize
	ChunkExtension
	Trailers
	Event
	Events
	rows
)

// Rows is the number of rows.
const Rows = int(rows)

// blockBytes is the least size of one write.
const blockBytes = 16 << 10

const (
	head    = "HTTP/1.1 200 OK\r\n"
	chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	stream  = head + "Content-Type: text/event-stream\r\n\r\n"
)

// texts has the beginning of each row and what is repeated after it.
var texts = [rows]struct{ name, first, rest string }{
	StatusLine:     {"status line", "HTTP/1.1 200 ", "x"},
	HeaderField:    {"header field", head + "A: ", "x"},
	Bytes:          {"bytes", "", "x"},
	HeaderFields:   {"header fields", head, "A: b\r\n"},
	Interim:        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	OtherAnswers:   {"answers to other requests", "", head + "Content-Length: 0\r\n\r\n"},
	Body:           {"body", head + "\r\n", "x"},
	ChunkSize:      {"chunk size", chunked, "0"},
	ChunkExtension: {"chunk extension", chunked + "1;", "x"},
	Trailers:       {"trailers", chunked + "0\r\n", "A: b\r\n"},
	Event:          {"event", stream + "data: ", "x"},
	Events:         {"events", stream, "data: x\n\n"},
}

// String returns the row's name.
func (r Row) String() string { return texts[r].name }

// Write answers a request with a row until the connection breaks. Own has the header fields by which an answer belongs
// to its request; they come in the rows of a body.
func (r Row) Write(w http.ResponseWriter, own http.Header) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	r.write(conn, rw.Writer, own)
}

func (r Row) write(conn net.Conn, w *bufio.Writer, own http.Header) {
	t := texts[r]
	first := t.first
	if after, ok := strings.CutPrefix(first, head); ok && r >= Body {
		var fields strings.Builder
		_ = own.Write(&fields)
		first = head + fields.String() + after
	}
	if r == OtherAnswers {
		var fields strings.Builder
		_ = others(own).Write(&fields)
		t.rest = head + fields.String() + strings.TrimPrefix(t.rest, head)
	}
	if _, err := w.WriteString(first); err != nil || w.Flush() != nil {
		return
	}
	block := []byte(strings.Repeat(t.rest, blockBytes/len(t.rest)+1))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// others returns the header fields of own with values of another request.
func others(own http.Header) http.Header {
	h := http.Header{}
	for name := range own {
		h.Set(name, "other")
	}
	return h
}

// Handler passes requests to Next, or answers them without end while a row is set.
type Handler struct {
	Next http.Handler
	// Own returns the header fields by which an answer belongs to its request. It may be nil.
	Own func(r *http.Request) http.Header

	mu      sync.Mutex
	row     Row
	active  bool
	answers int
}

// Set answers all requests with a row until the returned function is called.
func (h *Handler) Set(row Row) (undo func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.row, h.active = row, true
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.active = false
	}
}

// Answers returns how many requests were answered without end.
func (h *Handler) Answers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answers
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	row, active := h.row, h.active
	if active {
		h.answers++
	}
	h.mu.Unlock()
	if !active {
		h.Next.ServeHTTP(w, r)
		return
	}
	var own http.Header
	if h.Own != nil {
		own = h.Own(r)
	}
	row.Write(w, own)
}
