package view

import (
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/delta"
)

// ErrGap tells that news begin after what this process knows.
var ErrGap = errors.New("the changes before these are unknown here")

// telling leaves out of the list's changes what repeats, and what a later one of them
// replaces. Of 10,000 upstreams that load an adapter every few seconds, the entries
// alone would be 150 KB/s to each process; and of a storm of configurations each would
// go to each process, where only the last is of use.
func (b *Book) telling(changes []magno.Change) []magno.Change {
	last := map[string]int{}
	changed := map[string]bool{}
	for i := range changes {
		c := &changes[i]
		if c.Fault == "" {
			last[c.Key] = i
		}
		if !repeats(b.items[c.Key], c) {
			changed[c.Key] = true
		}
	}
	var told []magno.Change
	for i := range changes {
		c := &changes[i]
		if at, ok := last[c.Key]; !changed[c.Key] || (ok && i < at && replaces(&changes[at], c)) {
			continue
		}
		told = append(told, *c)
	}
	b.pack(told)
	return told
}

// pack encodes the configurations among changes that others are to be told, each as
// its difference from the one before.
func (b *Book) pack(told []magno.Change) {
	bases := map[string]*magno.Change{}
	for i := range told {
		c := &told[i]
		if c.Plan == nil {
			continue
		}
		base := bases[c.Key]
		if rec := b.items[c.Key]; base == nil && rec != nil {
			base = &rec.change
		}
		d := delta.Whole(c.Plan)
		if base != nil {
			d = delta.Diff(base.Plan, base.Revision, c.Plan)
		}
		c.Packed = b.encode(d)
		bases[c.Key] = c
	}
}

func (b *Book) encode(d *delta.Delta) []byte {
	packed, err := d.Encode()
	if err != nil {
		b.failed("configuration not encoded", d.Rest.Version, err)
	}
	return packed
}

func (b *Book) failed(what string, version int64, err error) {
	if b.Log != nil {
		b.Log.Error(what, "version", version, "rev", b.now.Revision, "error", err)
	}
}

// unpack decodes the configurations that news bring, from those known here. It fails
// when one starts from another than this process has.
func (b *Book) unpack(changes []magno.Change) ([]magno.Change, error) {
	bases := map[string]*magno.Change{}
	changes = slices.Clone(changes)
	for i := range changes {
		c := &changes[i]
		if c.Packed == nil || c.Revision <= b.now.Revision {
			continue
		}
		base := bases[c.Key]
		if rec := b.items[c.Key]; base == nil && rec != nil {
			base = &rec.change
		}
		if base == nil {
			base = &magno.Change{}
		}
		d, err := delta.Decode(c.Packed)
		if err != nil {
			return nil, err
		}
		if c.Plan, err = d.Apply(base.Plan, base.Revision); err != nil {
			return nil, err
		}
		c.Packed, bases[c.Key] = nil, c
	}
	return changes, nil
}

// replaces tells whether a later change of the same key leaves nothing of c. One
// that is faulty doesn't, nor does an older configuration.
func replaces(later, c *magno.Change) bool {
	if later.Plan != nil && c.Plan != nil {
		return later.Plan.Version >= c.Plan.Version
	}
	return later.Fault == ""
}

// repeats tells whether a change says what all who know the list up to Revision
// know already.
func repeats(old *record, c *magno.Change) bool {
	if old == nil {
		return false
	}
	was := old.change
	was.Revision = c.Revision
	return reflect.DeepEqual(was, *c)
}

// Heard takes news of a peer. News that begin after what this process knows, or that
// can't be decoded with it, are left and are an error; it then asks for all that it
// lacks, and so never knows a later change without the ones before.
func (b *Book) Heard(n News) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	if !n.All && n.Since > b.now.Revision {
		return errors.Wrapf(ErrGap, "after %d, known up to %d", n.Since, b.now.Revision)
	}
	changes, err := b.unpack(n.Changes)
	if err != nil {
		return err
	}
	n.Changes = changes
	b.takeNews(n, b.Clock.Now()-n.Age)
	return nil
}

// Since returns the news after a revision: the newest change of each key, or
// all that there is where this process doesn't know each deletion since then.
func (b *Book) Since(revision int64) News {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	n := News{
		Since: revision, Revision: b.now.Revision, Age: b.Clock.Now() - b.confirmed,
		All: b.blind.holds(revision), Blind: b.blind,
	}
	if n.All {
		revision = 0
	}
	for _, rec := range b.items {
		if n.All && rec.change.Deleted {
			continue // what a whole list lacks is gone
		}
		if rec.change.Revision > revision {
			n.Changes = append(n.Changes, b.whole(rec))
		}
	}
	return n
}

// whole is an item as a process is told of it that may know nothing of it yet.
func (b *Book) whole(rec *record) magno.Change {
	c := rec.change
	if c.Plan == nil {
		return c
	}
	if rec.packed == nil {
		rec.packed = b.encode(delta.Whole(c.Plan))
	}
	c.Packed = rec.packed
	return c
}
