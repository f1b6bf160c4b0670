package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/entry/hop"
	"magnoliastall.example/magno"
)

const (
	// stallTimeoutGaps is how long a stream may stall before it is resumed at another upstream,
	// as a multiple of the route's allowed gap, and at least minStallTimeout. An engine that
	// reads long prompts pauses for one or two gaps.
	stallTimeoutGaps = 5
	minStallTimeout  = magno.Second
	// firstEventTimeoutAims is the timeout for the first event, as a multiple of the route's
	// aim.
	firstEventTimeoutAims = 2
	// maxEventSize bounds one event, in bytes.
	maxEventSize = 1 << 20
	// beginTime is how long after its first event a stream has begun for good: a part of its prompt that ends
	// upstreams does so as they begin to answer.
	beginTime = 500 * magno.Millis(1)
	// streamBufferSize has room for a few events.
	streamBufferSize = 2 << 10
)

// errCallerGone marks a failed write to the caller. If it counted as a failure of the upstream,
// the stream would be run again at another one for a caller that is gone.
var errCallerGone = errors.New("cannot write to the caller")

// forwardStream forwards events as they arrive. It forwards only complete events, so that the
// stream can be resumed elsewhere after the last of them.
func (j *job) forwardStream(ctx context.Context, r *magno.Replica, conn *hop.Conn, res *http.Response) result {
	err := j.copyEvents(ctx, r, conn, res)
	if err == nil {
		j.Suspects.Clear(j.prints...)
		j.putConn(conn, res)
		j.logOutcome(http.StatusOK, "served", "")
		return resultDone
	}
	if errors.Is(err, errReadWhole) {
		_ = conn.Close()
	} else {
		j.abort(conn) // stops the upstream before the stream is resumed elsewhere
	}
	if errors.Is(err, errCallerGone) {
		j.noteCancelled(r)
		return resultAborted
	}
	return j.connectionFailed(ctx, r, err)
}

// errReadWhole marks the error of a stream that was read to its end, and isn't the caller's.
var errReadWhole = errors.New("the stream was read to its end")

// errGoesOnElsewhere means that another upstream has claimed the stream.
var errGoesOnElsewhere = errors.New("another upstream has gone on with the stream")

// copyEvents forwards events until the whole end of the stream. It claims the stream with the first event that the
// caller lacks: what doesn't bring the stream on is held until then, as the other upstream may still do so.
func (j *job) copyEvents(ctx context.Context, r *magno.Replica, conn *hop.Conn, res *http.Response) error {
	events := bufio.NewReaderSize(res.Body, streamBufferSize)
	written, behind := false, false
	var held []byte
	for {
		if written && !holdsEvent(events) { // the next read may wait
			if err := j.flush(); err != nil {
				return err
			}
			written = false
		}
		j.setStallTimeout(ctx, conn)
		event, err := readEvent(events)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				return errors.Mark(j.endStream(res, held, behind), errReadWhole)
			}
			return errors.Wrap(err, "stream")
		}
		switch news := j.classify(event); {
		case news == newsKnown:
			held = nil // the caller has what came before as well
			behind = eventNumber(eventID(event)) < eventNumber(j.lastEvent)
			continue
		case news == newsUnknown && !j.race.isAlone(j.racer):
			if held = append(held, event...); len(held) > maxEventSize {
				return errors.Newf("more than %d bytes without a new event", maxEventSize)
			}
			continue
		}
		if !j.claim() {
			return errGoesOnElsewhere
		}
		if err := j.writeEvent(r, res, held, event); err != nil {
			return err
		}
		held, written = nil, true
	}
}

// flush sends what was written to the caller.
func (j *job) flush() error {
	return errors.Mark(http.NewResponseController(j.w).Flush(), errCallerGone)
}

// writeEvent forwards an event behind what was held before it.
func (j *job) writeEvent(r *magno.Replica, res *http.Response, held, event []byte) error {
	if id := eventID(event); id != "" {
		j.lastEvent = id
	}
	if j.events == 0 {
		j.recordOrigin(r)
	}
	j.noteProgress()
	j.sendHead(res)
	if err := j.write(held); err != nil {
		return err
	}
	if err := j.write(event); err != nil {
		return err
	}
	j.recordEventTime()
	return nil
}

// write forwards a part of a stream, if it isn't empty.
func (j *job) write(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	_, err := j.w.Write(part)
	return errors.Mark(err, errCallerGone)
}

// endStream claims a stream at its end and forwards what was held. A stream without events has a header as well. Behind
// is true if the last event was one before the caller's last.
func (j *job) endStream(res *http.Response, held []byte, behind bool) error {
	if j.begunAt == 0 && (behind || (endsWithConn(res) && !j.race.isAlone(j.racer))) {
		return errors.New("the stream may not have ended where its upstream did")
	}
	if !j.claim() {
		return errGoesOnElsewhere
	}
	j.sendHead(res)
	return j.write(held)
}

// endsWithConn reports whether nothing but the end of the connection tells the end of a response.
func endsWithConn(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// holdsEvent reports whether a whole event was read ahead.
func holdsEvent(r *bufio.Reader) bool {
	ahead, _ := r.Peek(r.Buffered()) // no error, as these are buffered
	return bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n"))
}

// noteProgress is called for each event of the last send's upstream. It clears the parts of the prompt of ends once
// the stream has begun for good.
//
// Load pattern: upstreams are killed so often that long streams never complete, and the part that all of them share
// would have the most ends.
func (j *job) noteProgress() {
	now := j.Clock.Now()
	switch {
	case j.begunAt == 0:
		j.begunAt = now
	case !j.underWay && now-j.begunAt >= beginTime:
		j.underWay = true
		j.Suspects.Clear(j.prints[1:]...)
	}
}

// recordEventTime records the time of the first event and the longest pause between two.
func (j *job) recordEventTime() {
	now := j.Clock.Now()
	if j.events == 0 {
		j.firstEvent = now - j.received
	} else {
		j.longestPause = max(j.longestPause, now-j.lastEventAt)
	}
	j.lastEventAt = now
	j.events++
}

// output returns the output tokens of the events that were forwarded, zero if it isn't known how many
// tokens an event has, or if the caller resumed the stream and had other events before.
func (j *job) output() int {
	if j.service.Engine == nil || j.call.From != "" {
		return 0
	}
	return min(j.events*j.service.Engine.Stride, j.call.Output)
}

// setStallTimeout bounds the wait for the next event if the stream could be resumed elsewhere.
func (j *job) setStallTimeout(ctx context.Context, conn *hop.Conn) {
	limit := max(stallTimeoutGaps*j.route.Gap, minStallTimeout)
	if j.events == 0 {
		limit = max(firstEventTimeoutAims*j.route.Aim, minStallTimeout)
	}
	j.setRetryLimit(ctx, conn, limit)
}

// news is what an event brings to the caller.
type news int

const (
	newsKnown   news = iota // the caller has it, as the upstream started the stream from the beginning
	newsUnknown             // a comment, or an event without an id that the caller may have
	newsNew
)

// classify returns what an event brings to the caller.
func (j *job) classify(event []byte) news {
	id := eventID(event)
	switch {
	case id != "" && j.lastEvent != "" && eventNumber(id) <= eventNumber(j.lastEvent):
		return newsKnown
	case id != "":
		return newsNew
	case hasData(event) && (j.events == 0 || j.begunAt != 0):
		return newsNew
	}
	return newsUnknown
}

// sendHead sends the header of the response, once: that of the first upstream whose event is
// forwarded.
func (j *job) sendHead(res *http.Response) {
	if j.headSent {
		return
	}
	j.headSent = true
	h := j.w.Header()
	copyHeader(h, res.Header)
	disableSniffing(h)
	j.setConnectionClose(h)
	j.w.WriteHeader(res.StatusCode)
}

// readEvent reads up to the empty line that ends an event. With io.EOF it returns the start of
// a truncated event, empty if there is none.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	within := false // the next bytes go on with a line
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if err == nil && !within && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		within = err != nil
		if len(event) > maxEventSize {
			return event, errors.Newf("event is larger than %d bytes", maxEventSize)
		}
	}
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// hasData reports whether an event has data. Comments have none.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// eventNumber parses an event's id. An invalid id sorts before all others.
func eventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return n
}
