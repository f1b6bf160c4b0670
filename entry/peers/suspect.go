package peers

import (
	"cmp"
	"maps"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
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
