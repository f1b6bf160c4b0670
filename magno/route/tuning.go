package route

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/learn"
)

// Parameters for engines whose agents grant a permit for each request.
const (
	// loadMargin is how much longer than a load the wait at the holders of an adapter
	// must be until another engine loads it.
	loadMargin = 50 * magno.Millis(1)
	// minLoad is the lower bound of the wait for a load: one from the weight store
	// takes a quarter of a second.
	minLoad = 250 * magno.Millis(1)
	// hashStep is the cost of an adapter's second hash candidate where no engine holds
	// it.
	hashStep = 40 * magno.Millis(1)
	// prefixStep is the cost of leaving the holder that has read the prompt's prefix.
	prefixStep = 10 * magno.Millis(1)
	// remoteCost is the cost of another data centre: a round trip of 2 ms, and traffic
	// that is charged for.
	remoteCost = 3 * magno.Millis(1)
)

// Parameters for plain services.
const (
	// plainTokenDelay is by how many milliseconds one request delays others at a plain
	// service: about its run time over the number of places.
	plainTokenDelay = 5.0
	// plainWorkWeight counts all outstanding work.
	plainWorkWeight = 1.0
)

// PermitTuning returns the tuning for engines whose agents grant a permit for each
// request and report how fast prompts are read.
func PermitTuning() Tuning {
	return Tuning{
		LoadMargin: loadMargin, HashStep: hashStep, PrefixStep: prefixStep, RemoteCost: remoteCost, MinLoad: minLoad, TokenDelay: 1 / learn.PriorPrefillRate,
	}
}

// PlainTuning returns the tuning for plain services, whose requests differ little in
// cost.
func PlainTuning() Tuning {
	return Tuning{RemoteCost: remoteCost, TokenDelay: plainTokenDelay, WorkWeight: plainWorkWeight}
}
