package limit

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/bucket"
)

// sumEvery is how often entries tell the first of them what they let run, and that one
// tells all how much there is.
const sumEvery = 500 * magno.Millis(1)

// Sums has each entry let run what it takes to be there, by what the first entry counted
// of all a moment ago.
func Sums(w *World) Way { return &sums{World: w, entries: make([]*summed, w.Entries)} }

type sums struct {
	*World
	entries []*summed
}

// summed is what one entry knows: buckets as it was told, and what it let run since. The
// first entry counts in counted.
type summed struct {
	told    magno.Millis
	buckets map[string]*bucket.Bucket
	own     map[string]float64
	counted map[string]*bucket.Bucket
}

func (s *sums) Started(i int) {
	s.entries[i] = &summed{buckets: map[string]*bucket.Bucket{}, own: map[string]float64{}, counted: map[string]*bucket.Bucket{}}
}

// filled returns a customer's bucket, made with a full burst.
func (s *sums) filled(m map[string]*bucket.Bucket, customer string) *bucket.Bucket {
	b, limit, now := m[customer], s.limits[customer], s.Clock.Now()
	if b == nil {
		b = &bucket.Bucket{Rate: limit.Rate, Burst: limit.Burst}
		b.Fill(limit.Burst, now)
		m[customer] = b
	}
	b.Level(now)
	b.Rate, b.Burst = limit.Rate, limit.Burst
	return b
}

func (s *sums) Ask(i int, customer string, cost float64, decided func(bool)) {
	e := s.entries[i]
	b := s.filled(e.buckets, customer)
	if !b.Has(cost, s.Clock.Now()) {
		decided(false)
		return
	}
	b.Take(cost)
	e.own[customer] += cost
	decided(true)
}

func (s *sums) Tick(i int) {
	e, now := s.entries[i], s.Clock.Now()
	if now-e.told < sumEvery {
		return
	}
	e.told = now
	first := 0
	for !s.Alive(i, first) {
		first++
	}
	said := e.own
	e.own = map[string]float64{}
	take := func() {
		for c, used := range said {
			s.filled(s.entries[first].counted, c).Take(used)
		}
	}
	if first != i {
		s.Send(i, first, partBytes*len(said), take)
		return
	}
	take()
	for j := range s.Entries {
		levels := map[string]float64{}
		for c := range s.limits {
			levels[c] = s.filled(e.counted, c).Level(now)
		}
		s.Send(i, j, partBytes*len(levels), func() {
			for c, level := range levels {
				b := s.filled(s.entries[j].buckets, c)
				b.Fill(level-s.entries[j].own[c], s.Clock.Now())
			}
		})
	}
}
