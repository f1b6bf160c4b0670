package soak

import (
	"fmt"
	"strings"
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
	return "part " + id
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
