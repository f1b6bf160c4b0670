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

func sample(version int64, n int) *magno.Config {
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

// through sends both sides as JSON, as the wire does.
func through(m *Syncer) func(context.Context, Request) (Reply, error) {
	return func(_ context.Context, ask Request) (Reply, error) {
		var in Request
		text, _ := json.Marshal(ask)
		_ = json.Unmarshal(text, &in)
		text, _ = json.Marshal(m.Serve(in))
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

// A process starts with nothing beside peers that have it all, one that has an
// old version, and one that only lacks the last changes.
func TestPull(t *testing.T) {
	peer := &config.Store{}
	load(t, peer, sample(7, 6000))
	for _, have := range []int64{0, 3, 7} {
		own := &config.Store{}
		if have > 0 {
			load(t, own, sample(have, 100))
		}
		told, err := (&Syncer{Store: own}).Pull(context.Background(), "peer", through(&Syncer{Store: peer}))
		if err != nil || told != 7 || own.Version() != 7 || (have < 7 && own.Current().Sum != peer.Current().Sum) {
			t.Fatalf("from %d: told %d, have %d, %v", have, told, own.Version(), err)
		}
	}
}

// Operators publish while a process fetches: the peer has another version at
// each question. The pull must still end, and with a content that was published,
// never with a mixture of two versions.
func TestPeerMovesOn(t *testing.T) {
	peer, own := &config.Store{}, &config.Store{}
	load(t, peer, sample(1, 5000))
	sums := map[int64]uint64{1: peer.Current().Sum}
	serve := through(&Syncer{Store: peer})
	next := sample(1, 5000)
	_, err := (&Syncer{Store: own}).Pull(context.Background(), "peer", func(ctx context.Context, ask Request) (Reply, error) {
		if next.Version < 12 {
			next.Version++
			next.Adapters[next.Version].Versions = append(next.Adapters[next.Version].Versions, "more")
			load(t, peer, next)
			sums[next.Version] = peer.Current().Sum
		}
		return serve(ctx, ask)
	})
	if err != nil || own.Current() == nil || sums[own.Version()] != own.Current().Sum {
		t.Fatalf("version %d, %v", own.Version(), err)
	}
}

// A peer answers with damaged records, or with an unsound version. Nothing of
// it may come into force, and the pull must end.
func TestDamagedPeer(t *testing.T) {
	peer := &config.Store{}
	load(t, peer, sample(2, 300))
	own := &config.Store{}
	load(t, own, sample(1, 300))
	serve := through(&Syncer{Store: peer})
	_, err := (&Syncer{Store: own}).Pull(context.Background(), "peer", func(ctx context.Context, ask Request) (Reply, error) {
		reply, err := serve(ctx, ask)
		for i := range reply.Buckets {
			reply.Buckets[i].Records.Profiles = nil
		}
		return reply, err
	})
	if err == nil || own.Version() != 1 {
		t.Fatalf("version %d, %v", own.Version(), err)
	}
	bad := sample(3, 10)
	bad.Profiles[0].Adapter = "none"
	snap := config.NewSnapshot(bad)
	_, err = (&Syncer{Store: own}).Pull(context.Background(), "peer", func(_ context.Context, ask Request) (Reply, error) {
		reply := Reply{Version: 3, Sum: snap.Sum, BucketSums: snap.BucketSums()}
		if len(ask.WantBuckets) > 0 {
			reply.Buckets = groups(snap, ask.WantBuckets)
		}
		return reply, nil
	})
	if !errors.Is(err, config.ErrInvalid) || own.Version() != 1 {
		t.Fatalf("version %d, %v", own.Version(), err)
	}
}
