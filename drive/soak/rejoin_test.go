package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	rejoinOld, rejoinNew = 6, 5
	rejoinCallers        = 80
	// rejoinStart is the time in which streams run before a build joins: longer than a stream lasts, so that
	// processes know which builds there were.
	rejoinStart = 10 * time.Second
	// rejoinSpread is the time within which callers begin: else all streams end, and begin, at once, and a kill
	// between may find few under way.
	rejoinSpread = 2 * time.Second
	// rejoinAgents is the time after the kill of all agents: they are back, and told what they held.
	rejoinAgents = 4 * time.Second
	// stepNetwork is the network of the fleets with an entry out of step.
	stepNetwork = 130
	// rejoinTime is for how long callers take up what broke off.
	rejoinTime = 3 * time.Second
)

// rejoinCase is a release beside a kill.
type rejoinCase struct {
	name string
	// joins is true if upstreams of another build join, leaves is when those of the old one leave, before the
	// kill if it is negative. They stay if it is zero.
	joins  bool
	leaves time.Duration
	// spare is the number of entries that aren't killed.
	spare int
	// agents is true if all agents are killed some time before the entries.
	agents bool
	// step is how the last entry is out of step. Streams then begin through the others, and are taken up there.
	step outOfStep
	// goesOn is true if streams of callers that state the attempt must go on, unstated if those of others must.
	goesOn, unstated bool
}

// outOfStep is how an entry is out of step with the others.
type outOfStep int

const (
	inStep    outOfStep = iota
	standing            // it stands still while a build joins
	apart               // it never meets the others, and reads the list itself
	returning           // it stood still before the build joins, and wakes up as that serves
)

// rejoined counts what became of streams that broke off in the kill.
type rejoined struct {
	begun, sent int
	// taken are the streams that were taken up while two upstreams of their build served, by whether their
	// caller states the attempt, went those of them that went on.
	taken, went map[bool]int
	mixed       []string
}

// startRejoinSoak starts entries and the upstreams of a route, all of one build.
func startRejoinSoak(t *testing.T, path string, seed uint64) *Soak {
	t.Helper()
	return startRejoinSoakOf(t, path, seed, Size{}, inStep)
}

// startRejoinSoakOf is startRejoinSoak for a size, and for an entry that may be apart from the others.
func startRejoinSoakOf(t *testing.T, path string, seed uint64, size Size, step outOfStep) *Soak {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Soak{Seed: seed, Dir: t.TempDir(), Bin: programDir, Out: io.Discard, Size: size, sent: map[string]*request{}, reported: map[string]bool{}}
	f := newFleet(s.Dir, s.Bin, s.Size)
	s.fleet = f
	t.Cleanup(func() {
		cancel()
		f.wait()
	})
	f.builds = builds[:1]
	must(t, f.startList(ctx))
	must(t, f.join(ctx, path, rejoinOld))
	if path == fake.PathFlow {
		must(t, f.join(ctx, fake.PathResume, 2)) // a fleet has agents, whatever service is played
	}
	if step == apart {
		for i := range entryCount - 1 {
			must(t, f.startEntry(ctx, i, seedsOf(f, entryCount-1)))
		}
		must(t, f.startEntry(ctx, entryCount-1, goneSeeds(f, entryCount-1)))
	} else {
		must(t, f.startEntries(ctx, entryCount))
	}
	must(t, f.ready(ctx, path))
	s.started = time.Now()
	return s
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// join starts n further upstreams of the route with the path.
func (f *fleet) join(ctx context.Context, path string, n int) error {
	if path == fake.PathFlow {
		return f.startPlains(n)
	}
	for range n {
		if err := f.engine(ctx, len(f.engines)+1); err != nil {
			return err
		}
	}
	return nil
}

// leave takes the upstreams of a build out of the list. They go on with the streams that they have.
func (f *fleet) leave(path, build string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams() {
		if u.service == serviceOf(path) && u.build == build {
			u.listState = ""
			f.store.Delete("servers/" + u.worker.ID)
		}
	}
}

// killAtOnce kills all processes of a kind but the first ones, which are spared.
func (f *fleet) killAtOnce(kind string, spare int) {
	for _, p := range f.procs {
		if p.kind != kind {
			continue
		}
		if spare--; spare < 0 {
			p.signal(syscall.SIGKILL)
		}
	}
}

// playRejoined plays a case and returns what became of the streams.
func (s *Soak) playRejoined(path string, c *rejoinCase) *rejoined {
	total := &rejoined{taken: map[bool]int{}, went: map[bool]int{}}
	killed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var playing sync.WaitGroup
	for n := range rejoinCallers {
		playing.Go(func() {
			rnd := rand.New(rand.NewPCG(s.Seed, 1<<37+uint64(n))) //nolint:gosec // not used as a secret
			caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, Key: fake.Key}
			time.Sleep(time.Duration(rnd.Int64N(int64(rejoinSpread))))
			for ctx.Err() == nil {
				st := s.newStream(path, rnd)
				st.unstated = n%2 == 0
				r := s.playCut(ctx, caller, st, c.step, killed, rnd)
				mu.Lock()
				total.add(r)
				mu.Unlock()
			}
		})
	}
	time.Sleep(rejoinStart)
	last := s.fleet.process(entryName(len(s.fleet.entries) - 1))
	if c.step == standing || c.step == returning {
		last.signal(syscall.SIGSTOP)
	}
	if c.step == returning {
		time.Sleep(2 * time.Second)
		time.AfterFunc(2*time.Second, func() { last.signal(syscall.SIGCONT) })
	}
	if c.joins {
		s.fleet.builds = builds[1:]
		_ = s.fleet.join(s.fleet.ctx, path, rejoinNew)
		time.Sleep(3 * time.Second)
	}
	if c.leaves < 0 {
		s.fleet.leave(path, builds[0])
		time.Sleep(-c.leaves)
	}
	if c.agents {
		s.fleet.killAtOnce("agent", 0)
		time.Sleep(rejoinAgents)
	}
	close(killed)
	if c.step == inStep {
		s.fleet.killAtOnce("entry", c.spare)
	} else {
		last.signal(syscall.SIGCONT)
		for i := range len(s.fleet.entries) - 1 {
			s.fleet.process(entryName(i)).signal(syscall.SIGKILL)
		}
	}
	if c.leaves > 0 {
		time.Sleep(c.leaves)
		s.fleet.leave(path, builds[0])
	}
	time.Sleep(rejoinTime)
	cancel()
	playing.Wait()
	return total
}

// newStream returns a stream of the route with the path.
func (s *Soak) newStream(path string, rnd *rand.Rand) *stream {
	st := &stream{target: path + longSuffix, body: "body of " + s.newID()}
	if path == fake.PathResume {
		st.adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
	}
	return st
}

// playCut plays a stream, and takes it up at any entry if the kill breaks it off, at the last one if that is out of step.
func (s *Soak) playCut(ctx context.Context, caller *fake.Caller, st *stream, step outOfStep, killed chan struct{}, rnd *rand.Rand) *rejoined {
	r := &rejoined{taken: map[bool]int{}, went: map[bool]int{}}
	path := pathOf(st.target)
	first, further := s.fleet.entries, s.fleet.entries
	if n := len(first) - 1; step != inStep {
		first, further = first[:n], first[n:]
	}
	entry := func() string {
		select {
		case <-killed:
			return further[rnd.IntN(len(further))]
		default:
			return first[rnd.IntN(len(first))]
		}
	}
	o, began := s.sendStream(context.Background(), caller, entry(), st)
	select {
	case <-killed:
	default:
		r.sent, r.begun = 1, count(began)
		return r
	}
	if !began || (o.Status == http.StatusOK && o.Complete) {
		return r
	}
	taken, went := false, false
	for !went && ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.Int64N(int64(maxStreamPause))))
		serves := s.fleet.serving(path, st.builds[0]) >= 2
		o, went = s.sendStream(context.Background(), caller, entry(), st)
		taken = taken || (serves && o.Status != 0)
	}
	r.taken[!st.unstated], r.went[!st.unstated] = count(taken), count(taken && went)
	if len(st.builds) > 1 {
		r.mixed = append(r.mixed, fmt.Sprintf("%s of %v, unstated %v", st.first, st.builds, st.unstated))
	}
	return r
}

func (r *rejoined) add(o *rejoined) {
	r.begun, r.sent = r.begun+o.begun, r.sent+o.sent
	for _, stated := range []bool{true, false} {
		r.taken[stated] += o.taken[stated]
		r.went[stated] += o.went[stated]
	}
	r.mixed = append(r.mixed, o.mixed...)
}

// check returns the terms that are broken.
func (r *rejoined) check(c *rejoinCase) (broken []string) {
	if len(r.mixed) > 0 {
		broken = append(broken, fmt.Sprintf("%d streams hold events of two builds, the first: %s", len(r.mixed), r.mixed[0]))
	}
	for stated, must := range map[bool]bool{true: c.goesOn, false: c.unstated} {
		begun, went := float64(r.begun)/float64(max(r.sent, 1)), float64(r.went[stated])/float64(max(r.taken[stated], 1))
		switch {
		case !must:
		case r.taken[stated] < resumedStreams:
			broken = append(broken, fmt.Sprintf("stated %v: %d streams were taken up, too few to tell", stated, r.taken[stated]))
		case went < resumedShare*begun:
			broken = append(broken, fmt.Sprintf("stated %v: %d of %d streams that were taken up go on, while %d of %d new ones begin", stated, r.went[stated], r.taken[stated], r.begun, r.sent))
		}
	}
	return broken
}

// Guards against streams that break off as all entries are killed beside a release, and then go on at
// another build, or nowhere although theirs serves.
func TestStreamsAreTakenUpAfterAllEntriesWereKilled(t *testing.T) {
	for _, path := range []string{fake.PathResume, fake.PathFlow} {
		for _, c := range []rejoinCase{
			{name: "one build", goesOn: true, unstated: true},
			{name: "both serve", joins: true, goesOn: true},
			{name: "the old one left half a second before", joins: true, leaves: -500 * time.Millisecond},
			{name: "the old one leaves meanwhile", joins: true, leaves: 50 * time.Millisecond},
			{name: "most entries, both serve", joins: true, spare: 1, goesOn: true},
			{name: "all agents before, both serve", joins: true, agents: true, goesOn: true},
		} {
			t.Run(serviceOf(path)+", "+c.name, func(t *testing.T) {
				s := startRejoinSoak(t, path, 1)
				r := s.playRejoined(path, &c)
				t.Logf("stated: %d taken up, %d went on; unstated: %d, %d; %d of %d new streams begin; %d mixed",
					r.taken[true], r.went[true], r.taken[false], r.went[false], r.begun, r.sent, len(r.mixed))
				for _, what := range append(r.check(&c), s.violations...) {
					t.Error(what)
				}
			})
		}
	}
}

// Guards against streams that are taken up at an entry which is out of step while a build joins, and go on there at
// another build than theirs, or nowhere although theirs serves.
func TestStreamsAreTakenUpAtAnEntryOutOfStep(t *testing.T) {
	for _, path := range []string{fake.PathResume, fake.PathFlow} {
		for _, c := range []rejoinCase{
			{name: "stands still", joins: true, step: standing, goesOn: true},
			{name: "stood still until the build serves", joins: true, step: returning, goesOn: true},
			{name: "apart from the others", joins: true, step: apart, goesOn: true},
			{name: "apart, the old build leaves", joins: true, leaves: 50 * time.Millisecond, step: apart},
		} {
			t.Run(serviceOf(path)+", "+c.name, func(t *testing.T) {
				s := startRejoinSoakOf(t, path, 1, Size{Network: stepNetwork}, c.step)
				r := s.playRejoined(path, &c)
				t.Logf("stated: %d taken up, %d went on; unstated: %d, %d; %d of %d new streams begin; %d mixed",
					r.taken[true], r.went[true], r.taken[false], r.went[false], r.begun, r.sent, len(r.mixed))
				for _, what := range append(r.check(&c), s.violations...) {
					t.Error(what)
				}
			})
		}
	}
}

// Guards against a request that ends upstreams and is sent on after all entries, most of them or all agents were
// killed: if nobody knows any more what it has ended, each kill costs three further upstreams. Its callers come
// back once the entries count as running.
func TestRequestThatEndsUpstreamsIsHeldBackThoughAllAreKilled(t *testing.T) {
	const sendTime = 4 * time.Second
	for _, c := range []struct {
		kind         string
		spare, kills int
	}{{"entry", 0, 2}, {"entry", 1, 2}, {"agent", 0, 1}} {
		t.Run(fmt.Sprintf("%s, %d spared", c.kind, c.spare), func(t *testing.T) {
			s := startSoak(t)
			targets := map[string]string{fake.PathRepeat + "fatal-1": "", fake.PathResume + "fatal-2": "a1"}
			send := func(until func() bool) {
				ctx, cancel := context.WithCancel(context.Background())
				var sending sync.WaitGroup
				for target, adapter := range targets {
					for n := range maxCopies {
						rnd := rand.New(rand.NewPCG(s.Seed, uint64(n))) //nolint:gosec // not used as a secret
						sending.Go(func() { s.sendFatal(ctx, target, "b", adapter, rnd) })
					}
				}
				for !until() {
					time.Sleep(10 * time.Millisecond)
				}
				cancel()
				sending.Wait()
			}
			for target := range targets {
				s.fleet.fatal.set(target, true)
			}
			limit := time.Now().Add(readyTimeout)
			send(func() bool {
				known := true
				for target := range targets {
					known = known && len(s.fleet.fatal.of(target)) >= fatalEnds
				}
				return known || time.Now().After(limit)
			})
			time.Sleep(fatalDelay)
			for range c.kills {
				s.fleet.killAtOnce(c.kind, c.spare)
				time.Sleep(fatalDelay + 500*time.Millisecond)
				end := time.Now().Add(sendTime)
				send(func() bool { return time.Now().After(end) })
			}
			for target := range targets {
				ends := len(s.fleet.fatal.of(target))
				t.Logf("%s ended %d upstreams", target, ends)
				if ends < fatalEnds {
					t.Errorf("%s ended too few upstreams to tell", target)
				}
			}
			for _, what := range s.observer().checkFatal(s.fleet.fatal, s.fleet.workers()) {
				t.Error(what)
			}
		})
	}
}
