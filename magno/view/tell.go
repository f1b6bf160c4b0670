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
func (b *Store) telling(changes []magno.Change) []magno.Change {
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
	return told
}

// bases returns for each change the item that it replaces, as it is known here or as an
// earlier one of the changes leaves it; its zero value where there is none. The caller
// holds mu.
func (b *Store) bases(changes []magno.Change) []magno.Change {
	bases := make([]magno.Change, len(changes))
	latest := map[string]*magno.Change{}
	for i := range changes {
		c := &changes[i]
		switch rec := b.items[c.Key]; {
		case latest[c.Key] != nil:
			bases[i] = *latest[c.Key]
		case rec != nil:
			bases[i] = rec.change
		}
		latest[c.Key] = c
	}
	return bases
}

// pack encodes the configurations among changes that others are to be told, each as its
// difference from its base. It needs no lock: it takes a small machine tens of
// milliseconds, for which requests would wait.
func (b *Store) pack(told, bases []magno.Change) {
	for i := range told {
		if c := &told[i]; c.Plan != nil {
			c.Packed = b.encode(delta.Diff(bases[i].Plan, bases[i].Revision, c.Plan))
		}
	}
}

func (b *Store) encode(d *delta.Delta) []byte {
	packed, err := d.Encode()
	if err != nil && b.Log != nil {
		b.Log.Error("configuration not encoded", "version", d.Rest.Version, "error", err)
	}
	return packed
}

// decode returns the configurations that news bring, nil for a change that brings none
// or is known here. Like pack it needs no lock.
func (b *Store) decode(changes []magno.Change) ([]*delta.Delta, error) {
	known := b.Current().Revision
	list := make([]*delta.Delta, len(changes))
	for i := range changes {
		c := &changes[i]
		if c.Packed == nil || c.Revision <= known {
			continue
		}
		d, err := delta.Decode(c.Packed)
		if err != nil {
			return nil, err
		}
		list[i] = d
	}
	return list, nil
}

// unpack returns changes with the decoded configurations, applied to those known here. It
// fails when one starts from another than this process has, or a change says nothing: its
// configuration couldn't be encoded. The caller holds mu.
func (b *Store) unpack(changes []magno.Change, decoded []*delta.Delta) ([]magno.Change, error) {
	changes = slices.Clone(changes)
	for i := range changes {
		c := &changes[i]
		if c.Revision <= b.now.Revision {
			continue
		}
		if d := decoded[i]; d != nil {
			base := b.bases(changes[:i+1])[i]
			plan, err := d.Apply(base.Plan, base.Revision)
			if err != nil {
				return nil, err
			}
			c.Plan, c.Packed = plan, nil
		}
		if c.Empty() {
			return nil, errors.Newf("%s says nothing at revision %d", c.Key, c.Revision)
		}
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

// ApplyUpdate takes news of a peer. News that begin after what this process knows, or that
// can't be decoded with it, are left and are an error; it then asks for all that it
// lacks, and so never knows a later change without the ones before.
func (b *Store) ApplyUpdate(n Update) error {
	decoded, err := b.decode(n.Changes)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	if !n.Full && n.Since > b.now.Revision {
		return errors.Wrapf(ErrGap, "after %d, known up to %d", n.Since, b.now.Revision)
	}
	changes, err := b.unpack(n.Changes, decoded)
	if err != nil {
		return err
	}
	n.Changes = changes
	b.takeNews(n, b.Clock.Now()-n.Age)
	return nil
}

// Since returns the news after a revision: the newest change of each key, or
// all that there is where this process doesn't know each deletion since then.
func (b *Store) Since(revision int64) Update {
	n := b.since(revision)
	for i := range n.Changes {
		if c := &n.Changes[i]; c.Plan != nil && c.Packed == nil {
			c.Packed = b.encode(delta.Full(c.Plan))
			b.keep(c)
		}
	}
	return n
}

// since is Since but for the encoding of a configuration that nobody asked for before.
func (b *Store) since(revision int64) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setup()
	n := Update{
		Since: revision, Revision: b.now.Revision, Age: b.Clock.Now() - b.confirmed,
		Full: b.blind.holds(revision), UnknownDeletions: b.blind,
	}
	if n.Full {
		revision = 0
	}
	for _, rec := range b.items {
		if n.Full && rec.change.Deleted {
			continue // what a whole list lacks is gone
		}
		if rec.change.Revision > revision {
			c := rec.change
			c.Packed = rec.packed
			n.Changes = append(n.Changes, c)
		}
	}
	return n
}

// keep notes an encoded configuration for the next process that asks.
func (b *Store) keep(c *magno.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rec := b.items[c.Key]; rec != nil && rec.change.Revision == c.Revision {
		rec.packed = c.Packed
	}
}
