package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"magnoliastall.example/magno"
)

// change describes one effect of publishing a configuration.
type change struct {
	What string `json:"what"`
	Name string `json:"name"`
	// Effect describes the consequence for the fleet.
	Effect string `json:"effect"`
}

// runDiff lists the effects of replacing one configuration by another.
func runDiff(_ context.Context, args []string, out io.Writer) int {
	f := newFlags("diff", "diff [flags] OLD NEW")
	rest, code, ok := f.parse(args, 2, 2)
	if !ok {
		return code
	}
	old, faults, err := readConfig(rest[0], nil)
	if err != nil || len(faults) > 0 {
		return reportInvalid(f, out, err, faults)
	}
	next, faults, err := readConfig(rest[1], old.Rosters)
	if err != nil || len(faults) > 0 {
		return reportInvalid(f, out, err, faults)
	}
	changes := compare(old, next)
	if *f.json {
		printJSON(out, changes)
		return exitOK
	}
	for _, c := range changes {
		_, _ = fmt.Fprintf(out, "%-18s %-20s %s\n", c.What, c.Name, c.Effect)
	}
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(out, "nothing changes")
	}
	return exitOK
}

// compare lists the changes between two configurations in a fixed order.
func compare(old, next *magno.Config) []change {
	changes := []change{}
	if next.Version <= old.Version {
		changes = append(changes, change{"version", fmt.Sprint(next.Version),
			fmt.Sprintf("is not above %d: no process will put it in force", old.Version)})
	}
	changes = append(changes, diffRecords(old.Adapters, next.Adapters, func(a magno.Adapter) string { return a.Name }, adapterEffect)...)
	changes = append(changes, diffRecords(old.Profiles, next.Profiles, func(p magno.Profile) string { return p.Name }, profileEffect)...)
	changes = append(changes, diffRecords(old.Customers, next.Customers, func(b magno.Customer) string { return b.Name }, customerEffect)...)
	changes = append(changes, diffRecords(old.Pools, next.Pools, func(p magno.Pool) string { return p.Name }, poolEffect)...)
	changes = append(changes, diffRecords(old.Drained, next.Drained, func(d string) string { return d }, drainEffect)...)
	changes = append(changes, diffRecords(old.Rosters, next.Rosters, func(r magno.Roster) string { return fmt.Sprint(int64(r.Since)) }, rosterEffect)...)
	return changes
}

// diffRecords compares two lists of records by name. effect gets nil for a record
// that is missing from one of them.
func diffRecords[T any](old, next []T, name func(T) string, effect func(before, after *T) change) []change {
	before, after := map[string]*T{}, map[string]*T{}
	names := map[string]bool{}
	for i := range old {
		before[name(old[i])] = &old[i]
		names[name(old[i])] = true
	}
	for i := range next {
		after[name(next[i])] = &next[i]
		names[name(next[i])] = true
	}
	sorted := make([]string, 0, len(names))
	for n := range names {
		sorted = append(sorted, n)
	}
	sort.Strings(sorted)
	var changes []change
	for _, n := range sorted {
		b, a := before[n], after[n]
		if b != nil && a != nil && encodeJSON(b) == encodeJSON(a) {
			continue
		}
		c := effect(b, a)
		c.Name = n
		changes = append(changes, c)
	}
	return changes
}

// action names what happens to a record.
func action[T any](kind string, before, after *T) string {
	switch {
	case before == nil:
		return "add " + kind
	case after == nil:
		return "remove " + kind
	}
	return "change " + kind
}

func adapterEffect(before, after *magno.Adapter) change {
	c := change{What: action("adapter", before, after)}
	switch {
	case before == nil:
		c.Effect = "is loaded on an upstream when a request first needs it"
	case after == nil:
		c.Effect = "its slots are given to others as soon as nothing uses it"
	default:
		c.Effect = fmt.Sprintf("versions %v, retired %v: requests for a retired version are refused", after.Versions, after.Retired)
	}
	return c
}

func profileEffect(before, after *magno.Profile) change {
	c := change{What: action("profile", before, after)}
	switch {
	case before == nil:
		c.Effect = fmt.Sprintf("requests run on %s@%s in pool %s", after.Adapter, after.Version, after.Pool)
	case after == nil:
		c.Effect = "its requests are refused with kind profile; retire it to refuse them with kind retired"
	case after.Retired && !before.Retired:
		c.Effect = "its requests are refused with kind retired"
	case after.Adapter != before.Adapter || after.Version != before.Version:
		c.Effect = fmt.Sprintf("load %s@%s; requests under way end on %s@%s",
			after.Adapter, after.Version, before.Adapter, before.Version)
	default:
		c.Effect = "its terms change for new requests"
	}
	return c
}

func customerEffect(before, after *magno.Customer) change {
	c := change{What: action("customer", before, after), Effect: "shares of engine time change at once"}
	if before == nil || after == nil {
		return c
	}
	var effects []string
	if before.Weight != after.Weight {
		effects = append(effects, fmt.Sprintf("weight %v becomes %v", before.Weight, after.Weight))
	}
	if n := countMissing(after.Keys, before.Keys); n > 0 {
		effects = append(effects, fmt.Sprintf("%d new keys are accepted", n))
	}
	if n := countMissing(before.Keys, after.Keys); n > 0 {
		effects = append(effects, fmt.Sprintf("%d keys are refused with kind credential", n))
	}
	if encodeJSON(before.Limit) != encodeJSON(after.Limit) {
		effects = append(effects, fmt.Sprintf("limit %s becomes %s", encodeJSON(before.Limit), encodeJSON(after.Limit)))
	}
	c.Effect = strings.Join(effects, "; ")
	return c
}

// countMissing counts the keys of one list that the other does not have.
func countMissing(from, in []magno.Digest) (n int) {
	for _, d := range from {
		if !slices.Contains(in, d) {
			n++
		}
	}
	return n
}

func poolEffect(before, after *magno.Pool) change {
	return change{What: action("pool", before, after), Effect: "load turns follow the new allowance"}
}

func drainEffect(before, _ *string) change {
	if before == nil {
		return change{What: "drain", Effect: "takes no new work within seconds; what runs is finished"}
	}
	return change{What: "return", Effect: "takes work again within seconds"}
}

func rosterEffect(before, after *magno.Roster) change {
	c := change{What: action("roster", before, after)}
	if after != nil {
		c.Effect = fmt.Sprintf("keys from %d until %d are witnessed by %d instances", after.Since, after.Until, len(after.Members))
	}
	return c
}
