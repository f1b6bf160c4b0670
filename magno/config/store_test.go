package config

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
)

// sample returns a sound version with n adapters and profiles.
func sample(version int64, n int) *magno.Config {
	cfg := &magno.Config{
		Version:   version,
		Customers: []magno.Customer{{Name: "delta", Weight: 1}},
		Pools:     []magno.Pool{{Name: "read", Kind: magno.PoolEngine, Base: "llama"}},
	}
	for i := range n {
		name := fmt.Sprintf("a%d", i)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{"v1", "v2"}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: "v1"})
	}
	return cfg
}

func TestLookups(t *testing.T) {
	s := NewSnapshot(sample(1, 3000))
	p, ok := s.Profile("pa2999")
	if !ok || p.Adapter != "a2999" || s.Records != 6000 {
		t.Fatalf("got %+v, %d records", p, s.Records)
	}
	if !s.HasVersion(magno.Ref{Adapter: "a7", Version: "v2"}) || s.HasVersion(magno.Ref{Adapter: "a7", Version: "v"}) ||
		s.HasVersion(magno.Ref{Adapter: "a7"}) {
		t.Fatal("versions are mixed up")
	}
	if _, ok := s.Profile("none"); ok {
		t.Fatal("found what isn't there")
	}
}

// fill sets every field of a plain struct to something that isn't zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(3)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	default:
		panic("teach fill about " + v.Kind().String())
	}
}

// Someone adds a field to a record of the root package. Were it not packed,
// every process would drop it in silence, and operators' changes to it would
// do nothing.
func TestRecordsKeepEveryField(t *testing.T) {
	var a magno.Adapter
	var p magno.Profile
	fill(reflect.ValueOf(&a).Elem())
	fill(reflect.ValueOf(&p).Elem())
	cfg := &magno.Config{Version: 1, Adapters: []magno.Adapter{a}, Profiles: []magno.Profile{p}}
	s := NewSnapshot(cfg)
	if got, _ := s.Adapter("x"); !reflect.DeepEqual(got, a) {
		t.Fatalf("got %+v, want %+v", got, a)
	}
	if got, _ := s.Profile("x"); !reflect.DeepEqual(got, p) {
		t.Fatalf("got %+v, want %+v", got, p)
	}
	// Each field counts in the sum.
	for i := range reflect.TypeFor[magno.Profile]().NumField() {
		other := p
		reflect.ValueOf(&other).Elem().Field(i).SetZero()
		if next := NewSnapshot(&magno.Config{Profiles: []magno.Profile{other}, Adapters: cfg.Adapters}); next.Sum == s.Sum {
			t.Fatalf("field %d of a profile is not in the sum", i)
		}
	}
}

// draw makes a version with some of six adapters and their profiles, at
// times with a fault.
func draw(t *rapid.T, version int64) (cfg *magno.Config, sound bool) {
	cfg = sample(version, 0)
	cfg.Customers[0].Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
	for i := range 6 {
		if !rapid.Bool().Draw(t, "there") {
			continue
		}
		name := fmt.Sprintf("a%d", i)
		at := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{at}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: at})
	}
	// Rosters only gain, so that any later version may follow any earlier one.
	for i := range magno.Millis(version / 3) {
		cfg.Rosters = append(cfg.Rosters, magno.Roster{Since: i, Until: i + 1, Members: []string{"m"}})
	}
	if len(cfg.Profiles) > 0 && rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
		cfg.Profiles[0].Version = "gone"
		return cfg, false
	}
	return cfg, true
}

// Versions reach a process in any order: from a stale service, from peers
// ahead and behind, as deltas that fit or don't, sound or not. A user notices a
// failure here as requests that run on a retired version, or not at all.
func TestNeverBackNeverBad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := []*magno.Config{}
		sound := map[int64]bool{}
		for v := int64(1); v <= 8; v++ {
			cfg, ok := draw(t, v)
			published, sound[v] = append(published, cfg), ok
		}
		s := &Store{}
		var high int64
		for range 30 {
			from := published[rapid.IntRange(0, 7).Draw(t, "from")]
			to := published[rapid.IntRange(0, 7).Draw(t, "to")]
			d := Diff(NewSnapshot(from), NewSnapshot(to))
			var err error
			switch rapid.IntRange(0, 3).Draw(t, "way") {
			case 0:
				err = s.Load(to, nil, "whole")
			case 1:
				err = s.Install(NewSnapshot(to), nil, "snapshot")
			case 2:
				err = s.Apply(d, "delta")
			case 3:
				d.Sum++
				if err = s.Apply(d, "damaged"); err == nil {
					t.Fatal("a damaged delta was applied")
				}
			}
			now := s.Current()
			if now == nil {
				continue
			}
			if now.Version < high || !sound[now.Version] || (err == nil && now.Version != to.Version) {
				t.Fatalf("version %d after %d, sound %v, err %v", now.Version, high, sound[now.Version], err)
			}
			high = now.Version
			want := NewSnapshot(published[now.Version-1])
			if now.Sum != want.Sum || now.Records != want.Records || Diff(now, want).RecordCount() != 0 {
				t.Fatalf("version %d has other content than was published", now.Version)
			}
		}
	})
}

// A peer two versions behind asks for what it lacks; the deltas must lead it
// to the same content, and a peer with other content under the same number must
// not get them.
func TestDeltasLeadOn(t *testing.T) {
	s, behind := &Store{}, &Store{}
	for v := int64(1); v <= 5; v++ {
		cfg := sample(v, int(10*v))
		if err := s.Load(cfg, nil, "test"); err != nil {
			t.Fatal(err)
		}
		if v == 3 {
			if err := behind.Load(cfg, nil, "test"); err != nil {
				t.Fatal(err)
			}
		}
	}
	deltas, ok := s.DeltasSince(3, behind.Current().Sum)
	if !ok || len(deltas) != 2 {
		t.Fatalf("%d deltas", len(deltas))
	}
	for _, d := range deltas {
		if err := behind.Apply(d, "peer"); err != nil {
			t.Fatal(err)
		}
	}
	if behind.Current().Sum != s.Current().Sum {
		t.Fatal("other content")
	}
	if _, ok := s.DeltasSince(3, 1); ok {
		t.Fatal("deltas were given to a peer with other content")
	}
}

// A slow subscriber must get the newest version, never hold up the store, and
// never see an older one after a newer.
func TestSubscribersGetTheNewest(t *testing.T) {
	s := &Store{}
	sub := s.Subscribe()
	for v := int64(1); v <= 3; v++ {
		if err := s.Load(sample(v, 1), nil, "test"); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-sub; got.Version != 3 {
		t.Fatalf("got %d", got.Version)
	}
}

// A bad version stays visible to operators until a newer one comes.
func TestRefusedIsShown(t *testing.T) {
	s := &Store{Check: &check.Checker{}}
	_ = s.Load(sample(1, 2), nil, "test")
	bad := sample(2, 2)
	bad.Profiles[1].Adapter = "none"
	if err := s.Load(bad, nil, "reader"); err == nil {
		t.Fatal("taken")
	}
	st := s.Status()
	if st.Version != 1 || st.Refused == nil || st.Refused.Version != 2 || st.Refused.Source != "reader" {
		t.Fatalf("got %+v", st)
	}
	if err := s.Load(sample(1, 3), nil, "test"); !errors.Is(err, ErrOld) {
		t.Fatalf("got %v", err)
	}
	if err := s.Load(sample(3, 2), nil, "test"); err != nil || s.Status().Refused != nil {
		t.Fatalf("err %v, status %+v", err, s.Status())
	}
}
