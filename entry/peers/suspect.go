package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/wire"
)

const (
	// spreadFanout is the number of entries to which an entry passes on what it just learned of ends
	// of upstreams. Each of them does the same if it is news there, so all of a fleet hear of it within
	// a few steps. Hellos alone take too long: the time between two of a pair grows with the fleet.
	spreadFanout = 6
	// spreadNext of them are the next entries by address, the others are random. Random ones alone
	// miss some entries of a large fleet.
	spreadNext = 2
)

// Ending is the end of an upstream in a hello, with the requests that ran there. A crash concerns
// dozens of requests, and their fingerprints alone take a fifth of what their records would.
type Ending struct {
	magno.UpstreamEnd
	// Ran are the fingerprints of the requests, Completed those that completed afterwards.
	Ran       []uint64 `json:"ran,omitempty"`
	Completed []uint64 `json:"whole,omitempty"`
}

// groupByEnd converts records of requests to the ends in them, in a fixed order.
func groupByEnd(records []crash.Record) []Ending {
	byUpstream := map[uint64]*Ending{}
	for _, rec := range records {
		for _, e := range rec.Ends {
			g := byUpstream[e.Upstream]
			if g == nil {
				g = &Ending{UpstreamEnd: magno.UpstreamEnd{Upstream: e.Upstream, Pool: e.Pool, Age: e.Age}}
				byUpstream[e.Upstream] = g
			}
			if e.Cleared {
				g.Completed = append(g.Completed, rec.Fingerprint)
				continue
			}
			g.Ran = append(g.Ran, rec.Fingerprint)
		}
	}
	list := make([]Ending, 0, len(byUpstream))
	for g := range maps.Values(byUpstream) {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Ending) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// mergeEnds joins the ends in a hello with the records of this process.
func (p *Peers) mergeEnds(ends []Ending) {
	var records []crash.Record
	for i := range ends {
		e := ends[i].UpstreamEnd
		for _, print := range ends[i].Ran {
			records = append(records, crash.Record{Fingerprint: print, Ends: []magno.UpstreamEnd{e}})
		}
		e.Cleared = true
		for _, print := range ends[i].Completed {
			records = append(records, crash.Record{Fingerprint: print, Ends: []magno.UpstreamEnd{e}})
		}
	}
	p.Suspects.Merge(records)
}

// recentEnds returns the ends whose records changed lately.
func (p *Peers) recentEnds() []Ending {
	return groupByEnd(p.Suspects.UpdatedSince(p.Suspects.Clock.Now()-suspectMaxAge, maxSuspects))
}

// missingEnds returns the ends that a peer with another digest may lack: an entry that just started,
// or was cut off, would send such a request to upstreams again.
func (p *Peers) missingEnds(digest uint64) []Ending {
	if digest == p.Suspects.Digest() {
		return nil
	}
	return groupByEnd(p.Suspects.Serious(maxSerious))
}

// endsToSpread returns the ends that became known since the last call, and the addresses of the
// entries to send them to.
func (p *Peers) endsToSpread() ([]Ending, []string) {
	changes, now := p.Suspects.Changes(), p.Suspects.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if changes == p.spreadChange {
		return nil, nil
	}
	ends := groupByEnd(p.Suspects.UpdatedSince(p.spreadAt-1, maxSuspects))
	p.spreadChange, p.spreadAt = changes, now
	targets := p.nextEntries(spreadNext)
	for addr, k := range p.known { // in random order
		if len(targets) == spreadFanout {
			break
		}
		if k.alive && !slices.Contains(targets, addr) {
			targets = append(targets, addr)
		}
	}
	return ends, targets
}

// nextEntries returns the n live entries whose addresses follow this one's, in a circle. The caller
// holds mu.
func (p *Peers) nextEntries(n int) []string {
	var addrs []string
	for addr, k := range p.known {
		if k.alive {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	next, _ := slices.BinarySearch(addrs, p.Addr)
	list := make([]string, 0, spreadFanout)
	for i := range min(n, len(addrs)) {
		list = append(list, addrs[(next+i)%len(addrs)])
	}
	return list
}

// spreadEnds passes on what became known since the last call.
func (p *Peers) spreadEnds(ctx context.Context, pending *sync.WaitGroup) {
	ends, targets := p.endsToSpread()
	for _, addr := range targets {
		pending.Go(func() { p.sendEnds(ctx, addr, ends) })
	}
}

// sendEnds passes on ends of upstreams. One that is lost comes with a hello.
func (p *Peers) sendEnds(ctx context.Context, addr string, ends []Ending) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout.Duration())
	defer cancel()
	if err := p.Mesh.Notify(ctx, addr, MethodEnds, ends); err != nil {
		p.Log.Debug("ends not passed on", "addr", addr, "error", err)
	}
}

func (p *Peers) onEnds(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var ends []Ending
	if err := json.Unmarshal(params, &ends); err != nil {
		p.Log.Warn("malformed ends", "error", err)
		return nil, err
	}
	before := p.Suspects.Changes()
	p.mergeEnds(ends)
	if p.Suspects.Changes() != before {
		p.wake()
	}
	return nil, nil
}
