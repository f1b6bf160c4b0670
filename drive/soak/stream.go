package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for streams: mixedStreams may hold events of two builds of an upstream. Of
// resumedStreams that callers take up while two upstreams of their build serve, the share that goes on
// is at least resumedShare of the share of new streams that begin.
const (
	mixedStreams   = 2
	resumedStreams = 12
	resumedShare   = 0.5
)

const (
	// longSuffix ends the targets of streams that last for longStream events.
	longSuffix = "long"
	longStream = 40
	// streamTries limits how often a caller takes one stream up.
	streamTries = 3
	// maxStreamPause limits the time until a caller takes a stream up.
	maxStreamPause = 300 * time.Millisecond
	// calmTime is how long an entry must have run undisturbed for a refusal of it to count.
	calmTime = 3 * time.Second
)

// builds are the versions of upstreams' software that serve side by side.
var builds = []string{"v1", "v1.1"}

// streamed counts what became of streams.
type streamed struct {
	// sent are the new streams, begun those of them that brought an event.
	sent, begun int
	// resumed are the streams that callers took up while two upstreams of their build served, goneOn
	// those of them that brought a further event.
	resumed, goneOn int
	// mixed describes the streams with events of two builds.
	mixed []string
}

// add adds another count.
func (c *streamed) add(o streamed) {
	c.sent, c.begun, c.resumed, c.goneOn = c.sent+o.sent, c.begun+o.begun, c.resumed+o.resumed, c.goneOn+o.goneOn
	c.mixed = append(c.mixed, o.mixed...)
}

// check returns the terms that are broken.
func (c *streamed) check() []string {
	var broken []string
	if len(c.mixed) > mixedStreams {
		broken = append(broken, fmt.Sprintf("%d streams hold events of two builds, the first: %s", len(c.mixed), c.mixed[0]))
	}
	begun, goneOn := float64(c.begun)/float64(max(c.sent, 1)), float64(c.goneOn)/float64(max(c.resumed, 1))
	if c.resumed >= resumedStreams && goneOn < resumedShare*begun {
		broken = append(broken, fmt.Sprintf("%d of %d streams that were taken up go on, while %d of %d new ones begin", c.goneOn, c.resumed, c.begun, c.sent))
	}
	return broken
}

// streamLength returns the number of events of a stream.
func streamLength(target string) int {
	if strings.HasSuffix(target, longSuffix) {
		return longStream
	}
	return eventsPerStream
}

// stream is a stream over all tries of its caller.
type stream struct {
	target, adapter, body string
	// unstated is true if its caller doesn't state which request brought the first event.
	unstated bool
	// first is the ID of the request that brought the first event, empty before.
	first string
	last  int
	// builds are those that wrote its events.
	builds []string
}

// playStream sends a request for a stream of the route with the path, and takes it up at any entry each time it breaks off.
func (s *Soak) playStream(ctx context.Context, caller *fake.Caller, path string, rnd *rand.Rand) streamed {
	st := stream{target: path + longSuffix, body: "body of " + s.newID()}
	if path == fake.PathResume {
		st.adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
	}
	var c streamed
	for n := 0; n <= streamTries && ctx.Err() == nil; n++ {
		entry := rnd.IntN(len(s.fleet.entries))
		resumable := st.first != "" && s.fleet.serving(path, st.builds[0]) >= 2
		o, went := s.sendStream(ctx, caller, s.fleet.entries[entry], &st)
		switch {
		case s.fleet.disturbed(entry, time.Now().Add(-calmTime), time.Now()):
		case n == 0:
			c.sent++
			c.begun += count(went)
		case resumable && s.fleet.serving(path, st.builds[0]) >= 2:
			c.resumed++
			c.goneOn += count(went)
		}
		if o.Status == http.StatusOK && o.Complete {
			break
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxStreamPause))))
	}
	if len(st.builds) > 1 {
		c.mixed = append(c.mixed, fmt.Sprintf("%s of %v", st.first, st.builds))
	}
	return c
}

// playStreams plays one stream after another until ctx ends.
func (s *Soak) playStreams(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(s.Seed, 1<<36+uint64(n))) //nolint:gosec // not used as a secret
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}, Key: fake.Key}
	path := []string{fake.PathResume, fake.PathFlow}[n%2]
	for ctx.Err() == nil {
		c := s.playStream(ctx, caller, path, rnd)
		s.mu.Lock()
		s.streamed.add(c)
		s.mu.Unlock()
	}
}

// sendStream sends a request for what a stream lacks, and reports whether that brought an event.
func (s *Soak) sendStream(ctx context.Context, caller *fake.Caller, entry string, st *stream) (o fake.Outcome, went bool) {
	m := fake.Message{Target: st.target, Body: st.body, ID: s.newID(), Adapter: st.adapter}
	m.Parts = promptOf(m.ID)
	if st.first != "" {
		m.From = strconv.Itoa(st.last)
	}
	if st.first != "" && !st.unstated {
		m.Resumes = st.first
	}
	o = s.sendMessage(ctx, caller, entry, m)
	last, wrote := fake.ParseStream(o.Body)
	if last == 0 {
		return o, false
	}
	if st.first == "" {
		st.first = m.ID
	}
	st.last = last
	st.builds = append(st.builds, wrote...)
	slices.Sort(st.builds)
	st.builds = slices.Compact(st.builds)
	return o, true
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// serving returns the number of upstreams of a build that serve the route with the path.
func (f *fleet) serving(path, build string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.upstreams() {
		if u.service != serviceOf(path) {
			continue
		}
		n += count(u.stop != nil && u.build == build && u.listState == stateReady)
	}
	return n
}
