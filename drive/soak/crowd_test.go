package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// Terms of the platform while most new connections go to one entry: from crowdDelay on, of the requests
// that an entry has read, crowdShare of the share before are served at the first try.
const (
	crowdDelay = 3 * time.Second
	crowdShare = 0.75
)

const (
	crowdCallers = 12
	crowdPeriod  = 3 * time.Second
	// crowdFactor is how much more often callers then open connections.
	crowdFactor = 4
)

// Guards against an entry that fails what it reads once most new connections go to it, while callers open
// them more often.
func TestMostNewConnectionsAtOneEntry(t *testing.T) {
	s := startSoak(t)
	var mu sync.Mutex
	var served, read int
	// send sends requests over new connections for a period, a share of them to the first entry, and
	// returns the share of those read that are served.
	send := func(period time.Duration, callers int, crowd float64) float64 {
		ctx, cancel := context.WithTimeout(context.Background(), period)
		defer cancel()
		mu.Lock()
		served, read = 0, 0
		mu.Unlock()
		var sending sync.WaitGroup
		for n := range callers {
			sending.Go(func() {
				rnd := rand.New(rand.NewPCG(s.Seed, uint64(n))) //nolint:gosec // not used as a secret
				caller := &fake.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Key: fake.Key}
				for ctx.Err() == nil {
					entry := 0
					if rnd.Float64() >= crowd {
						entry = rnd.IntN(entryCount)
					}
					path := []string{fake.PathResume, fake.PathRepeat}[rnd.IntN(2)]
					adapter := ""
					if path == fake.PathResume {
						adapter = "a1"
					}
					o := s.sendTo(context.Background(), caller, s.fleet.entries[entry], path+"crowd", "", s.newID(), adapter)
					mu.Lock()
					read += count(o.Status != 0)
					served += count(o.Status == http.StatusOK && o.Complete)
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		sending.Wait()
		return float64(served) / float64(max(read, 1))
	}
	before := send(crowdPeriod, crowdCallers, 0)
	send(crowdDelay, crowdFactor*crowdCallers, 0.9)
	after := send(crowdPeriod, crowdFactor*crowdCallers, 0.9)
	t.Logf("%.3f of the requests read are served before, %.3f after", before, after)
	if after < crowdShare*before {
		t.Errorf("%.3f of the requests read are served, %.3f before", after, before)
	}
}
