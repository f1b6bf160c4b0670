package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// The case "slow": consumers read long answers slowly while the machine that took their requests is stopped
// as planned. Each would have its answer before the grace period is over.
const (
	slowNum     = 2
	answerBytes = 14 << 20
	// slowBytes are read in each slowStep: 1.6 MB in a second.
	slowBytes   = 160_000
	slowStep    = 100 * time.Millisecond
	slowBuffer  = 64 << 10
	slowLimit   = 30 * time.Second
	beforeStop  = 3 * time.Second
	calmTime    = 4 * time.Second
	stopTimeout = graceTime + time.Second
)

// reading is what a consumer that reads slowly got.
type reading struct {
	id          string
	sent, ended time.Time
	status      int
	bytes       int
	whole       bool
	err         error
}

// runSlow counts the requests whose channel ends without a whole answer between the SIGTERM and a second after the
// grace period.
func runSlow(w *world, trouble bool) (int, error) {
	w.store.put("op/config", deskPlan(3, int(slowLimit.Milliseconds())))
	body := make([]byte, answerBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	workers, err := startDesk(w, deskWork, body)
	if err != nil {
		return 0, err
	}
	if err := w.startEntries(2, func(int) string { return w.address(0, 1, portStore) }); err != nil {
		return 0, err
	}
	if err := w.awaitReady(2); err != nil {
		return 0, err
	}
	w.pause(calmTime)
	results := make(chan reading)
	for i := range slowNum {
		go func() { results <- w.readSlowly(fmt.Sprintf("%016x", i+1), trouble) }()
	}
	w.pause(beforeStop)
	stoppedAt := time.Now()
	w.say("SIGTERM of %s", w.procs[0].name)
	w.procs[0].signal(syscall.SIGTERM)
	broken, runs := 0, 0
	for range slowNum {
		r := <-results
		after := r.ended.Sub(stoppedAt)
		w.noteAt(r.ended, "%s: status %d, %d of %d bytes, whole %t, %s after it was sent, %s after the SIGTERM: %v", r.id, r.status, r.bytes, answerBytes, r.whole, r.ended.Sub(r.sent), after, r.err)
		if r.sent.IsZero() {
			return 0, fmt.Errorf("%w: %v", errCannotRun, r.err)
		}
		if !r.whole && after >= 0 && after <= stopTimeout && r.ended.Sub(r.sent) < slowLimit {
			broken++
			w.noteAt(r.ended, "LOST: %s was passed on to a worker, and its channel ended after %d of %d bytes", r.id, r.bytes, answerBytes)
		}
	}
	for _, p := range workers {
		for _, a := range p.allArrivals() {
			if a.ran {
				runs++
			}
		}
	}
	w.say("%d requests, %d runs; %d channels ended without a whole answer within %s after the SIGTERM", 2*slowNum, runs, broken, stopTimeout)
	if runs < 2*slowNum {
		return 0, fmt.Errorf("%w: %d runs", errCannotRun, runs)
	}
	return broken, nil
}

// readSlowly sends a short request, and one with a long answer over the same channel, and reads that answer slowly if
// slow is set.
func (w *world) readSlowly(id string, slow bool) reading {
	r := reading{id: id}
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
	}}
	ctx, cancel := context.WithTimeout(w.ctx, slowLimit)
	defer cancel()
	c, err := d.DialContext(ctx, "tcp", w.entry(0))
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(slowLimit))
	in := bufio.NewReaderSize(c, 4096)
	res, err := w.ask(c, in, "f"+id[1:], "/puxa403/short")
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		r.err = err
		return r
	}
	r.sent = time.Now()
	res, r.err = w.ask(c, in, id, "/puxa403"+largeSuffix)
	if r.err != nil {
		r.ended = time.Now()
		return r
	}
	r.status = res.StatusCode
	for r.err == nil {
		var n int64
		n, r.err = io.CopyN(io.Discard, res.Body, slowBytes)
		r.bytes += int(n)
		if slow && r.err == nil {
			time.Sleep(slowStep)
		}
	}
	r.ended = time.Now()
	r.whole = errors.Is(r.err, io.EOF) && r.bytes == answerBytes
	return r
}

// ask sends a request and reads the header of its answer.
func (w *world) ask(c net.Conn, in *bufio.Reader, id, path string) (*http.Response, error) {
	w.note("sent %s: %s", id, path)
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 6\r\n\r\nrecord", path, host, names["attempt"], id, names["deadline"], slowLimit.Milliseconds())
	if err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err == nil {
		w.note("answer %s: %d", id, res.StatusCode)
	}
	return res, err
}
