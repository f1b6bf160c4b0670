package route

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/learn"
)

// How upstreams are chosen whose agents let each request begin.
const (
	// loadMargin is how much longer than a load the wait at the holders of an
	// adapter must be until another engine loads it.
	loadMargin = 50 * magno.Millis(1)
	// leastLoad is the least that a load counts: the quarter of a second that one
	// takes from the weight store.
	leastLoad = 250 * magno.Millis(1)
	// nextHome is the cost of an adapter's second home where none holds it.
	nextHome = 40 * magno.Millis(1)
	// prefixStep is the cost of leaving the holder that read the prompt's start.
	prefixStep = 10 * magno.Millis(1)
	// farCost is that of another data centre, in milliseconds: a round trip of
	// two, and bytes that cost.
	farCost = 3 * magno.Millis(1)
)

// How plain upstreams are chosen.
const (
	// plainToken is by how much one request delays others at a plain service,
	// in milliseconds: about its work over its places.
	plainToken = 5.0
	// plainBusy counts all of what is outstanding there.
	plainBusy = 1.0
)

// PermitTuning is the tuning for engines whose agents let each request begin, and
// tell how fast prompts are read.
func PermitTuning() Tuning {
	return Tuning{
		LoadMargin: loadMargin, HashStep: nextHome, PrefixStep: prefixStep, RemoteCost: farCost, MinLoad: leastLoad, TokenDelay: 1 / learn.PriorPrefillRate,
	}
}

// PlainTuning is the tuning for services whose requests differ little.
func PlainTuning() Tuning {
	return Tuning{RemoteCost: farCost, TokenDelay: plainToken, WorkWeight: plainBusy}
}
