package gate

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
)

// pace spaces the reading of prompts: in each paceSpan at most paceRead of it.
type pace struct {
	taken []reading
}

// reading is a prompt that was let through.
type reading struct {
	at     magno.Millis
	tokens int
}

// spent is the time that the prompts of the last paceSpan take to read. One that
// takes longer than its part of the span counts for so much longer.
func (p *pace) spent(now magno.Millis) magno.Millis {
	sum := 0
	p.taken = slices.DeleteFunc(p.taken, func(r reading) bool {
		if now-r.at >= max(paceSpan, readTime(r.tokens)*paceSpan/paceRead) {
			return true
		}
		sum += r.tokens
		return false
	})
	return readTime(sum)
}

// allows tells whether a prompt may be read now. One that takes longer than a
// whole window may once the window is empty.
func (p *pace) allows(tokens int, now magno.Millis) bool {
	spent := p.spent(now)
	return spent == 0 || spent+readTime(tokens) <= paceRead
}

func (p *pace) take(tokens int, now magno.Millis) {
	p.taken = append(p.taken, reading{at: now, tokens: tokens})
}

// wait estimates when the last of so many tokens may be read.
func (p *pace) wait(tokens int, now magno.Millis) magno.Millis {
	over := p.spent(now) + readTime(tokens) - paceRead
	return max(over*paceSpan/paceRead, 0)
}

func readTime(tokens int) magno.Millis { return magno.Millis(float64(tokens) / ReadRate) }

// mostPrefixes bounds the prompt parts that are remembered: an engine's memory
// holds about as many shared parts of a few hundred tokens.
const mostPrefixes = 256

// prefixes remembers which shared parts of prompts the engine has read.
type prefixes struct {
	lru *simplelru.LRU[prefix, struct{}]
}

type prefix struct {
	name string
	hash uint64
}

func newPrefixes() *prefixes {
	lru, _ := simplelru.NewLRU[prefix, struct{}](mostPrefixes, nil) // fails for sizes under 1 only
	return &prefixes{lru}
}

func (p *prefixes) has(name string, hash uint64) bool {
	return p.lru.Contains(prefix{name, hash})
}

func (p *prefixes) add(name string, hash uint64) {
	if hash != 0 {
		p.lru.Add(prefix{name, hash}, struct{}{})
	}
}
