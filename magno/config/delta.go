package config

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
)

// Errors of Store; whoever offers a version decides by them.
var (
	// ErrOld means that the version in force is as new.
	ErrOld = errors.New("not newer than the version in force")
	// ErrGap means that a delta starts from another version or content.
	ErrGap = errors.New("the delta starts from another version")
	// ErrInvalid means that the rules of package check refuse the version.
	ErrInvalid = errors.New("refused")
	// ErrChecksum means that records don't give the content that was announced.
	ErrChecksum = errors.New("the records don't give the announced sum")
)

// Gone names records that a change takes away.
type Removed = check.Removed

// Delta is the difference between two versions.
type Delta struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
	// Base is the sum of From, Sum of To.
	BaseSum uint64 `json:"base"`
	Sum     uint64 `json:"sum"`
	// Set holds new and changed records, and all rosters when one changed.
	Set     magno.Config  `json:"set"`
	Removed check.Removed `json:"gone"`

	// length is that of the JSON text, zero before Len.
	length int
}

// Len is the delta's length on the wire in bytes, its comma included. It is
// not safe for concurrent use before it was called once.
func (d *Delta) EncodedLen() int {
	if d.length == 0 {
		text, _ := json.Marshal(d) //nolint:errchkjson // plain data
		d.length = len(text) + 1
	}
	return d.length
}

// Size counts records.
func (d *Delta) RecordCount() int {
	return len(d.Set.Adapters) + len(d.Set.Profiles) + len(d.Set.Customers) + len(d.Set.Pools) + len(d.Set.Drained) +
		len(d.Removed.Adapters) + len(d.Removed.Profiles) + len(d.Removed.Customers) + len(d.Removed.Pools) + len(d.Removed.Drained)
}

// Diff returns what leads from old to next. Groups that both share cost
// nothing.
func Diff(old, next *Snapshot) *Delta {
	d := &Delta{From: old.Version, To: next.Version, BaseSum: old.Sum, Sum: next.Sum}
	for i := range old.buckets {
		if old.buckets[i] != next.buckets[i] {
			d.bucket(old.buckets[i], next.buckets[i])
		}
	}
	o, n := old.few, next.few
	compare(o.customers, n.customers, customerName, equalCustomer, func(b *magno.Customer) {
		d.Set.Customers = append(d.Set.Customers, *b)
	}, func(name string) { d.Removed.Customers = append(d.Removed.Customers, name) })
	compare(o.pools, n.pools, poolName, equal, func(p *magno.Pool) {
		d.Set.Pools = append(d.Set.Pools, *p)
	}, func(name string) { d.Removed.Pools = append(d.Removed.Pools, name) })
	compare(o.drained, n.drained, drainedName, equal, func(s *string) {
		d.Set.Drained = append(d.Set.Drained, *s)
	}, func(name string) { d.Removed.Drained = append(d.Removed.Drained, name) })
	if o.sum != n.sum && !reflect.DeepEqual(o.rosters, n.rosters) {
		d.Set.Rosters, d.Removed.Rosters = n.rosters, len(n.rosters) == 0
	}
	return d
}

func equal[T comparable](a, b *T) bool { return *a == *b }

func equalCustomer(a, b *magno.Customer) bool { return reflect.DeepEqual(a, b) }

func (d *Delta) bucket(old, next *bucket) {
	compare(old.adapters, next.adapters, adapterName, equal, func(r *adapterRec) {
		d.Set.Adapters = append(d.Set.Adapters, r.unpack())
	}, func(name string) { d.Removed.Adapters = append(d.Removed.Adapters, name) })
	compare(old.profiles, next.profiles, profileName, equal, func(r *profileRec) {
		d.Set.Profiles = append(d.Set.Profiles, r.unpack())
	}, func(name string) { d.Removed.Profiles = append(d.Removed.Profiles, name) })
}

// history keeps the last deltas, so that a peer a little behind need not
// compare sums.
type history struct {
	deltas []*Delta
	size   int
}

// Limits of the history; about half a megabyte. At 54,000 changes a day it
// reaches back some ten minutes.
const (
	historyDeltas  = 512
	historyRecords = 2048
)

func (h *history) add(d *Delta) {
	if n := len(h.deltas); d.RecordCount() > historyRecords || (n > 0 && h.deltas[n-1].To != d.From) {
		h.deltas, h.size = nil, 0
	}
	if d.RecordCount() > historyRecords {
		return
	}
	d.EncodedLen()
	h.deltas = append(h.deltas, d)
	h.size += d.RecordCount()
	for len(h.deltas) > historyDeltas || (h.size > historyRecords && len(h.deltas) > 0) {
		h.size -= h.deltas[0].RecordCount()
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

// since returns the deltas that lead on from a version, in order.
func (h *history) since(version int64, sum uint64) ([]*Delta, bool) {
	for i, d := range h.deltas {
		if d.From == version && d.BaseSum == sum {
			return h.deltas[i:], true
		}
	}
	return nil, false
}
