package check

import (
	"fmt"
	"strings"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

const baseShard = `{
  // Customers of the group.
  "customers": [{"name": "delta", "weight": 2}],
  "pools": [
    {"name": "read", "kind": "engine", "base": "llama"},
    {"name": "mail", "kind": "plain"}
  ]
}`

const workShard = `{
  "adapters": [
    {"name": "a", "base": "llama",
     "versions": ["v2"], "retired": ["v1"]},
  ],
  "profiles": [
    {"name": "p", "customer": "delta", "pool": "read",
     "adapter": "a", "version": "v2"},
    {"name": "q", "customer": "delta", "pool": "mail"}
  ],
  "rosters": [{"since": 0, "until": 9, "members": ["x", "y"]}]
}`

func shards(edit ...string) []Shard {
	text := workShard
	for i := 0; i+1 < len(edit); i += 2 {
		if !strings.Contains(text, edit[i]) {
			panic("no such text: " + edit[i])
		}
		text = strings.Replace(text, edit[i], edit[i+1], 1)
	}
	return []Shard{{"base", []byte(baseShard)}, {"work", []byte(text)}}
}

func validate(c *Checker, s []Shard) []*setup.Error {
	cfg, faults := c.Join(1, s)
	if len(faults) > 0 {
		return faults
	}
	return c.Validate(cfg, s, nil)
}

// Guards against activating an invalid version, with which requests fail or run on the
// wrong adapter. The operator needs shard, line and key of the fault to correct it.
func TestFaultsArePlaced(t *testing.T) {
	if faults := validate(&Checker{}, shards()); len(faults) > 0 {
		t.Fatal(faults[0])
	}
	tests := []struct {
		name, old, new string
		line           int
		key            string
	}{
		{"unknown key", `"versions"`, `"verzions"`, 4, "verzions"},
		{"broken text", `"q", "customer"`, `"q" "customer"`, 9, ""},
		{"version in a shard", `"adapters"`, `"version": 3, "adapters"`, 2, "version"},
		{"name twice", `"name": "q"`, `"name": "p"`, 9, "profiles[p].name"},
		{"no adapter", `"adapter": "a"`, `"adapter": "b"`, 8, "profiles[p].adapter"},
		{"retired version", `"version": "v2"}`, `"version": "v1"}`, 8, "profiles[p].version"},
		{"unknown version", `"version": "v2"}`, `"version": "v9"}`, 8, "profiles[p].version"},
		{"no customer", `"delta", "pool": "mail"`, `"other", "pool": "mail"`, 9, "profiles[q].customer"},
		{"adapter on a plain pool", `"pool": "mail"`, `"pool": "mail", "adapter": "a"`, 9, "profiles[q].adapter"},
		{"other base model", `"base": "llama"`, `"base": "qwen"`, 8, "profiles[p].adapter"},
		{"retired and not", `["v1"]`, `["v2"]`, 4, "adapters[a].retired"},
		{"urgency", `"q",`, `"q", "urgency": 10,`, 9, "profiles[q].urgency"},
		{"name with @", `"name": "q"`, `"name": "q@1"`, 9, "profiles[q@1].name"},
		{"roster twice", `["x", "y"]`, `["x", "x"]`, 11, "rosters"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faults := validate(&Checker{}, shards(tt.old, tt.new))
			if len(faults) == 0 {
				t.Fatal("no fault found")
			}
			f := faults[0]
			if f.File != "work" || f.Line != tt.line || f.Key != tt.key {
				t.Fatalf("got %v", f)
			}
		})
	}
}

// A change removes an adapter, or retires a version of it, that a profile in another
// shard still refers to. Only changed records are validated, so the reference must be
// found from the removed record.
func TestValidateChangeFindsDanglingProfiles(t *testing.T) {
	c := &Checker{}
	cfg, _ := c.Join(1, shards())
	without := *cfg
	without.Adapters = nil
	faults := c.ValidateChange(&magno.Config{}, Removed{Adapters: []string{"a"}}, newConfigView(&without), newConfigView(cfg), nil)
	if len(faults) != 1 || faults[0].Key != "profiles[p].adapter" {
		t.Fatalf("got %v", faults)
	}
	retired := *cfg
	retired.Adapters = []magno.Adapter{{Name: "a", Base: "llama", Versions: []string{"v3"}, Retired: []string{"v2"}}}
	set := &magno.Config{Adapters: retired.Adapters}
	if faults = c.ValidateChange(set, Removed{}, newConfigView(&retired), newConfigView(cfg), nil); len(faults) != 1 {
		t.Fatalf("got %v", faults)
	}
	if faults = c.ValidateChange(&magno.Config{Adapters: cfg.Adapters}, Removed{}, newConfigView(cfg), newConfigView(cfg), nil); len(faults) != 0 {
		t.Fatalf("got %v", faults)
	}
}

// A new version assigns other witnesses to keys that were already issued: keys might be
// granted twice and receipts counted twice. It must be rejected, both as a full version
// and as a change.
func TestIssuedKeysKeepTheirWitnesses(t *testing.T) {
	c := &Checker{}
	old := []magno.Roster{{Since: 0, Until: 9, Members: []string{"x", "z"}}}
	cfg, _ := c.Join(1, shards())
	if faults := c.Validate(cfg, shards(), cfg.Rosters); len(faults) != 0 {
		t.Fatal(faults[0])
	}
	before := newConfigView(&magno.Config{Rosters: old})
	faults := c.Validate(cfg, shards(), old)
	if len(faults) != 1 || faults[0].Key != "rosters" || faults[0].Line != 11 {
		t.Fatalf("got %v", faults)
	}
	if faults = c.ValidateChange(&magno.Config{Rosters: cfg.Rosters}, Removed{}, newConfigView(cfg), before, nil); len(faults) != 1 {
		t.Fatalf("got %v", faults)
	}
	if faults = c.ValidateChange(&magno.Config{}, Removed{Rosters: true}, newConfigView(cfg), before, nil); len(faults) != 1 {
		t.Fatalf("got %v", faults)
	}
	c.RosterCutoff = func() magno.Millis { return 9 }
	if faults = c.Validate(cfg, shards(), old); len(faults) != 0 {
		t.Fatal(faults[0])
	}
}

func TestSizes(t *testing.T) {
	big := Shard{"big", []byte(strings.Repeat(" ", MaxShardBytes+1))}
	if _, fault := (&Checker{}).Parse(big); fault == nil {
		t.Fatal("an oversized shard was parsed")
	}
	cfg := &magno.Config{Version: 1}
	for i := range 100 {
		cfg.Customers = append(cfg.Customers, magno.Customer{Name: fmt.Sprint(i)})
	}
	if faults := (&Checker{}).Validate(cfg, nil, nil); len(faults) != MaxFaults {
		t.Fatalf("%d faults", len(faults))
	}
}

// FuzzParse searches for shard texts that crash the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseShard))
	f.Add([]byte(workShard))
	f.Add([]byte(`{"profiles": [{"name": 3}]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		c := &Checker{}
		s := []Shard{{"fuzz", text}}
		if cfg, faults := c.Join(1, s); len(faults) == 0 {
			c.Validate(cfg, s, nil)
		}
	})
}
