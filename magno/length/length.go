// Package length learns how many output tokens requests produce, relative to what their callers
// state.
//
//	ended request --Add--> histogram of its key --.
//	                   \-> histogram of the pool --+--> Estimate --> Dist
//
// Load pattern: callers declare a maximum far above what they use, or a hint that is right at the
// median and often far off. The tokens reserved for such requests fill an engine's token memory on
// paper while much of it is unused.
//
// Without this package each request reserves its declared maximum up to a constant: too much where
// answers are short, so that requests wait beside free memory, and too little where answers exceed
// the constant, so that the engine preempts running requests.
package length

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxKeys bounds the histograms of keys. One takes 200 bytes.
	maxKeys = 4096
	// bucketsPerOctave gives buckets that are 19% wide, less than what answers to the same prompt
	// differ by.
	bucketsPerOctave = 4
	// The buckets cover the ratios from 2^minOctave to 2^maxOctave.
	minOctave = -7
	maxOctave = 4
	buckets   = bucketsPerOctave * (maxOctave - minOctave)
	// decay is the factor of the weight of older samples at each new one: after 50 requests the
	// older ones have 8% of the weight.
	decay = 0.95
	// poolDecay is that of the histogram of the pool, which has samples of many keys.
	poolDecay = 0.998
	// trustedWeight is the decayed number of samples from which on the pool no longer counts.
	trustedWeight = 12
	// minPoolWeight is the number of samples below which nothing is known of the pool.
	minPoolWeight = 20
)

// histogram has the weights of the ratios of output to what the caller stated.
type histogram struct {
	weights [buckets]float32
	total   float64
}

func (h *histogram) add(bucket int, decay float64) {
	for i := range h.weights {
		h.weights[i] *= float32(decay)
	}
	h.weights[bucket]++
	h.total = h.total*decay + 1
}

// basis is what the ratios of a histogram relate to: the declared maximum and the hint have
// different ratios to the output.
type basis int

const (
	byDeclared basis = iota
	byHint
	bases
)

type tableKey struct {
	name  string
	basis basis
}

// Table holds the distributions by key. The zero value is empty and ready to use. It is not safe
// for concurrent use.
type Table struct {
	keys *simplelru.LRU[tableKey, *histogram]
	pool [bases]histogram
}

// Add takes the output tokens of a request that has ended. Declared is its maximum, hint its
// caller's estimate, zero for none. The key names those whose requests are alike.
func (t *Table) Add(key string, declared, hint, output int) {
	b, scale := scaleOf(declared, hint)
	if scale <= 0 || output <= 0 {
		return
	}
	if t.keys == nil {
		t.keys, _ = simplelru.NewLRU[tableKey, *histogram](maxKeys, nil) // fails only for sizes under 1
	}
	h, ok := t.keys.Get(tableKey{key, b})
	if !ok {
		h = &histogram{}
		t.keys.Add(tableKey{key, b}, h)
	}
	i := bucketOf(float64(output) / scale)
	h.add(i, decay)
	t.pool[b].add(i, poolDecay)
}

// Reset drops all samples.
func (t *Table) Reset() { *t = Table{} }

// Estimate returns the distribution of the output tokens of a request. That of the pool takes the
// place of samples that its key lacks.
func (t *Table) Estimate(key string, declared, hint int) Dist {
	b, scale := scaleOf(declared, hint)
	pool := &t.pool[b]
	if scale <= 0 || pool.total < minPoolWeight {
		return Dist{}
	}
	d := Dist{scale: scale, limit: float64(declared)}
	own := &histogram{}
	if t.keys != nil {
		if h, ok := t.keys.Get(tableKey{key, b}); ok {
			own = h
		}
	}
	prior := max(trustedWeight-own.total, 0) / pool.total
	for i := range d.weights {
		d.weights[i] = own.weights[i] + float32(prior)*pool.weights[i]
	}
	return d
}

func scaleOf(declared, hint int) (basis, float64) {
	if hint > 0 {
		return byHint, float64(min(hint, max(declared, 1)))
	}
	return byDeclared, float64(declared)
}

func bucketOf(ratio float64) int {
	i := math.Floor((math.Log2(ratio) - minOctave) * bucketsPerOctave)
	return int(min(max(i, 0), buckets-1))
}

// midpoints are the geometric means of the bounds of each bucket.
var midpoints = func() (list [buckets]float64) {
	for i := range list {
		list[i] = math.Exp2(minOctave + (float64(i)+0.5)/bucketsPerOctave)
	}
	return list
}()

// Dist is the distribution of the output tokens of a request.
type Dist struct {
	// scale is what the ratios relate to, zero if nothing is known. limit is the declared maximum.
	scale, limit float64
	weights      [buckets]float32
}

// Known is false if there were too few samples for an estimate.
func (d *Dist) Known() bool { return d.scale > 0 }

// value returns the output tokens that a bucket stands for.
func (d *Dist) value(bucket int) float64 { return min(d.scale*midpoints[bucket], d.limit) }

// Mean returns the expected output tokens.
func (d *Dist) Mean() float64 {
	mean, _ := d.Remaining(0, math.Inf(1))
	return mean
}

// Variance returns the variance of the output tokens.
func (d *Dist) Variance() float64 {
	_, variance := d.Remaining(0, math.Inf(1))
	return variance
}

// Quantile returns the output tokens that the given share of requests does not exceed.
func (d *Dist) Quantile(share float64) float64 {
	total := 0.0
	for _, w := range d.weights {
		total += float64(w)
	}
	sum := 0.0
	for i, w := range d.weights {
		if sum += float64(w); w > 0 && sum >= share*total {
			return d.value(i)
		}
	}
	return d.limit
}

// Remaining returns the mean and the variance of the tokens that a request still produces, of
// which only the next ones up to the horizon count, given those that it has produced. One that
// has exceeded all samples is expected to produce half as much again, at most its declared maximum.
func (d *Dist) Remaining(produced int, horizon float64) (mean, variance float64) {
	made := float64(produced)
	total, sum, squares := 0.0, 0.0, 0.0
	for i := d.bucketAbove(made); i < buckets; i++ {
		w := float64(d.weights[i])
		if w == 0 {
			continue
		}
		rest := min(max(d.value(i)-made, 0), horizon)
		total += w
		sum += w * rest
		squares += w * rest * rest
	}
	if total == 0 {
		return min(made/2, max(d.limit-made, 0), horizon), 0
	}
	mean = sum / total
	return mean, max(squares/total-mean*mean, 0)
}

// bucketAbove returns the first bucket that stands for at least the given tokens.
func (d *Dist) bucketAbove(tokens float64) int {
	if tokens <= 0 || d.scale <= 0 {
		return 0
	}
	i := bucketOf(tokens / d.scale)
	if i < buckets-1 && midpoints[i]*d.scale < tokens {
		i++
	}
	return i
}
