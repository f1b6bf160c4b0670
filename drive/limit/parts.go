package limit

import (
	"math"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
)

const (
	// tellEvery is how often entries tell of their demand, six of them at a time.
	tellEvery = 400 * magno.Millis(1)
	tellScale = 6
	// partBytes is one customer's demand on the wire.
	partBytes = 24
	// even is the part of an allowance that all entries have alike.
	even = 0.1
	// demandSpan is the time over which demand is averaged.
	demandSpan = 2 * magno.Second
)

// Parts divides each allowance by the demand that entries tell each other of.
func Parts(w *World) Way {
	p := &parts{World: w, entries: make([]*partly, w.Entries)}
	return p
}

type parts struct {
	*World
	entries []*partly
}

// partly is what one entry knows.
type partly struct {
	told    magno.Millis
	buckets map[string]*bucket.Bucket
	// demand is each entry's by customer, this one's own among them.
	demand []map[string]float64
	at     magno.Millis
}

func (p *parts) Started(i int) {
	e := &partly{buckets: map[string]*bucket.Bucket{}, demand: make([]map[string]float64, p.Entries), at: p.Clock.Now()}
	for j := range e.demand {
		e.demand[j] = map[string]float64{}
	}
	p.entries[i] = e
}

func (p *parts) Ask(i int, customer string, cost float64, decided func(bool)) {
	e, now, limit := p.entries[i], p.Clock.Now(), p.limits[customer]
	e.demand[i][customer] += cost * 1000 / float64(demandSpan)
	b := e.buckets[customer]
	if b == nil {
		b = &bucket.Bucket{}
		e.buckets[customer] = b
	}
	b.Level(now)
	sum := 0.0
	for j := range e.demand {
		if p.Alive(i, j) {
			sum += e.demand[j][customer]
		}
	}
	share := even/float64(p.Entries) + (1-even)*e.demand[i][customer]/sum
	b.Rate, b.Burst = limit.Rate*share, max(limit.Burst*share, 1)
	if runs := b.Has(cost, now); !runs {
		decided(false)
		return
	}
	b.Take(cost)
	decided(true)
}

func (p *parts) Tick(i int) {
	e, now := p.entries[i], p.Clock.Now()
	fade := math.Exp(-float64(now-e.at) / float64(demandSpan))
	for c := range e.demand[i] {
		e.demand[i][c] *= fade
	}
	e.at = now
	if now-e.told < tellEvery*magno.Millis(max(p.Entries, tellScale))/tellScale {
		return
	}
	e.told = now
	said := make(map[string]float64, len(e.demand[i]))
	for c, d := range e.demand[i] {
		said[c] = d
	}
	for j := range p.Entries {
		if j != i {
			p.Send(i, j, partBytes*len(said), func() { p.entries[j].demand[i] = said })
		}
	}
}
