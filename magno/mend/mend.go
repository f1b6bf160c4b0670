// Package mend synchronizes the configuration of a process with that of a peer when the
// deltas sent with gossip can't.
//
//	Pull: have N --> Serve: deltas from N, or the checksums of all buckets
//	      want buckets --> records of those that differ, a part at a time
//	      all checksums equal --> validated --> active
//
// 750 processes a day start empty, and after a partition many are far behind, with
// 260,000 records to fetch. If they read them from the platform, a fleet of 2,600
// processes starting at once would need a thousand reads each, and the service allows
// 2,000 a second. Buckets that were received are kept when the peer activates a newer
// version meanwhile, so a pull completes even if operators publish continuously.
package mend

import (
	"context"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// Limits of a reply and of a pull.
const (
	// maxReplyRecords limits a reply to about half a megabyte.
	maxReplyRecords = 4096
	// maxRequestBuckets is the number of buckets requested at once.
	maxRequestBuckets = 64
	// maxRequests ends a pull from a peer that never completes it. A full version of
	// 260,000 records takes about 70 requests.
	maxRequests = 2000
)

// Request asks a peer for a newer version.
type Request struct {
	// Version and Sum describe the version that the process has, zero for none.
	Version int64  `json:"version"`
	Sum     uint64 `json:"sum"`
	// WantBuckets lists the buckets whose records are requested. If empty, deltas or
	// checksums are requested.
	WantBuckets []int `json:"want,omitempty"`
}

// BucketRecords holds the records of one bucket.
type BucketRecords struct {
	Index   int          `json:"index"`
	Records magno.Config `json:"records"`
}

// Reply answers a Request with the peer's active version.
type Reply struct {
	Version int64  `json:"version"`
	Sum     uint64 `json:"sum"`
	// Deltas leads from the version in the request to Version.
	Deltas []*config.Delta `json:"deltas,omitempty"`
	// BucketSums holds the checksums of all buckets at Version.
	BucketSums []uint64        `json:"sums,omitempty"`
	Buckets    []BucketRecords `json:"groups,omitempty"`
}

// Syncer serves and pulls versions of a store.
type Syncer struct {
	Store *config.Store
}

// errNoProgress means that a peer's replies don't lead to a complete version.
var errNoProgress = errors.New("the peer's replies don't lead to a complete version")

// Serve answers a request of a peer.
func (s *Syncer) Serve(request Request) Reply {
	current := s.Store.Current()
	if current == nil {
		return Reply{}
	}
	reply := Reply{Version: current.Version, Sum: current.Sum}
	if len(request.WantBuckets) > 0 {
		reply.Buckets = bucketRecords(current, request.WantBuckets)
		return reply
	}
	if request.Version >= current.Version {
		return reply
	}
	if deltas, ok := s.Store.DeltasSince(request.Version, request.Sum); ok {
		reply.Deltas = deltas
		return reply
	}
	reply.BucketSums = current.BucketSums()
	return reply
}

// bucketRecords returns the first of the wanted buckets, as many as fit into one reply.
func bucketRecords(snapshot *config.Snapshot, want []int) []BucketRecords {
	var out []BucketRecords
	n := 0
	for _, i := range want {
		if i < 0 || i > config.SmallListsBucket || n >= maxReplyRecords {
			break
		}
		cfg := snapshot.Bucket(i)
		n += len(cfg.Adapters) + len(cfg.Profiles) + 1
		out = append(out, BucketRecords{Index: i, Records: *cfg})
	}
	return out
}

// Pull sends requests to a peer through call until this store has the peer's version.
// peerVersion is the version in the peer's last reply.
func (s *Syncer) Pull(ctx context.Context, source string, call func(context.Context, Request) (Reply, error)) (peerVersion int64, err error) {
	p := pull{store: s.Store, source: source, call: call, partial: s.Store.Current()}
	if p.partial == nil {
		p.partial = config.Empty()
	}
	for p.requests < maxRequests {
		done, err := p.attempt(ctx)
		if done || err != nil {
			return p.peerVersion, err
		}
	}
	return p.peerVersion, errNoProgress
}

// pull is the state of one Pull.
type pull struct {
	store  *config.Store
	source string
	call   func(context.Context, Request) (Reply, error)
	// partial is the version received so far. Its buckets are kept when the peer
	// activates a newer version.
	partial     *config.Snapshot
	requests    int
	peerVersion int64
}

func (p *pull) send(ctx context.Context, request Request) (Reply, error) {
	p.requests++
	reply, err := p.call(ctx, request)
	if err == nil {
		p.peerVersion = reply.Version
	}
	return reply, err
}

// attempt pulls the peer's current version. It returns false if the peer's version
// changed before it was complete.
func (p *pull) attempt(ctx context.Context) (bool, error) {
	request := Request{Version: p.store.Version()}
	if current := p.store.Current(); current != nil {
		request.Sum = current.Sum
	}
	reply, err := p.send(ctx, request)
	if err != nil {
		return false, err
	}
	if reply.Version <= request.Version {
		return true, nil
	}
	if len(reply.Deltas) > 0 {
		return p.applyDeltas(reply.Deltas)
	}
	if len(reply.BucketSums) != config.Buckets+1 {
		return false, errNoProgress
	}
	whole, err := p.fetchBuckets(ctx, &reply)
	if !whole || err != nil {
		return false, err
	}
	next := p.partial.WithVersion(reply.Version)
	if next.Sum != reply.Sum {
		return false, config.ErrChecksum
	}
	err = p.store.Install(next, nil, p.source)
	return true, ignoreOld(err)
}

// applyDeltas applies deltas in order.
func (p *pull) applyDeltas(deltas []*config.Delta) (bool, error) {
	for _, d := range deltas {
		err := ignoreOld(p.store.Apply(d, p.source))
		if errors.Is(err, config.ErrGap) {
			// The store changed meanwhile; ask again from its new version.
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

// fetchBuckets replaces the buckets that differ. It returns false if the peer's version
// changed.
func (p *pull) fetchBuckets(ctx context.Context, target *Reply) (bool, error) {
	for {
		want := differingBuckets(p.partial.BucketSums(), target.BucketSums)
		if len(want) == 0 {
			return true, nil
		}
		reply, err := p.send(ctx, Request{Version: p.store.Version(), WantBuckets: want[:min(len(want), maxRequestBuckets)]})
		if err != nil {
			return false, err
		}
		for _, g := range reply.Buckets {
			if g.Index >= 0 && g.Index <= config.SmallListsBucket {
				p.partial = p.partial.WithBucket(g.Index, &g.Records)
			}
		}
		if reply.Version != target.Version {
			return false, nil
		}
		if len(reply.Buckets) == 0 || p.requests >= maxRequests || len(differingBuckets(p.partial.BucketSums(), target.BucketSums)) == len(want) {
			return false, errNoProgress
		}
	}
}

func differingBuckets(have, want []uint64) []int {
	var out []int
	for i := range want {
		if have[i] != want[i] {
			out = append(out, i)
		}
	}
	return out
}
