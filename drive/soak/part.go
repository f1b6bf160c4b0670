package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform for a part of prompts that ends the upstreams that begin to answer a request with
// it: later than fatalDelay after the fifth of them ended, such requests may reach upstreams fatalSends
// times. From soundDelay after that end on, sound requests with the same first part begin at least
// soundShare as often as before.
const (
	partEnds   = 5
	soundDelay = 2 * fatalDelay
	soundShare = 0.5
)

// partPrefix begins the names of parts among the targets of fatal.
const partPrefix = "part "

// part returns the fatal part among those of a prompt, empty if there is none. The last part of a prompt
// is never fatal.
func (x *fatal) part(parts string) string {
	list := strings.Split(parts, ",")
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, part := range list[:len(list)-1] {
		if x.targets[partName(part)] {
			return partName(part)
		}
	}
	return ""
}

// partName returns the name of a part, which is written ID:TOKENS, among the targets of fatal.
func partName(part string) string {
	id, _, _ := strings.Cut(part, ":")
	return partPrefix + id
}

// hasPart reports whether a prompt has the part with a name as in partName.
func hasPart(parts, name string) bool {
	list := strings.Split(parts, ",")
	for _, part := range list[:len(list)-1] {
		if partName(part) == name {
			return true
		}
	}
	return false
}

// promptOf returns the parts of a request's prompt: a first one that all requests share, the given ones, and
// its own.
func promptOf(id string, parts ...string) string {
	list := []string{"aa:100"}
	for _, part := range parts {
		list = append(list, part+":100")
	}
	return strings.Join(append(list, id+":50"), ",")
}

// startFatalPart has requests sent that share a part which ends the upstreams that begin to answer them,
// until the returned function is called.
func (s *Soak) startFatalPart(rnd *rand.Rand) func() {
	part := fmt.Sprintf("dead%x", rnd.Uint32())
	path := []string{fake.PathResume, fake.PathFlow}[rnd.IntN(2)]
	ctx, stop := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	s.fleet.fatal.set(partName(part), true)
	for range 1 + rnd.IntN(maxCopies) {
		senders := rand.New(rand.NewPCG(rnd.Uint64(), 0)) //nolint:gosec // not used as a secret
		sending.Go(func() { s.sendPart(ctx, path, part, senders) })
	}
	return func() {
		time.Sleep(fatalDelay + maxAway)
		stop()
		sending.Wait()
		s.fleet.fatal.set(partName(part), false)
	}
}

// sendPart sends requests with a part until ctx ends, no two of them alike, each to a drawn entry.
func (s *Soak) sendPart(ctx context.Context, path, part string, rnd *rand.Rand) {
	caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Key: fake.Key}
	for ctx.Err() == nil {
		id := s.newID()
		m := fake.Message{Target: path + longSuffix, Body: "body of " + id, ID: id, Parts: promptOf(id, part)}
		if path == fake.PathResume {
			m.Adapter = fmt.Sprintf("a%d", 1+rnd.IntN(adapters))
		}
		s.sendMessage(ctx, caller, s.fleet.entries[rnd.IntN(len(s.fleet.entries))], m)
		time.Sleep(time.Duration(50+rnd.IntN(100)) * time.Millisecond)
	}
}

// checkParts returns the fatal parts whose requests broke the terms.
func (o *observer) checkParts(x *fatal, workers []*fake.Worker) []string {
	var broken []string
	for _, name := range x.fatalTargets() {
		if !strings.HasPrefix(name, partPrefix) {
			continue
		}
		if what, _ := o.checkPart(x, name, workers); what != "" {
			broken = append(broken, what)
		}
	}
	return broken
}

// checkPart returns a description of how a fatal part broke the terms on its requests, empty if it
// didn't, and when the fifth upstream ended, zero if fewer did.
func (o *observer) checkPart(x *fatal, name string, workers []*fake.Worker) (broken string, fifth time.Time) {
	ends := x.of(name)
	if len(ends) < partEnds {
		return "", time.Time{}
	}
	fifth = ends[partEnds-1].at
	late := 0
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			if hasPart(a.Parts, name) && a.At.Sub(fifth) > fatalDelay && !o.disturbed(o.entry(a.ID), w, a.At.Add(-fatalDelay), a.At) {
				late++
			}
		}
	}
	if late > fatalSends {
		broken = fmt.Sprintf("requests with %s ended %d upstreams and reached upstreams %d times later than %s after the fifth end",
			name, len(ends), late, fatalDelay)
	}
	return broken, fifth
}
