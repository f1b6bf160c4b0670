package gossip

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// numBuckets is how many checksums describe a table in each scope. A data centre
// of 118 members has about two in a bucket, so that the repair of one takes a
// few hundred bytes.
const numBuckets = 64

// scope is the set of processes that need a record.
type scope int

// The scopes. Live, suspect and dead members concern their own data centre only;
// leaving members and marks concern all. If every restart were sent to all 2,600
// processes, that of a whole region would use up every budget for minutes.
const (
	scopeLocal scope = iota
	scopeGlobal
	numScopes
)

// entry is a record with the local state of its dissemination.
type entry struct {
	record Record
	scope  scope
	// sum is zero for a member that is only known from the platform's list.
	sum  uint32
	size int
	// localSends is how many more times the record is sent within the data
	// centre, remoteSends to others.
	localSends, remoteSends int
	// changedAt is when this process got the present content.
	changedAt magno.Millis
	// expiresAt is when the record is dropped, zero for never.
	expiresAt magno.Millis
	// spent is true for a mark that has expired and is neither sent nor compared.
	spent bool
}

// table holds the records, their checksums and the queue of records to send.
type table struct {
	entries map[string]*entry
	// keys lists the keys of each bucket.
	keys [numScopes][numBuckets][]string
	sums [numScopes][numBuckets]uint32
	// queue has the entries with sends left.
	queue map[string]*entry
	// marks counts the marks, spentMarks those of them that have expired.
	marks, spentMarks int
}

func newTable() *table {
	return &table{entries: map[string]*entry{}, queue: map[string]*entry{}}
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % numBuckets) }

// put stores and queues r if it supersedes the known record, and reports
// whether it did.
func (t *table) put(r Record, now magno.Millis, localSends, remoteSends int) bool {
	key := r.key()
	old := t.entries[key]
	if old != nil && !r.supersedes(&old.record) {
		return false
	}
	if old == nil && r.Mark != nil && t.marks >= maxMarks {
		return false
	}
	e := &entry{record: r, size: r.size(), changedAt: now, localSends: localSends}
	if r.Mark != nil || r.Member.Global {
		e.scope, e.remoteSends = scopeGlobal, remoteSends
	}
	if r.Mark != nil {
		e.expiresAt = now + r.Mark.TTL
	} else if r.Member.TTL > 0 {
		e.expiresAt = now + r.Member.TTL
	}
	// Members that are only known from the platform's list are neither sent nor
	// compared.
	if r.Mark != nil || r.Member.Incarnation > 0 {
		e.sum = r.sum()
	}
	t.drop(key)
	g := bucketOf(key)
	t.entries[key] = e
	t.keys[e.scope][g] = append(t.keys[e.scope][g], key)
	t.sums[e.scope][g] += e.sum
	if r.Mark != nil {
		t.marks++
	}
	if e.localSends > 0 {
		t.queue[key] = e
	}
	return true
}

// drop removes a record.
func (t *table) drop(key string) {
	e := t.entries[key]
	if e == nil {
		return
	}
	t.unlink(key, e)
	delete(t.entries, key)
	if e.record.Mark != nil {
		t.marks--
	}
	if e.spent {
		t.spentMarks--
	}
}

// spend takes a mark that has expired out of what is sent and compared. Its place stays taken.
func (t *table) spend(key string) {
	e := t.entries[key]
	if e.spent {
		return
	}
	t.unlink(key, e)
	e.spent = true
	t.spentMarks++
}

// unlink removes a record from the checksums and from the queue.
func (t *table) unlink(key string, e *entry) {
	if e.spent {
		return
	}
	g := bucketOf(key)
	t.sums[e.scope][g] -= e.sum
	t.keys[e.scope][g] = slices.DeleteFunc(t.keys[e.scope][g], func(k string) bool { return k == key })
	delete(t.queue, key)
}

// sum is the checksum over the records of a scope.
func (t *table) sum(s scope) uint64 { return xxhash.Sum64(t.encodeSums(s)) }

// encodeSums returns the checksums of all buckets, four bytes each.
func (t *table) encodeSums(s scope) []byte {
	out := make([]byte, 0, 4*numBuckets)
	for _, sum := range t.sums[s] {
		out = binary.LittleEndian.AppendUint32(out, sum)
	}
	return out
}

// mismatched returns the buckets whose checksums differ from those encoded.
func (t *table) mismatched(s scope, encoded []byte) []int {
	var out []int
	if len(encoded) != 4*numBuckets {
		return nil
	}
	for g := range numBuckets {
		if binary.LittleEndian.Uint32(encoded[4*g:]) != t.sums[s][g] {
			out = append(out, g)
		}
	}
	return out
}

// dequeue returns queued records that fit in room bytes and counts them as sent:
// leaving members first, which must lose their work within a second or two, then
// those with the most sends left. Another data centre gets only records of
// global scope. Records that aren't urgent may take normalRoom bytes at most.
func (t *table) dequeue(now magno.Millis, room, normalRoom int, remote bool) []Record {
	if len(t.queue) == 0 {
		return nil
	}
	queued := make([]*entry, 0, len(t.queue))
	for _, e := range t.queue {
		if *e.sends(remote) > 0 {
			queued = append(queued, e)
		}
	}
	slices.SortFunc(queued, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(priority(b), priority(a)), cmp.Compare(*b.sends(remote), *a.sends(remote)),
			cmp.Compare(a.record.key(), b.record.key()))
	})
	var out []Record
	for _, e := range queued {
		r, ok := e.outgoing(now)
		if ok && (e.size > room || (!r.urgent() && e.size > normalRoom)) {
			break
		}
		if ok {
			room, normalRoom = room-e.size, normalRoom-e.size
			out = append(out, r)
		}
		*e.sends(remote)--
		if !ok || (e.localSends <= 0 && e.remoteSends <= 0) {
			delete(t.queue, e.record.key())
		}
	}
	return out
}

// sends is how many more times the record is sent.
func (e *entry) sends(remote bool) *int {
	if remote {
		return &e.remoteSends
	}
	return &e.localSends
}

// urgentPending reports whether an urgent record is queued.
func (t *table) urgentPending(remote bool) bool {
	for _, e := range t.queue {
		if *e.sends(remote) > 0 && e.record.urgent() {
			return true
		}
	}
	return false
}

// dropRemote cancels sends to other data centres, which are left to relays.
func (t *table) dropRemote() {
	for key, e := range t.queue {
		if e.remoteSends = 0; e.localSends <= 0 {
			delete(t.queue, key)
		}
	}
}

// priority orders queued records, the highest first.
func priority(e *entry) int {
	m := e.record.Member
	switch {
	case m != nil && m.State == Leaving:
		return 2
	case e.record.urgent():
		return 1
	}
	return 0
}

// outgoing returns the record with its remaining TTL, or false if it expires
// within minTTL or must not be sent.
func (e *entry) outgoing(now magno.Millis) (Record, bool) {
	ttl := e.expiresAt - now
	if e.expiresAt > 0 && ttl <= minTTL {
		return Record{}, false
	}
	if e.record.Mark != nil {
		m := *e.record.Mark
		m.TTL = ttl
		return Record{Mark: &m}, true
	}
	if e.expiresAt == 0 {
		return e.record, e.record.Member.Incarnation > 0
	}
	m := *e.record.Member
	m.TTL = ttl
	return Record{Member: &m}, m.Incarnation > 0
}

// bucket returns the records of one bucket that fit in room, and the room left.
// It begins at start, which callers vary, so that a bucket too large for one
// message is transferred in several.
func (t *table) bucket(s scope, g int, now magno.Millis, room, start int) ([]Record, int) {
	var out []Record
	keys := t.keys[s][g]
	for i := range keys {
		e := t.entries[keys[(start+i)%len(keys)]]
		r, ok := e.outgoing(now)
		if !ok || e.size > room {
			continue
		}
		room -= e.size
		out = append(out, r)
	}
	return out, room
}

// retransmits returns how often a record is sent by each of n processes that
// have it: with three more than the binary logarithm nearly all get it, and
// anti-entropy delivers it to the rest.
func retransmits(n int) int { return bits.Len(uint(max(n, 1))) + 3 }
