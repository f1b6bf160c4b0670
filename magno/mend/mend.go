// Package mend brings a process to the version of the configuration that a
// peer holds, when the deltas that ride on gossip can't.
//
//	Pull: have N --> Serve: deltas from N, or the sums of all groups
//	      want groups --> records of those that differ, a part at a time
//	      all sums equal --> checked --> in force
//
// The load is 750 processes a day that start empty, and after a cut many that
// are far behind, with 260,000 records to fetch. Were they to read the
// platform, a fleet that starts at once would need a thousand reads from each of
// 2,600 processes, and the service gives 2,000 a second. Groups that came are
// kept when the peer moves on to a newer version meanwhile, so a pull ends even
// while operators publish all the time.
package mend

import (
	"context"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// Limits of one answer and one pull.
const (
	// replyRecords keeps an answer near half a megabyte.
	replyRecords = 4096
	// askGroups is how many groups are asked for at once.
	askGroups = 64
	// maxAsks ends a pull from a peer that gives no end; a whole version of
	// 260,000 records takes some 70.
	maxAsks = 2000
)

// Ask is what a process wants from a peer.
type Request struct {
	// Version and Sum are what it has; zero for nothing.
	Version int64  `json:"version"`
	Sum     uint64 `json:"sum"`
	// Want lists groups whose records are asked for; empty asks for deltas or
	// sums.
	WantBuckets []int `json:"want,omitempty"`
}

// Group is the records of one group.
type BucketRecords struct {
	Index   int          `json:"index"`
	Records magno.Config `json:"records"`
}

// Reply answers an Ask with what the peer has in force.
type Reply struct {
	Version int64  `json:"version"`
	Sum     uint64 `json:"sum"`
	// Deltas lead from the asker's version to Version.
	Deltas []*config.Delta `json:"deltas,omitempty"`
	// Sums of all groups at Version.
	BucketSums []uint64        `json:"sums,omitempty"`
	Buckets    []BucketRecords `json:"groups,omitempty"`
}

// Syncer serves and pulls versions of one store.
type Syncer struct {
	Store *config.Store
}

// errPeer means that a peer's answers don't lead anywhere.
var errPeer = errors.New("the peer's answers lead to no version")

// Serve answers a peer.
func (m *Syncer) Serve(ask Request) Reply {
	now := m.Store.Current()
	if now == nil {
		return Reply{}
	}
	reply := Reply{Version: now.Version, Sum: now.Sum}
	if len(ask.WantBuckets) > 0 {
		reply.Buckets = groups(now, ask.WantBuckets)
		return reply
	}
	if ask.Version >= now.Version {
		return reply
	}
	if deltas, ok := m.Store.DeltasSince(ask.Version, ask.Sum); ok {
		reply.Deltas = deltas
		return reply
	}
	reply.BucketSums = now.BucketSums()
	return reply
}

// groups returns the first of the wanted groups, as many as one answer takes.
func groups(now *config.Snapshot, want []int) []BucketRecords {
	var out []BucketRecords
	n := 0
	for _, i := range want {
		if i < 0 || i > config.SmallListsBucket || n >= replyRecords {
			break
		}
		cfg := now.Bucket(i)
		n += len(cfg.Adapters) + len(cfg.Profiles) + 1
		out = append(out, BucketRecords{Index: i, Records: *cfg})
	}
	return out
}

// Pull asks the peer behind call until this store has the peer's version. told
// is the version that the peer last named.
func (m *Syncer) Pull(ctx context.Context, source string, call func(context.Context, Request) (Reply, error)) (told int64, err error) {
	p := pull{store: m.Store, source: source, call: call, work: m.Store.Current()}
	if p.work == nil {
		p.work = config.Empty()
	}
	for p.asks < maxAsks {
		done, err := p.round(ctx)
		if done || err != nil {
			return p.told, err
		}
	}
	return p.told, errPeer
}

// pull is the state of one Pull.
type pull struct {
	store  *config.Store
	source string
	call   func(context.Context, Request) (Reply, error)
	// work is the version as far as it came; groups in it stay when the peer
	// moves on.
	work *config.Snapshot
	asks int
	told int64
}

func (p *pull) ask(ctx context.Context, ask Request) (Reply, error) {
	p.asks++
	reply, err := p.call(ctx, ask)
	if err == nil {
		p.told = reply.Version
	}
	return reply, err
}

// round goes for the version that the peer has now; false when the peer moved
// on before all of it came.
func (p *pull) round(ctx context.Context) (bool, error) {
	ask := Request{Version: p.store.Version()}
	if now := p.store.Current(); now != nil {
		ask.Sum = now.Sum
	}
	reply, err := p.ask(ctx, ask)
	if err != nil {
		return false, err
	}
	if reply.Version <= ask.Version {
		return true, nil
	}
	if len(reply.Deltas) > 0 {
		return p.apply(reply.Deltas)
	}
	if len(reply.BucketSums) != config.Buckets+1 {
		return false, errPeer
	}
	whole, err := p.fetch(ctx, &reply)
	if !whole || err != nil {
		return false, err
	}
	next := p.work.WithVersion(reply.Version)
	if next.Sum != reply.Sum {
		return false, config.ErrChecksum
	}
	err = p.store.Install(next, nil, p.source)
	return true, ignoreOld(err)
}

// apply puts deltas in force one after the other.
func (p *pull) apply(deltas []*config.Delta) (bool, error) {
	for _, d := range deltas {
		err := ignoreOld(p.store.Apply(d, p.source))
		if errors.Is(err, config.ErrGap) {
			// The store moved meanwhile; ask again from where it is.
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
	return true, nil
}

func ignoreOld(err error) error {
	if errors.Is(err, config.ErrOld) {
		return nil
	}
	return err
}

// fetch replaces the groups that differ; false when the peer moved on.
func (p *pull) fetch(ctx context.Context, target *Reply) (bool, error) {
	for {
		want := differ(p.work.BucketSums(), target.BucketSums)
		if len(want) == 0 {
			return true, nil
		}
		reply, err := p.ask(ctx, Request{Version: p.store.Version(), WantBuckets: want[:min(len(want), askGroups)]})
		if err != nil {
			return false, err
		}
		for _, g := range reply.Buckets {
			if g.Index >= 0 && g.Index <= config.SmallListsBucket {
				p.work = p.work.WithBucket(g.Index, &g.Records)
			}
		}
		if reply.Version != target.Version {
			return false, nil
		}
		if len(reply.Buckets) == 0 || p.asks >= maxAsks || len(differ(p.work.BucketSums(), target.BucketSums)) == len(want) {
			return false, errPeer
		}
	}
}

func differ(have, want []uint64) []int {
	var out []int
	for i := range want {
		if have[i] != want[i] {
			out = append(out, i)
		}
	}
	return out
}
