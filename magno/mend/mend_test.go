package mend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

func testConfig(version int64, n int) *magno.Config {
	cfg := &magno.Config{
		Version:   version,
		Customers: []magno.Customer{{Name: "delta", Weight: 1}},
		Pools:     []magno.Pool{{Name: "read", Kind: magno.PoolEngine, Base: "llama"}},
	}
	for i := range n {
		name := fmt.Sprintf("a%d", i)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{fmt.Sprint(version)}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: fmt.Sprint(version)})
	}
	return cfg
}

// callOver calls s directly, with the request and the reply encoded as JSON like on the
// network.
func callOver(s *Syncer) func(context.Context, Request) (Reply, error) {
	return func(_ context.Context, request Request) (Reply, error) {
		var in Request
		text, _ := json.Marshal(request)
		_ = json.Unmarshal(text, &in)
		text, _ = json.Marshal(s.Serve(in))
		var out Reply
		err := json.Unmarshal(text, &out)
		return out, err
	}
}

func load(t *testing.T, s *config.Store, cfg *magno.Config) {
	t.Helper()
	if err := s.Load(cfg, nil, "test"); err != nil {
		t.Fatal(err)
	}
}

// A process with no version, an old version or the current version pulls from a peer.
func TestPull(t *testing.T) {
	peer := &config.Store{}
	load(t, peer, testConfig(7, 6000))
	for _, have := range []int64{0, 3, 7} {
		own := &config.Store{}
		if have > 0 {
			load(t, own, testConfig(have, 100))
		}
		peerVersion, err := (&Syncer{Store: own}).Pull(context.Background(), "peer", callOver(&Syncer{Store: peer}))
		if err != nil || peerVersion != 7 || own.Version() != 7 || (have < 7 && own.Current().Sum != peer.Current().Sum) {
			t.Fatalf("from %d: peer version %d, have %d, %v", have, peerVersion, own.Version(), err)
		}
	}
}

// Operators publish while a process pulls, so the peer has another version at each
// request. The pull must still complete, with a published content and never with a
// mixture of two versions.
func TestPeerPublishesDuringPull(t *testing.T) {
	peer, own := &config.Store{}, &config.Store{}
	load(t, peer, testConfig(1, 5000))
	sums := map[int64]uint64{1: peer.Current().Sum}
	serve := callOver(&Syncer{Store: peer})
	next := testConfig(1, 5000)
	_, err := (&Syncer{Store: own}).Pull(context.Background(), "peer", func(ctx context.Context, request Request) (Reply, error) {
		if next.Version < 12 {
			next.Version++
			next.Adapters[next.Version].Versions = append(next.Adapters[next.Version].Versions, "more")
			load(t, peer, next)
			sums[next.Version] = peer.Current().Sum
		}
		return serve(ctx, request)
	})
	if err != nil || own.Current() == nil || sums[own.Version()] != own.Current().Sum {
		t.Fatalf("version %d, %v", own.Version(), err)
	}
}

// A peer replies with corrupt records or with an invalid version. None of it may become
// active, and the pull must end.
func TestDamagedPeer(t *testing.T) {
	peer := &config.Store{}
	load(t, peer, testConfig(2, 300))
	own := &config.Store{}
	load(t, own, testConfig(1, 300))
	serve := callOver(&Syncer{Store: peer})
	_, err := (&Syncer{Store: own}).Pull(context.Background(), "peer", func(ctx context.Context, request Request) (Reply, error) {
		reply, err := serve(ctx, request)
		for i := range reply.Buckets {
			reply.Buckets[i].Records.Profiles = nil
		}
		return reply, err
	})
	if err == nil || own.Version() != 1 {
		t.Fatalf("version %d, %v", own.Version(), err)
	}
	bad := testConfig(3, 10)
	bad.Profiles[0].Adapter = "none"
	snap := config.NewSnapshot(bad)
	_, err = (&Syncer{Store: own}).Pull(context.Background(), "peer", func(_ context.Context, request Request) (Reply, error) {
		reply := Reply{Version: 3, Sum: snap.Sum, BucketSums: snap.BucketSums()}
		if len(request.WantBuckets) > 0 {
			reply.Buckets = bucketRecords(snap, request.WantBuckets)
		}
		return reply, nil
	})
	if !errors.Is(err, config.ErrInvalid) || own.Version() != 1 {
		t.Fatalf("version %d, %v", own.Version(), err)
	}
}
