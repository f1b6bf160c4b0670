package soak

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// Guards against a silence that something of an upstream escapes: an answer in progress, a new connection, or a
// request that comes meanwhile. All of it goes on afterwards.
func TestSilentUpstreamStandsStillAndGoesOn(t *testing.T) {
	f := newFleet(t.TempDir(), programDir, Size{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.ctx = ctx
	if err := f.startPlains(1); err != nil {
		t.Fatal(err)
	}
	u := f.plains[0]
	get := func(path string) *http.Response {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.listen+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		u.worker.SetRequest(req.Header, path)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	flowing := get(fake.PathFlow + longSuffix)
	defer flowing.Body.Close()
	if _, err := io.ReadFull(flowing.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	silent := make(chan struct{})
	go func() {
		defer close(silent)
		u.gate.shut(minSilence)
	}()
	for len(u.gate.silentIn(period{began, time.Now()})) == 0 {
		time.Sleep(time.Millisecond)
	}
	arrivals := len(u.worker.Arrivals())
	answered := make(chan time.Time, 1)
	go func() {
		_ = get(fake.PathOnce + "x").Body.Close()
		answered <- time.Now()
	}()
	time.Sleep(minSilence / 2)
	if n := len(u.worker.Arrivals()); n != arrivals {
		t.Errorf("%d requests arrived at a silent upstream", n-arrivals)
	}
	<-silent
	if at := <-answered; at.Before(u.gate.silences[0].to) {
		t.Error("a request was answered within the silence")
	}
	rest, err := io.ReadAll(flowing.Body)
	if last, _ := fake.ParseStream("i" + string(rest)); err != nil || last != longStream {
		t.Errorf("the stream ended after event %d: %v", last, err)
	}
}

// Guards against a caller on a kept connection that takes a response that breaks off for a whole one, repeats a
// request, or counts one as sent that wasn't.
func TestKeptCallerReportsHowConnectionsEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	serveOn(t.Context(), l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/repeat/close":
			panic(http.ErrAbortHandler)
		case "/repeat/cut":
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	c := &keptCaller{caller: &fake.Caller{}, address: l.Addr().String()}
	for n, want := range []struct {
		target   string
		status   int
		complete bool
	}{{"/repeat/x", http.StatusOK, true}, {"/repeat/close", 0, false}, {"/repeat/cut", http.StatusOK, false}, {"/repeat/x", http.StatusOK, true}} {
		o, wholeAt := c.send(t.Context(), fake.Message{Target: want.target})
		if o.Status != want.status || o.Complete != want.complete || wholeAt.IsZero() || requests.Load() != int64(n+1) {
			t.Errorf("%s: got %+v, sent at %s, %d requests so far", want.target, o, wholeAt, requests.Load())
		}
	}
	_ = l.Close()
	c.drop()
	if _, wholeAt := c.send(t.Context(), fake.Message{Target: "/repeat/x"}); !wholeAt.IsZero() {
		t.Error("a request that no server took counts as sent")
	}
}

// Guards against a check that can't fail, and one that counts what may end without an answer.
func TestLostCheckFindsConnectionsThatEnd(t *testing.T) {
	f := newFleet(t.TempDir(), programDir, Size{})
	f.entries = []string{"e1", "e2"}
	w := &fake.Worker{ID: "up-1"}
	w.Start()
	f.allWorkers, f.plains = []*fake.Worker{w}, []*upstream{{listed: "up", worker: w}}
	began := time.Now().Add(-time.Minute)
	f.planned = []planned{{at: began, what: changeStop, entry: 0, window: stopWindow}}
	s := &Soak{Out: io.Discard, fleet: f, sent: map[string]*request{}}
	// add adds a request that was sent after a time and ended another one later with a status and a whole body or none.
	add := func(id, entry string, at, lasted time.Duration, status int, whole, arrived bool) {
		r := &request{path: fake.PathOnce, target: fake.PathOnce, entry: entry, at: began.Add(at), wholeAt: began.Add(at), doneAt: began.Add(at + lasted)}
		r.outcome = fake.Outcome{Status: status, Complete: whole}
		s.sent[id] = r
		if arrived {
			w.Run(id, fake.PathOnce, -1)
			w.ArriveAt(r.at)
		}
	}
	const ms = time.Millisecond
	add("served", "e2", 0, time.Second, http.StatusOK, true, true)
	add("refused", "e2", 0, time.Second, http.StatusServiceUnavailable, true, false)
	add("timed out", "e2", 0, usualTimeout, 0, false, true)
	add("crossed", "e1", 0, lossSlack, 0, false, false)
	add("late in the grace period", "e1", lateStop, lateGrace-lateStop, 0, false, true)
	if list, excused := s.losses(); len(list) != 0 || len(excused) != 3 {
		t.Errorf("got %+v and %v, want none and three reasons", list, excused)
	}
	add("cut", "e2", 0, time.Second, http.StatusOK, false, true)
	add("closed unread", "e2", 0, lossSlack+ms, 0, false, false)
	add("closed with a request", "e2", 0, ms, 0, false, true)
	if broken := s.checkLost(true); len(broken) != 0 {
		t.Errorf("three at any time: %q", broken)
	}
	add("failed", "e2", 0, time.Second, http.StatusBadGateway, true, true)
	if broken := s.checkLost(false); len(broken) != 0 {
		t.Errorf("502 beside failures: %q", broken)
	}
	if broken := s.checkLost(true); len(broken) != 1 {
		t.Errorf("got %q, want four lost", broken)
	}
	delete(s.sent, "failed")
	add("beside a stop", "e1", time.Second, time.Second, 0, false, true)
	delete(s.sent, "cut")
	if broken := s.checkLost(true); len(broken) != 1 || !strings.Contains(broken[0], "beside a stop") {
		t.Errorf("got %q, want the one beside a stop", broken)
	}
}

// Guards against a check that excuses the end of the grace period for requests that no upstream was still at work on then.
func TestLostCheckAsksWhetherUpstreamWasAtWork(t *testing.T) {
	const ms = time.Millisecond
	began := time.Now().Add(-time.Minute)
	for name, c := range map[string]struct {
		// sent, ended and done count from the stop. Ended is when the upstream ended its work, zero if it didn't.
		sent, ended, done time.Duration
		// silent is when the upstream's silence ended in which it ended its work, zero if it wasn't silent.
		silent   time.Duration
		declined bool
		// unread is true if the upstream read the request only after its connection had ended, status that of a whole answer.
		unread  bool
		status  int
		excused int
	}{
		"at work":                          {sent: lateStop, done: lateGrace, excused: 1},
		"at work until the last sixth":     {sent: -ms, ended: lateGrace + ms, done: lateGrace + ms, excused: 1},
		"silent until the last sixth":      {ended: lateGrace - 500*ms, silent: lateGrace + ms, done: lateGrace + ms, excused: 1},
		"silent until before":              {ended: lateGrace - 500*ms, silent: lateGrace - ms, done: lateGrace + ms},
		"had ended before the last sixth":  {ended: lateGrace - ms, done: lateGrace + ms},
		"declined":                         {declined: true, done: lateGrace + ms},
		"ended before the last sixth":      {done: lateGrace - ms},
		"sent too late":                    {sent: lateStop + ms, done: lateGrace + ms},
		"read too late":                    {unread: true, done: lateGrace + ms},
		"read too late, and got 502":       {unread: true, status: http.StatusBadGateway, done: lateGrace + ms, excused: 1},
		"ended after the entry had to end": {sent: lateStop, done: stopWindow + ms},
	} {
		f := newFleet(t.TempDir(), programDir, Size{})
		f.entries = []string{"e1"}
		w := &fake.Worker{ID: "up-1"}
		w.Start()
		u := &upstream{listed: "up", worker: w}
		f.allWorkers, f.plains = []*fake.Worker{w}, []*upstream{u}
		f.planned = []planned{{at: began, what: changeStop, entry: 0, window: stopWindow}}
		s := &Soak{Out: io.Discard, fleet: f, sent: map[string]*request{}}
		s.sent["r"] = &request{path: fake.PathOnce, target: fake.PathOnce, entry: "e1",
			at: began.Add(c.sent), wholeAt: began.Add(c.sent), doneAt: began.Add(c.done),
			outcome: fake.Outcome{Status: c.status, Complete: c.status != 0}}
		if c.declined {
			w.Arrive("r", fake.PathOnce)
		} else {
			w.Run("r", fake.PathOnce, -1)
		}
		if !c.unread {
			w.ArriveAt(began.Add(c.sent))
		}
		if c.ended != 0 {
			w.EndAt(began.Add(c.ended))
		}
		if c.silent != 0 {
			u.gate.silences = []period{{began.Add(c.ended - ms), began.Add(c.silent)}}
		}
		list, excused := s.losses()
		if excused["the grace period was over"] != c.excused || len(list) != 1-c.excused {
			t.Errorf("%s: got %v and %+v", name, excused, list)
		}
	}
}

// Guards against an answer in progress that ends since its upstream is silent, beside upstreams that fail, that refuse,
// and beside planned work.
func TestSoundSilenceLosesNoRequest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		var out bytes.Buffer
		s := &Soak{Seed: seed, Duration: 4 * time.Second, Dir: t.TempDir(), Bin: programDir, Out: &out, SilencesOnly: true}
		broken, err := s.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, what := range broken {
			t.Errorf("seed %d: %s", seed, what)
		}
		if s.faults["silence of "+fake.PlainService] == 0 || s.faults["silence of "+fake.EngineService] == 0 || s.keptSent() == 0 {
			t.Errorf("seed %d: nothing was silent: %s", seed, out.String())
		}
		t.Log(out.String())
	}
}
