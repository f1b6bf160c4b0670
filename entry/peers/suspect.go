package peers

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/wire"
)

const (
	// spreadFanout is the number of entries to which an entry forwards records of ended upstreams that
	// changed. Each of them does the same if that changes its own, so all of a fleet have them after a few
	// steps. Hellos alone take too long: the time between two of a pair grows with the fleet.
	spreadFanout = 6
	// spreadNext of them are the next entries by address, the others are random. Random ones alone
	// miss some entries of a large fleet.
	spreadNext = 2
	// spreadInterval is the least time between two rounds of forwarding. Many upstreams that fail within a
	// second would otherwise cause a round each.
	spreadInterval = 100 * magno.Millis(1)
	// repeatInterval is how long records with several ends aren't sent to a peer again while neither process
	// learns more.
	repeatInterval = 10 * magno.Second
)

var endReportsSent = metrics.GetOrCreateCounter("end_reports_total")

// EndReport lists unplanned ends of upstreams and the requests that ran there. A crash concerns
// dozens of requests, and their fingerprints alone take a fifth of what their records would.
type EndReport struct {
	Ends []Ending `json:"ends,omitempty"`
	// Generations are those of the records that were cleared before.
	Generations []Generation `json:"generations,omitempty"`
}

// Ending is the end of an upstream, with the fingerprints of what ran there.
type Ending struct {
	magno.UpstreamEnd
	Ran []uint64 `json:"ran,omitempty"`
}

// Generation is that of a crash.Record.
type Generation struct {
	Fingerprint uint64       `json:"print"`
	Number      uint32       `json:"number"`
	ClearedAge  magno.Millis `json:"age"`
}

// newEndReport converts records to a report, in a fixed order of ends.
func newEndReport(records []crash.Record) EndReport {
	var report EndReport
	byUpstream := map[uint64]*Ending{}
	for i := range records {
		rec := &records[i]
		if rec.Generation > 0 {
			report.Generations = append(report.Generations, Generation{rec.Fingerprint, rec.Generation, rec.ClearedAge})
		}
		for _, e := range rec.Ends {
			g := byUpstream[e.Upstream]
			if g == nil {
				g = &Ending{UpstreamEnd: e}
				byUpstream[e.Upstream] = g
			}
			g.Ran = append(g.Ran, rec.Fingerprint)
		}
	}
	for g := range maps.Values(byUpstream) {
		report.Ends = append(report.Ends, *g)
	}
	slices.SortFunc(report.Ends, func(a, b Ending) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return report
}

// records is the inverse of newEndReport.
func (r *EndReport) records() []crash.Record {
	byPrint := map[uint64]*crash.Record{}
	find := func(print uint64) *crash.Record {
		if byPrint[print] == nil {
			byPrint[print] = &crash.Record{Fingerprint: print}
		}
		return byPrint[print]
	}
	for _, g := range r.Generations {
		rec := find(g.Fingerprint)
		rec.Generation, rec.ClearedAge = g.Number, g.ClearedAge
	}
	for i := range r.Ends {
		for _, print := range r.Ends[i].Ran {
			rec := find(print)
			rec.Ends = append(rec.Ends, r.Ends[i].UpstreamEnd)
		}
	}
	list := make([]crash.Record, 0, len(byPrint))
	for _, rec := range byPrint {
		list = append(list, *rec)
	}
	return list
}

// mergeEnds joins a report with the records of this process.
func (p *Peers) mergeEnds(r *EndReport) { p.Suspects.Merge(r.records()) }

// recentEnds returns the records that changed lately. Single ends that others saw are forwarded once; in each hello
// they would be most of what an entry sends after many upstreams ended.
func (p *Peers) recentEnds() []crash.Record {
	return p.Suspects.WitnessedSince(p.Suspects.Clock.Now()-suspectMaxAge, maxSuspects)
}

// replyEnds returns what a peer may lack: what changed lately and, if its digest differs, all records with
// several ends. An entry that just started, or was cut off, would send such a request to upstreams again. While
// neither digest changes the latter are sent again only after a while: processes whose tables are full may
// differ for long.
func (p *Peers) replyEnds(h *Hello) EndReport {
	records, mine, now := p.recentEnds(), p.Suspects.Digest(), p.Clock.Now()
	if h.EndDigest == mine || !p.mayRepeat(h.Addr, [2]uint64{mine, h.EndDigest}, now) {
		return newEndReport(records)
	}
	for _, rec := range p.Suspects.Serious(maxSerious) {
		if !slices.ContainsFunc(records, func(other crash.Record) bool { return other.Fingerprint == rec.Fingerprint }) {
			records = append(records, rec)
		}
	}
	return newEndReport(records)
}

// mayRepeat reports whether records may be sent to a peer because of these digests, and notes that they are.
func (p *Peers) mayRepeat(addr string, digests [2]uint64, now magno.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[addr]
	if k == nil {
		return true
	}
	if k.digests == digests && now-k.digestsAt < repeatInterval {
		return false
	}
	k.digests, k.digestsAt = digests, now
	return true
}

// delivery is the state of the messages about ends to one peer. While one is on its way, further changes are left
// to the next one.
type delivery struct {
	// since is the time from which on changes are to be sent.
	since magno.Millis
	// pending is true if there are some that the message on its way lacks.
	pending bool
}

// spreadDelay returns the time until changed records may be forwarded, zero if they may now. It returns false if
// none changed.
func (p *Peers) spreadDelay() (delay magno.Millis, changed bool) {
	changes, now := p.Suspects.Changes(), p.Suspects.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.spreadAt+spreadInterval-now, 0), changes != p.spreadChange
}

// endsToSpread returns the time from which on changes are to be forwarded, and the addresses of the entries to
// which. There are none if no record changed, or if the last round was a moment ago.
func (p *Peers) endsToSpread() (since magno.Millis, targets []string) {
	if delay, changed := p.spreadDelay(); delay > 0 || !changed {
		return 0, nil
	}
	changes, now := p.Suspects.Changes(), p.Suspects.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	since = p.spreadAt - 1
	p.spreadChange, p.spreadAt = changes, now
	targets = p.nextEntries(spreadNext)
	for addr, k := range p.known { // in random order
		if len(targets) == spreadFanout {
			break
		}
		if k.alive && !slices.Contains(targets, addr) {
			targets = append(targets, addr)
		}
	}
	return since, targets
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

// spreadEnds forwards the records that changed since the last call. There is one goroutine per peer at most: with
// one per message, they would pile up for peers that are slow to read.
func (p *Peers) spreadEnds(ctx context.Context, pending *sync.WaitGroup) {
	since, targets := p.endsToSpread()
	for _, addr := range targets {
		if p.startDelivery(addr, since) {
			pending.Go(func() { p.deliver(ctx, addr) })
		}
	}
}

// startDelivery adds changes to what is to be sent to a peer. It reports whether no message is on its way, so that
// one may be sent now.
func (p *Peers) startDelivery(addr string, since magno.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.deliveries[addr]; d != nil {
		d.pending, d.since = true, min(d.since, since)
		return false
	}
	p.deliveries[addr] = &delivery{since: since}
	return true
}

// deliver sends changes to a peer until there are no more.
func (p *Peers) deliver(ctx context.Context, addr string) {
	for since, more := p.nextDelivery(addr); more && ctx.Err() == nil; since, more = p.finishDelivery(addr) {
		p.sendEnds(ctx, addr, newEndReport(p.Suspects.UpdatedSince(since, maxSuspects)))
	}
}

// nextDelivery begins a message, and returns the time from which on changes are to be sent with it.
func (p *Peers) nextDelivery(addr string) (since magno.Millis, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deliveries[addr].begin(p.Suspects.Clock.Now()), true
}

// begin begins a message. Changes from now on are left to the next one.
func (d *delivery) begin(now magno.Millis) (since magno.Millis) {
	since = d.since
	d.pending, d.since = false, now
	return since
}

// finishDelivery ends a message, and returns the time from which on changes are to be sent with the next, if there
// are any.
func (p *Peers) finishDelivery(addr string) (since magno.Millis, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.deliveries[addr]
	if !d.pending {
		delete(p.deliveries, addr)
		return 0, false
	}
	return d.begin(p.Suspects.Clock.Now()), true
}

// sendEnds sends a report. The records of one that is lost come with a hello.
func (p *Peers) sendEnds(ctx context.Context, addr string, report EndReport) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout.Duration())
	defer cancel()
	endReportsSent.Inc()
	if err := p.Mesh.Notify(ctx, addr, MethodEnds, report); err != nil {
		p.Log.Debug("ends not passed on", "addr", addr, "error", err)
	}
}

func (p *Peers) onEnds(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	report, err := parseEndReport(params)
	if err != nil {
		p.Log.Warn("malformed ends", "error", err)
		return nil, err
	}
	before := p.Suspects.Changes()
	p.mergeEnds(&report)
	if p.Suspects.Changes() != before {
		p.wake()
	}
	return nil, nil
}

// parseEndReport decodes an EndReport. Entries of older versions send only its list of ends.
func parseEndReport(params json.RawMessage) (EndReport, error) {
	var report EndReport
	if bytes.HasPrefix(bytes.TrimSpace(params), []byte("[")) {
		err := json.Unmarshal(params, &report.Ends)
		return report, err
	}
	err := json.Unmarshal(params, &report)
	return report, err
}
