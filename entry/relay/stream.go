package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
)

const (
	// stallGaps is how many of the longest pauses that a route allows a stream
	// may stand still until it goes on at another upstream, and leastStall the
	// least: an engine that reads long prompts pauses for one or two of them.
	stallGaps  = 5
	leastStall = magno.Second
	// firstStall is the same for the first event, in aims.
	firstStall = 2
	// eventLimit bounds one event.
	eventLimit = 1 << 20
	// streamBuffer holds a few events.
	streamBuffer = 2 << 10
)

// errCaller marks that the caller could not be written to. Taken for a failure of
// the upstream, it would run the stream again at another one for nobody.
var errCaller = errors.New("the caller is gone")

// stream passes events on as they come. Only whole ones are passed on, so that
// the stream can go on elsewhere after the last of them.
func (j *job) stream(ctx context.Context, r *magno.Replica, conn *hop.Conn, res *http.Response) result {
	err := j.pump(conn, res)
	if err == nil {
		j.Conns.Put(conn, res)
		j.begin(res) // a stream without events has a head as well
		j.note(http.StatusOK, "served", "")
		return resultDone
	}
	// Closing makes the upstream stop, before the stream goes on elsewhere.
	_ = conn.Close()
	if errors.Is(err, errCaller) {
		return resultGone
	}
	return j.broken(ctx, r, err)
}

// pump reads events until the stream's end.
func (j *job) pump(conn *hop.Conn, res *http.Response) error {
	events := bufio.NewReaderSize(res.Body, streamBuffer)
	flush := http.NewResponseController(j.w)
	for {
		j.patience(conn)
		event, err := readEvent(events)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				return nil
			}
			return errors.Wrap(err, "stream")
		}
		if !j.newer(event) {
			continue
		}
		j.begin(res)
		if _, err := j.w.Write(event); err != nil {
			return errors.Mark(err, errCaller)
		}
		j.timed()
		if events.Buffered() > 0 {
			continue // the next event goes out with it
		}
		if err := flush.Flush(); err != nil {
			return errors.Mark(err, errCaller)
		}
	}
}

// timed notes when the first event came and the longest pause between two.
func (j *job) timed() {
	now := j.Clock.Now()
	if j.events == 0 {
		j.first = now - j.came
	} else {
		j.pause = max(j.pause, now-j.passed)
	}
	j.passed = now
	j.events++
}

// patience bounds the wait for the next event where the stream could go on
// elsewhere.
func (j *job) patience(conn *hop.Conn) {
	if !j.mayGoElsewhere() {
		return
	}
	limit := max(stallGaps*j.route.Gap, leastStall)
	if j.events == 0 {
		limit = max(firstStall*j.route.Aim, leastStall)
	}
	_ = conn.SetReadDeadline(time.Now().Add(limit.Span()))
}

// newer notes an event's number; false when the caller has it already, as the
// first events of an upstream that began anew.
func (j *job) newer(event []byte) bool {
	id := eventID(event)
	if id == "" {
		return true
	}
	if number(id) <= number(j.last) && j.last != "" {
		return false
	}
	j.last = id
	return true
}

// begin sends the head of the answer, of the first upstream whose event is
// passed on.
func (j *job) begin(res *http.Response) {
	if j.started {
		return
	}
	j.started = true
	h := j.w.Header()
	copyHeader(h, res.Header)
	plainType(h)
	j.closing(h)
	j.w.WriteHeader(res.StatusCode)
}

// readEvent reads up to the empty line that ends an event. With io.EOF, what
// it returns is the beginning of an event that was cut off.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		if len(event) > eventLimit {
			return event, errors.Newf("an event of over %d bytes", eventLimit)
		}
	}
}

// eventID is the number that an event states, empty when it states none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// number reads an event's number; one that is none counts as before all.
func number(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
