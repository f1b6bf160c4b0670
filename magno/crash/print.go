package crash

import "github.com/cespare/xxhash/v2"

// partBit is set in the fingerprints of parts of prompts, and in no other.
const partBit = 1 << 63

// RequestPrint returns the fingerprint of a whole request from a hash of it.
func RequestPrint(hash uint64) uint64 { return max(hash&^partBit, 1) }

// PartPrint returns the fingerprint of a part of prompts, whoever sends it and whatever else a prompt
// holds.
func PartPrint(id string) uint64 { return xxhash.Sum64String(id) | partBit }

func isPart(print uint64) bool { return print&partBit != 0 }
