package route

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// probes is the number of points that are looked up to find a key's target. With 21
// probes and one point per target, the fullest target has about 5% more keys than the
// mean (Appleton and O'Reilly, Multi-probe consistent hashing, 2015). A ring with a
// single probe needs hundreds of points per target for that, and takes as many times
// longer to rebuild after each change of the fleet.
const probes = 21

// goldenRatio is 2^64 over the golden ratio; multiples of it spread over all 64 bits.
const goldenRatio = 0x9e3779b97f4a7c15

// ring maps keys to targets by consistent hashing: a target that is added or removed
// moves only its own keys. A ring is immutable.
type ring struct {
	points []point
	// starts[x] is the first point whose top bits are x or more. There is about one
	// point for each x, so a lookup takes the same time in a fleet of any size.
	starts []int32
	shift  uint
}

type point struct {
	hash uint64
	peer *peer
}

func newRing(peers []*peer) *ring {
	r := &ring{points: make([]point, 0, len(peers))}
	for _, p := range peers {
		r.points = append(r.points, point{mix(xxhash.Sum64String(p.name)), p})
	}
	slices.SortFunc(r.points, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	size := bits.Len(uint(len(peers)))
	r.shift = uint(64 - size)
	r.starts = make([]int32, 1<<size)
	at := 0
	for x := range r.starts {
		for at < len(r.points) && r.points[at].hash>>r.shift < uint64(x) {
			at++
		}
		r.starts[x] = int32(at)
	}
	return r
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// find returns the key's nth choice. Two choices may be the same target.
func (r *ring) find(key uint64, nth int) *peer {
	if len(r.points) == 0 {
		return nil
	}
	key = mix(key + uint64(nth)*goldenRatio)
	var best *peer
	minDistance := ^uint64(0)
	for i := range uint64(probes) {
		h := mix(key + i*goldenRatio)
		at := int(r.starts[h>>r.shift])
		for at < len(r.points) && r.points[at].hash < h {
			at++
		}
		if at == len(r.points) {
			at = 0
		}
		if d := r.points[at].hash - h; d <= minDistance {
			best, minDistance = r.points[at].peer, d
		}
	}
	return best
}
