package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	callers = 12
	// streamers is the number of further callers, who take up streams that break off.
	streamers = 4
	// One of impatientShare callers sends what isn't served again at once, impatientTries times in all.
	impatientShare = 4
	impatientTries = 4
	// earlyLimit is the longest time after which a caller disconnects early.
	earlyLimit = 60 * time.Millisecond
	// One of longShare requests that may be repeated has a body of up to maxLongBody bytes.
	longShare   = 8
	maxLongBody = 900 << 10
	// rotatingCallers is how many callers use keys that are withdrawn from time to time.
	rotatingCallers = 4
	// adapters is the number of adapters requested, more than one engine can hold.
	adapters = 9
	// maxFaultInterval limits the pause between the starts of two faults, maxFaultDuration
	// the duration of one. Faults overlap.
	maxFaultInterval = 500 * time.Millisecond
	maxFaultDuration = 1500 * time.Millisecond
	// recoveryLimit is the time after the last fault within which the fleet must serve all
	// requests again, powerLossLimit the same after a power loss of all machines. They are
	// half of what the platform allows.
	recoveryLimit  = 12 * time.Second
	powerLossLimit = 6 * time.Second
	// noticeTime is how long an upstream states something at least: longer than a limit takes to
	// bind.
	noticeTime = limitDelay + time.Second
	// requiredInRow is the number of consecutive requests that must then be served.
	requiredInRow = 30
	// listOutage is how long the instance list stays unavailable after a power loss.
	listOutage = 2 * time.Second
	// pollInterval is how often the upstreams are asked for violations.
	pollInterval = 250 * time.Millisecond
)

// Soak is one soak test. Its fields are set before Run.
type Soak struct {
	Seed     uint64
	Duration time.Duration
	// Dir receives settings and logs, Bin holds the programs.
	Dir, Bin string
	Out      io.Writer
	// Size is the usual one if it is zero.
	Size Size
	// SilencesOnly leaves out all but the silences of upstreams, with what goes on beside them.
	SilencesOnly bool

	fleet  *fleet
	nextID atomic.Int64
	mu     sync.Mutex
	// sent holds the requests by id, with what their callers received.
	sent       map[string]*request
	kinds      map[string]int
	faults     map[string]int
	violations []string
	// reported holds the violations already in violations. Their times count from started.
	reported map[string]bool
	started  time.Time
	// largest is the largest resident memory of an entry, in bytes, beside answers without end.
	largest int64
	// streamed is what became of the streams of streamers.
	streamed streamed
}

// request is one request of a caller.
type request struct {
	// path is that of its route, target is empty if it is the usual one of the route.
	path, target string
	// parts is the list of the parts of its prompt.
	parts string
	// from is the number of the event after which a stream is taken up.
	from    int
	outcome fake.Outcome
	// entry is the address that the caller sent it to.
	entry string
	// key is the credential that the caller sent, at is when.
	key string
	at  time.Time
	// wholeAt is when the whole request was sent on a kept connection, zero otherwise.
	wholeAt time.Time
	// doneAt is when the outcome was known, zero before.
	doneAt time.Time
}

// Run runs the test and returns the guarantees that were violated.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		s.fleet.wait() // a process that is left behind holds its port in the next run
	}()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	if s.SilencesOnly {
		s.playSilences(ctx)
		return s.finish(), nil
	}
	watched := make(chan struct{})
	watching, unwatch := context.WithCancel(ctx)
	go func() {
		defer close(watched)
		s.pollUpstreams(watching)
	}()
	playing, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	var working sync.WaitGroup
	for i := range callers {
		working.Add(1)
		go func() {
			defer working.Done()
			s.sendRequests(ctx, playing, i)
		}()
	}
	for i := range streamers {
		working.Go(func() { s.playStreams(playing, i) })
	}
	s.injectFaults(playing)
	working.Wait()
	s.clearFaults()
	s.checkRecovery(ctx, "the last fault", recoveryLimit)
	if s.Seed%retrySeeds == 1 {
		s.playRetries()
		s.checkRecovery(ctx, "a burst of failures", recoveryLimit)
	}
	if s.Seed%overloadSeeds == 2 {
		s.playOverload()
		s.checkRecovery(ctx, "an overload", recoveryLimit)
	}
	s.playSilences(ctx)
	s.losePower()
	s.checkRecovery(ctx, "a loss of all power", powerLossLimit)
	unwatch()
	<-watched
	return s.finish(), nil
}

// finish makes the checks of the whole run, and returns the violations.
func (s *Soak) finish() []string {
	s.checkAll()
	s.checkNotices()
	s.printSummary()
	return s.violations
}

// start starts the programs, which run until ctx ends.
func (s *Soak) start(ctx context.Context) error {
	s.sent, s.kinds, s.faults, s.reported = map[string]*request{}, map[string]int{}, map[string]int{}, map[string]bool{}
	s.fleet = newFleet(s.Dir, s.Bin, s.Size)
	s.fleet.fatal, s.fleet.builds = newFatal(s.Seed), builds
	if err := s.fleet.start(ctx); err != nil {
		return err
	}
	if err := s.fleet.ready(ctx, fake.PathResume); err != nil {
		return err
	}
	s.started = time.Now()
	return nil
}

// sendRequests sends one request after another until playing ends.
func (s *Soak) sendRequests(ctx, playing context.Context, n int) {
	rnd := rand.New(rand.NewPCG(s.Seed, uint64(n)+1)) //nolint:gosec // not used as a secret
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, Key: fake.Key}
	for i := 0; playing.Err() == nil; i++ {
		if n < rotatingCallers {
			caller.Key = s.fleet.key(rnd)
		}
		for try := range impatientTries {
			address := s.fleet.entries[rnd.IntN(len(s.fleet.entries))]
			o, _ := s.sendOne(ctx, caller, address, fmt.Sprintf("s%d-%d-%d-%d", s.Seed, n, i, try), rnd)
			if n%impatientShare != 0 || o.Status == http.StatusOK || playing.Err() != nil {
				break
			}
		}
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// sendOne sends one request and records its outcome. Left is true if its caller disconnected before the end of the answer.
func (s *Soak) sendOne(ctx context.Context, caller *fake.Caller, address, id string, rnd *rand.Rand) (o fake.Outcome, left bool) {
	path := []string{fake.PathOnce, fake.PathRepeat, fake.PathStream, fake.PathResume, fake.PathResume}[rnd.IntN(5)]
	adapter := ""
	if path == fake.PathStream || path == fake.PathResume {
		adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
	}
	limit := 6 * time.Second
	if rnd.IntN(20) == 0 {
		limit = time.Duration(rnd.IntN(int(earlyLimit/time.Millisecond))) * time.Millisecond // the caller disconnects early
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r := &request{path: path, entry: address, key: caller.Key, at: time.Now()}
	s.mu.Lock()
	s.sent[id] = r
	s.mu.Unlock()
	m := fake.Message{Target: path + "x", Body: "body of " + id, ID: id, Adapter: adapter}
	if path == fake.PathRepeat {
		m.Body = ""
		if rnd.IntN(longShare) == 0 {
			m.Body = strings.Repeat("x", rnd.IntN(maxLongBody))
		}
	}
	o = caller.SendMessage(ctx, address, m)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.outcome, r.doneAt = o, time.Now()
	s.checkRequest(id, s.sent[id])
	s.kinds[fmt.Sprintf("%s %s", strings.Trim(path, "/"), outcomeName(o))]++
	return o, ctx.Err() != nil && !o.Complete && limit < earlyLimit
}

func outcomeName(o fake.Outcome) string {
	switch {
	case o.Status == 0:
		return "no answer"
	case o.NotRun:
		return "refused"
	case o.Status == http.StatusOK && o.Complete:
		return "served"
	case o.Status == http.StatusOK:
		return "broken off"
	}
	return "failed"
}

// checkRecovery sends requests after the faults have ended; all of them must be served.
func (s *Soak) checkRecovery(ctx context.Context, what string, within time.Duration) {
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{}}, Key: fake.Key}
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<32)) //nolint:gosec // not used as a secret
	inRow, last := 0, fake.Outcome{}
	for i, end := 0, time.Now().Add(within); inRow < requiredInRow && time.Now().Before(end); i++ {
		o, left := s.sendOne(ctx, caller, s.fleet.entries[i%len(s.fleet.entries)], fmt.Sprintf("s%d-after %s-%d", s.Seed, what, i), rnd)
		if o.Status == http.StatusOK && o.Complete {
			inRow++
			continue
		}
		// A caller that disconnected early, or within the answer, says nothing about the fleet.
		if o.Status != 0 && !left {
			inRow, last = 0, o
		}
		time.Sleep(50 * time.Millisecond)
	}
	if inRow < requiredInRow {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.violation("only %d requests in a row were served within %s of %s; last status %d", inRow, within, what, last.Status)
	}
}

// violation records and prints a violated guarantee, once per text. The caller holds mu.
func (s *Soak) violation(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if s.reported[what] {
		return
	}
	s.reported[what] = true
	s.violations = append(s.violations, what)
	fmt.Fprintf(s.Out, "seed %d: BROKEN after %d ms: %s\n", s.Seed, time.Since(s.started).Milliseconds(), what)
}

// pollUpstreams collects the violations that the upstreams observe, until ctx ends.
func (s *Soak) pollUpstreams(ctx context.Context) {
	ticks := time.NewTicker(pollInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			s.mu.Lock()
			s.checkUpstreams()
			s.checkMemory()
			s.mu.Unlock()
		}
	}
}

// checkUpstreams collects the violations that upstreams recorded. The caller holds mu.
func (s *Soak) checkUpstreams() {
	for _, w := range s.fleet.workers() {
		for _, what := range w.Violations() {
			s.violation("upstream %s: %s", w.ID, what)
		}
	}
}

// checkAll checks all requests again, because some may have run only after their callers
// received a response.
func (s *Soak) checkAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.sent))
	for id := range s.sent {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.checkRequest(id, s.sent[id])
	}
	s.checkUpstreams()
}

// checkNotices checks whether entries went by what upstreams stated.
func (s *Soak) checkNotices() {
	o := s.observer()
	for _, what := range slices.Concat(s.checkKeys(), s.checkSound(), o.checkFatal(s.fleet.fatal, s.fleet.workers()), o.checkParts(s.fleet.fatal, s.fleet.workers()), s.checkRetries(), s.streamed.check()) {
		s.mu.Lock()
		s.violation("%s", what)
		s.mu.Unlock()
	}
	for _, what := range slices.Concat(o.checkAttempts(s.fleet.workers()), o.checkTimes(s.fleet.workers())) {
		s.mu.Lock()
		s.violation("%s", what)
		s.mu.Unlock()
	}
	for _, w := range s.fleet.workers() {
		for _, what := range slices.Concat(o.checkLimit(w), o.checkLeaving(w), o.checkRest(w), o.checkDraining(w)) {
			s.mu.Lock()
			s.violation("%s", what)
			s.mu.Unlock()
		}
	}
}

// requestsInOrder returns the requests that have an outcome, in the order of sending.
func (s *Soak) requestsInOrder() []*request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*request
	for _, r := range s.sent {
		if !r.doneAt.IsZero() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return a.at.Compare(b.at) })
	return list
}

// checkRequest compares what a caller received with what ran. The caller holds mu.
func (s *Soak) checkRequest(id string, r *request) {
	runs, o := s.fleet.runs(id), r.outcome
	if (r.path == fake.PathOnce || r.path == fake.PathStream) && runs > 1 {
		s.violation("%s %s ran %d times", r.path, id, runs)
	}
	if runs > 0 && s.fleet.expired(r.key, r.at) {
		s.violation("%s %s ran with a key that had been withdrawn for over %s", r.path, id, fake.RevokeDelay)
	}
	if o.NotRun && runs > 0 && r.path != fake.PathRepeat {
		s.violation("%s %s was told %d and ran %d times", r.path, id, o.Status, runs)
	}
	if o.Status != http.StatusOK {
		return
	}
	want := "done " + id
	if r.path == fake.PathStream || r.path == fake.PathResume || r.path == fake.PathFlow {
		want = ""
		for n := r.from + 1; n <= streamLength(r.target); n++ {
			want += fake.Event(id, n, "")
		}
		o.Body = fake.WithoutBuilds(o.Body)
	}
	if o.Complete && o.Body != want {
		s.violation("%s %s looks whole and is %q", r.path, id, o.Body)
	}
	if !strings.HasPrefix(want, o.Body) {
		s.violation("%s %s has other bytes than its own: %q", r.path, id, o.Body)
	}
}
