// Package budget bounds what many holders take of one resource at the same time, such as memory.
//
// Load pattern: a pool serves many small answers and now and then a large one, and some callers read
// slowly, so that what their answers hold isn't returned for seconds. A large answer that comes then
// doesn't fit and waits. In the order of arrival all small ones would wait behind it, though most of the
// budget is free, and end at their deadlines. If whatever fits went first, small ones without end would
// keep the large one waiting for ever.
//
//	oldest waiter --> others that fit overtake it --> it is due once a whole budget has overtaken it
//	due --> those that come later hold a quarter together; what the others return is kept for it
//	due, and only that quarter is held --> they hold no more than leaves enough for it
//
// The last step makes a difference for those over three quarters of the budget only. The policy counts
// what is held and no time: who is granted follows from the order of the calls.
package budget

import (
	"container/list"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// laterDivisor is the part of the budget that those who come later hold together while a waiter is due.
const laterDivisor = 4

// Budget grants parts of Size to holders. Each holder has a sequence number, which says how old it is.
// It is safe for concurrent use.
type Budget struct {
	// Size is what all holders together may hold, in the unit of the requests. It is set before use.
	Size int64

	mu sync.Mutex
	// used is what is held, lastSeq the newest holder's number.
	used, lastSeq int64
	// waiters holds the *waiter that aren't granted, oldest first.
	waiters list.List
	// overtook is what was granted past the oldest waiter. dueSeq is the newest holder's number when that
	// became due, zero before, and later is what newer holders hold.
	overtook, dueSeq, later int64
}

// waiter is a request that waits.
type waiter struct {
	size int64
	// seq is set before granted is closed.
	seq     int64
	granted chan struct{}
}

// Acquire waits until n are available to a new holder, and returns its number. It fails once ctx ends, and at once if
// n exceeds Size.
func (b *Budget) Acquire(ctx context.Context, n int64) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if n > b.Size {
		return 0, errors.Newf("%d exceed the budget of %d", n, b.Size)
	}
	seq, e := b.enter(n)
	if e == nil {
		return seq, nil
	}
	w := e.Value.(*waiter)
	select {
	case <-w.granted:
		return w.seq, nil
	case <-ctx.Done():
		b.leave(e)
		return 0, ctx.Err()
	}
}

// Grow grants n more to the holder with a sequence number, or n to a new one if that is zero, and returns its number.
// It never waits: it returns false if n aren't available.
func (b *Budget) Grow(seq, n int64) (int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allows(seq, n) {
		return seq, false
	}
	return b.overtake(seq, n), true
}

// Release returns n that the holder with a sequence number holds.
func (b *Budget) Release(seq, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(seq, n)
}

// Waiting returns the number of requests that wait.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiters.Len()
}

// enter grants n to a new holder and returns its number, or adds a waiter.
func (b *Budget) enter(n int64) (int64, *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.allows(0, n) {
		return b.overtake(0, n), nil
	}
	return 0, b.waiters.PushBack(&waiter{size: n, granted: make(chan struct{})})
}

// leave ends a wait, also one that was granted meanwhile.
func (b *Budget) leave(e *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := e.Value.(*waiter)
	if w.seq != 0 {
		b.release(w.seq, w.size)
		return
	}
	b.remove(e)
	b.wake()
}

// allows reports whether n may be granted to a holder, or to a new one if seq is zero, past the waiters.
func (b *Budget) allows(seq, n int64) bool {
	if n > b.Size-b.used {
		return false
	}
	// Holders of before go on, so that they end.
	if n == 0 || b.dueSeq == 0 || (seq != 0 && seq <= b.dueSeq) {
		return true
	}
	return b.later+n <= b.laterLimit()
}

// laterLimit returns what those may hold together who come while the oldest waiter is due.
func (b *Budget) laterLimit() int64 {
	limit := b.Size / laterDivisor
	if b.used > b.later {
		return limit // it waits for others anyway
	}
	return min(limit, b.Size-b.waiters.Front().Value.(*waiter).size)
}

// overtake grants n past the waiters, if there are any, and returns the holder's number.
func (b *Budget) overtake(seq, n int64) int64 {
	seq = b.grant(seq, n)
	switch {
	case b.waiters.Len() == 0:
	case b.dueSeq != 0:
		if seq > b.dueSeq {
			b.later += n
		}
	default:
		b.overtook += n
		if b.overtook >= b.Size {
			b.dueSeq = b.lastSeq
		}
	}
	return seq
}

// grant grants n to a holder, or to a new one if seq is zero, and returns its number.
func (b *Budget) grant(seq, n int64) int64 {
	b.used += n
	if seq == 0 {
		b.lastSeq++
		seq = b.lastSeq
	}
	return seq
}

func (b *Budget) release(seq, n int64) {
	if n > b.used {
		panic("budget: more is released than is held")
	}
	b.used -= n
	if b.dueSeq != 0 && seq > b.dueSeq {
		b.later -= n
	}
	b.wake()
}

// wake grants what is available to waiters, oldest first.
func (b *Budget) wake() {
	var next *list.Element
	for e := b.waiters.Front(); e != nil && b.used < b.Size; e = next {
		next = e.Next()
		w := e.Value.(*waiter)
		oldest := e == b.waiters.Front()
		switch {
		case oldest && w.size <= b.Size-b.used:
			w.seq = b.grant(0, w.size)
		case !oldest && b.allows(0, w.size):
			w.seq = b.overtake(0, w.size)
		default:
			continue
		}
		b.remove(e)
		close(w.granted)
	}
}

// remove ends a wait. The oldest waiter's successor hasn't been overtaken yet.
func (b *Budget) remove(e *list.Element) {
	if e == b.waiters.Front() {
		b.overtook, b.dueSeq, b.later = 0, 0, 0
	}
	b.waiters.Remove(e)
}
