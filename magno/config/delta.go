package config

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
)

// Errors of Store. Callers decide by them how to proceed.
var (
	// ErrOld means that the active version is at least as new.
	ErrOld = errors.New("not newer than the active version")
	// ErrGap means that a delta starts from another version or content.
	ErrGap = errors.New("the delta is based on another version")
	// ErrInvalid means that a version failed the validation of package check.
	ErrInvalid = errors.New("configuration rejected")
	// ErrChecksum means that the records don't have the announced checksum.
	ErrChecksum = errors.New("the records don't have the announced checksum")
)

// Removed lists the records that a change removes.
type Removed = check.Removed

// Delta is the difference between two versions.
type Delta struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
	// BaseSum is the checksum of version From, Sum that of version To.
	BaseSum uint64 `json:"base"`
	Sum     uint64 `json:"sum"`
	// Set holds new and changed records, and the whole list of rosters if one of them
	// changed.
	Set     magno.Config  `json:"set"`
	Removed check.Removed `json:"gone"`

	// encodedLen is the length of the JSON text, zero before the first call of
	// EncodedLen.
	encodedLen int
}

// EncodedLen returns the length of the delta as JSON in bytes, with a separating comma.
// The first call is not safe for concurrent use.
func (d *Delta) EncodedLen() int {
	if d.encodedLen == 0 {
		text, _ := json.Marshal(d) //nolint:errchkjson // plain data
		d.encodedLen = len(text) + 1
	}
	return d.encodedLen
}

// RecordCount returns the number of changed and removed records, not counting rosters.
func (d *Delta) RecordCount() int {
	return len(d.Set.Adapters) + len(d.Set.Profiles) + len(d.Set.Customers) + len(d.Set.Pools) + len(d.Set.Drained) +
		len(d.Removed.Adapters) + len(d.Removed.Profiles) + len(d.Removed.Customers) + len(d.Removed.Pools) + len(d.Removed.Drained)
}

// Diff returns the delta from old to next. Buckets shared by both are skipped.
func Diff(old, next *Snapshot) *Delta {
	d := &Delta{From: old.Version, To: next.Version, BaseSum: old.Sum, Sum: next.Sum}
	for i := range old.buckets {
		if old.buckets[i] != next.buckets[i] {
			d.diffBucket(old.buckets[i], next.buckets[i])
		}
	}
	o, n := old.lists, next.lists
	diffSorted(o.customers, n.customers, customerName, equalCustomer, func(b *magno.Customer) {
		d.Set.Customers = append(d.Set.Customers, *b)
	}, func(name string) { d.Removed.Customers = append(d.Removed.Customers, name) })
	diffSorted(o.pools, n.pools, poolName, equal, func(p *magno.Pool) {
		d.Set.Pools = append(d.Set.Pools, *p)
	}, func(name string) { d.Removed.Pools = append(d.Removed.Pools, name) })
	diffSorted(o.drained, n.drained, drainedName, equal, func(s *string) {
		d.Set.Drained = append(d.Set.Drained, *s)
	}, func(name string) { d.Removed.Drained = append(d.Removed.Drained, name) })
	if o.sum != n.sum && !reflect.DeepEqual(o.rosters, n.rosters) {
		d.Set.Rosters, d.Removed.Rosters = n.rosters, len(n.rosters) == 0
	}
	return d
}

func equal[T comparable](a, b *T) bool { return *a == *b }

func equalCustomer(a, b *magno.Customer) bool { return reflect.DeepEqual(a, b) }

func (d *Delta) diffBucket(old, next *bucket) {
	diffSorted(old.adapters, next.adapters, adapterName, equal, func(r *packedAdapter) {
		d.Set.Adapters = append(d.Set.Adapters, r.unpack())
	}, func(name string) { d.Removed.Adapters = append(d.Removed.Adapters, name) })
	diffSorted(old.profiles, next.profiles, profileName, equal, func(r *packedProfile) {
		d.Set.Profiles = append(d.Set.Profiles, r.unpack())
	}, func(name string) { d.Removed.Profiles = append(d.Removed.Profiles, name) })
}

// history keeps recent deltas, so that a peer that is slightly behind need not compare
// the sums of all buckets.
type history struct {
	deltas  []*Delta
	records int
}

// Limits of the history, about half a megabyte. At 54,000 changes a day it reaches back
// about ten minutes.
const (
	maxHistoryDeltas  = 512
	maxHistoryRecords = 2048
)

func (h *history) add(d *Delta) {
	if n := len(h.deltas); d.RecordCount() > maxHistoryRecords || (n > 0 && h.deltas[n-1].To != d.From) {
		h.deltas, h.records = nil, 0
	}
	if d.RecordCount() > maxHistoryRecords {
		return
	}
	d.EncodedLen()
	h.deltas = append(h.deltas, d)
	h.records += d.RecordCount()
	for len(h.deltas) > maxHistoryDeltas || (h.records > maxHistoryRecords && len(h.deltas) > 0) {
		h.records -= h.deltas[0].RecordCount()
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

// since returns the deltas that follow a version, in order.
func (h *history) since(version int64, sum uint64) ([]*Delta, bool) {
	for i, d := range h.deltas {
		if d.From == version && d.BaseSum == sum {
			return h.deltas[i:], true
		}
	}
	return nil, false
}
