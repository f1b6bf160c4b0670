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

// testConfig returns a valid version with n adapters and profiles.
func testConfig(version int64, n int) *magno.Config {
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
	s := NewSnapshot(testConfig(1, 3000))
	p, ok := s.Profile("pa2999")
	if !ok || p.Adapter != "a2999" || s.Records != 6000 {
		t.Fatalf("got %+v, %d records", p, s.Records)
	}
	if !s.HasVersion(magno.Ref{Adapter: "a7", Version: "v2"}) || s.HasVersion(magno.Ref{Adapter: "a7", Version: "v"}) ||
		s.HasVersion(magno.Ref{Adapter: "a7"}) {
		t.Fatal("HasVersion is wrong for a version or a prefix of one")
	}
	if _, ok := s.Profile("none"); ok {
		t.Fatal("found a profile that doesn't exist")
	}
}

// fill sets every field of a plain struct to a non-zero value.
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
		panic("fill doesn't support " + v.Kind().String())
	}
}

// Guards against a new field of a record in the root package that isn't packed: every
// process would drop it silently, and changes of it would have no effect.
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
	// Each field is part of the checksum.
	for i := range reflect.TypeFor[magno.Profile]().NumField() {
		other := p
		reflect.ValueOf(&other).Elem().Field(i).SetZero()
		if next := NewSnapshot(&magno.Config{Profiles: []magno.Profile{other}, Adapters: cfg.Adapters}); next.Sum == s.Sum {
			t.Fatalf("field %d of a profile is not part of the checksum", i)
		}
	}
}

// drawConfig generates a version with some of six adapters and their profiles, sometimes
// an invalid one.
func drawConfig(t *rapid.T, version int64) (cfg *magno.Config, valid bool) {
	cfg = testConfig(version, 0)
	cfg.Customers[0].Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
	for i := range 6 {
		if !rapid.Bool().Draw(t, "there") {
			continue
		}
		name := fmt.Sprintf("a%d", i)
		adapterVersion := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{adapterVersion}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: adapterVersion})
	}
	// Rosters are only added, so that any later version may follow any earlier one.
	for i := range magno.Millis(version / 3) {
		cfg.Rosters = append(cfg.Rosters, magno.Roster{Since: i, Until: i + 1, Members: []string{"m"}})
	}
	if len(cfg.Profiles) > 0 && rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
		cfg.Profiles[0].Version = "gone"
		return cfg, false
	}
	return cfg, true
}

// Versions reach a process in any order: from a stale service, from peers that are ahead
// or behind, and as deltas that match or not, valid or not. If this fails, requests run
// on a retired version or not at all.
func TestVersionNeverDecreasesNorIsInvalid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := []*magno.Config{}
		valid := map[int64]bool{}
		for v := int64(1); v <= 8; v++ {
			cfg, ok := drawConfig(t, v)
			published, valid[v] = append(published, cfg), ok
		}
		s := &Store{}
		var highest int64
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
			current := s.Current()
			if current == nil {
				continue
			}
			if current.Version < highest || !valid[current.Version] || (err == nil && current.Version != to.Version) {
				t.Fatalf("version %d after %d, valid %v, err %v", current.Version, highest, valid[current.Version], err)
			}
			highest = current.Version
			want := NewSnapshot(published[current.Version-1])
			if current.Sum != want.Sum || current.Records != want.Records || Diff(current, want).RecordCount() != 0 {
				t.Fatalf("version %d has other content than published", current.Version)
			}
		}
	})
}

// A peer two versions behind requests deltas, which must lead it to the same content. A
// peer with other content under the same number must not get them.
func TestDeltasReachTheCurrentVersion(t *testing.T) {
	s, behind := &Store{}, &Store{}
	for v := int64(1); v <= 5; v++ {
		cfg := testConfig(v, int(10*v))
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
		t.Fatal("a peer with other content got deltas")
	}
}

// A slow subscriber must get the newest version, must not block the store, and must never
// get an older version after a newer one.
func TestSubscribersGetTheNewest(t *testing.T) {
	s := &Store{}
	sub := s.Subscribe()
	for v := int64(1); v <= 3; v++ {
		if err := s.Load(testConfig(v, 1), nil, "test"); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-sub; got.Version != 3 {
		t.Fatalf("got %d", got.Version)
	}
}

// A rejected version must stay visible to operators until a newer one is activated.
func TestRejectionIsReported(t *testing.T) {
	s := &Store{Check: &check.Checker{}}
	_ = s.Load(testConfig(1, 2), nil, "test")
	bad := testConfig(2, 2)
	bad.Profiles[1].Adapter = "none"
	if err := s.Load(bad, nil, "reader"); err == nil {
		t.Fatal("an invalid version was accepted")
	}
	st := s.Status()
	if st.Version != 1 || st.Refused == nil || st.Refused.Version != 2 || st.Refused.Source != "reader" {
		t.Fatalf("got %+v", st)
	}
	if err := s.Load(testConfig(1, 3), nil, "test"); !errors.Is(err, ErrOld) {
		t.Fatalf("got %v", err)
	}
	if err := s.Load(testConfig(3, 2), nil, "test"); err != nil || s.Status().Refused != nil {
		t.Fatalf("err %v, status %+v", err, s.Status())
	}
}
