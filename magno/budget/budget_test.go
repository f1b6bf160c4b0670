package budget

import (
	"container/list"
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mustGrow grants n to a new holder.
func mustGrow(t *testing.T, b *Budget, n int64) int64 {
	t.Helper()
	seq, ok := b.Grow(0, n)
	if !ok {
		t.Fatalf("%d aren't granted with %d of %d held", n, b.used, b.Size)
	}
	return seq
}

// mustWait adds a waiter for n.
func mustWait(t *testing.T, b *Budget, n int64) *waiter {
	t.Helper()
	_, e := b.enter(n)
	if e == nil {
		t.Fatalf("%d are granted with %d of %d held", n, b.used, b.Size)
	}
	return e.Value.(*waiter)
}

// Guards against small requests that wait, or are refused, because a large one waits for what a slow holder holds.
func TestSmallIsGrantedWhileLargeWaits(t *testing.T) {
	const size = 1000
	for _, large := range []int64{size, size - 1, size * 3 / 4, size/2 + size/4} {
		b := &Budget{Size: size}
		mustGrow(t, b, size/2)
		w := mustWait(t, b, large)
		for range 20 * size {
			seq := mustGrow(t, b, 1)
			if _, ok := b.Grow(seq, size/8); !ok {
				t.Fatalf("a small holder can't grow while %d wait", large)
			}
			b.Release(seq, 1+size/8)
		}
		if w.seq != 0 {
			t.Errorf("%d were granted beside half the budget", large)
		}
	}
}

// Guards against a large request that waits for ever because small ones without end, each of which comes before the
// last one has ended, leave too little for it.
func TestLargeIsGrantedBesideSmallWithoutEnd(t *testing.T) {
	const size, small = 1000, 10
	for _, large := range []int64{size / 2, size * 3 / 4, size - small, size} {
		b := &Budget{Size: size}
		held := list.New()
		for range size / small {
			held.PushBack(mustGrow(t, b, small))
		}
		w := mustWait(t, b, large)
		for n := 0; w.seq == 0; n++ {
			if n > 3*size/small {
				t.Fatalf("%d waited while %d were granted to others", large, n*small)
			}
			b.Release(held.Remove(held.Front()).(int64), small)
			if seq, ok := b.Grow(0, small); ok {
				held.PushBack(seq)
			}
		}
	}
}

// Guards against a holder that can't end since it needs more, while a request that is due waits for its end.
func TestHolderGrowsWhileOneIsDue(t *testing.T) {
	b := &Budget{Size: 100}
	seq := mustGrow(t, b, 10)
	w := mustWait(t, b, 100)
	for range 10 {
		b.Release(mustGrow(t, b, 10), 10)
	}
	if b.dueSeq == 0 {
		t.Fatal("the waiter isn't due")
	}
	if _, ok := b.Grow(seq, 80); !ok {
		t.Fatal("the holder can't grow")
	}
	b.Release(seq, 90)
	if w.seq == 0 {
		t.Error("the waiter isn't granted")
	}
}

// Guards against waits that don't end with their context, and then take part of the budget away or keep others waiting.
func TestWaitEndsWithItsContext(t *testing.T) {
	b := &Budget{Size: 100}
	if _, err := b.Acquire(t.Context(), 101); err == nil {
		t.Error("more than the budget was granted")
	}
	held := mustGrow(t, b, 50)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := b.Acquire(ctx, 100)
		failed <- err
	}()
	for b.Waiting() == 0 && len(failed) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-failed; err == nil {
		t.Error("the wait didn't fail")
	}
	if _, err := b.Acquire(ctx, 1); err == nil {
		t.Error("granted though the context had ended")
	}
	// It was granted as its context ended.
	_, e := b.enter(100)
	b.Release(held, 50)
	b.leave(e)
	if seq := mustGrow(t, b, 100); seq == 0 || b.Waiting() != 0 {
		t.Errorf("%d wait", b.Waiting())
	}
}

// holder is one of the model's holders.
type holder struct{ seq, held int64 }

// machine plays calls in any order and compares them with the sum of what holders hold.
type machine struct {
	b       Budget
	holders []holder
	waiting []*list.Element
}

// collect makes holders of the waiters that were granted.
func (m *machine) collect() {
	left := m.waiting[:0]
	for _, e := range m.waiting {
		if w := e.Value.(*waiter); w.seq != 0 {
			m.holders = append(m.holders, holder{w.seq, w.size})
		} else {
			left = append(left, e)
		}
	}
	m.waiting = left
}

func (m *machine) enter(t *rapid.T) {
	n := rapid.Int64Range(0, m.b.Size).Draw(t, "size")
	seq, e := m.b.enter(n)
	if e != nil {
		m.waiting = append(m.waiting, e)
		return
	}
	m.holders = append(m.holders, holder{seq, n})
}

func (m *machine) grow(t *rapid.T) {
	if len(m.holders) == 0 {
		return
	}
	h := &m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
	n := rapid.Int64Range(0, m.b.Size/4).Draw(t, "more")
	if _, ok := m.b.Grow(h.seq, n); ok {
		h.held += n
	}
}

func (m *machine) release(t *rapid.T) {
	if len(m.holders) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")
	h := m.holders[i]
	m.holders = append(m.holders[:i], m.holders[i+1:]...)
	m.b.Release(h.seq, h.held)
}

func (m *machine) leave(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")
	m.b.leave(m.waiting[i])
	m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
}

// check compares the budget with the model.
func (m *machine) check(t *rapid.T) {
	m.collect()
	var sum, later int64
	for _, h := range m.holders {
		sum += h.held
		if h.seq > m.b.dueSeq {
			later += h.held
		}
	}
	if sum != m.b.used || sum > m.b.Size {
		t.Fatalf("%d are held, %d by the budget's count of %d", sum, m.b.used, m.b.Size)
	}
	if m.b.Waiting() != len(m.waiting) {
		t.Fatalf("%d wait, want %d", m.b.Waiting(), len(m.waiting))
	}
	if m.b.overtook >= 2*m.b.Size {
		t.Fatalf("%d overtook a waiter", m.b.overtook)
	}
	due := m.b.dueSeq != 0
	if due && (later != m.b.later || later > m.b.Size/laterDivisor) {
		t.Fatalf("%d are held by those who came later, %d by the budget's count", later, m.b.later)
	}
	for i, e := range m.waiting {
		fits := e.Value.(*waiter).size <= m.b.Size-sum
		if fits && (i == 0 || !due) {
			t.Fatalf("waiter %d of %d isn't granted what is there", i, len(m.waiting))
		}
	}
}

// Guards against more being held than the budget has, against waiters that nobody wakes, and against those that are
// overtaken without bound.
func TestBudgetOverAnyCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{b: Budget{Size: rapid.Int64Range(1, 40).Draw(t, "budget")}}
		calls := []func(*rapid.T){m.enter, m.enter, m.grow, m.release, m.leave}
		for range rapid.IntRange(1, 100).Draw(t, "calls") {
			calls[rapid.IntRange(0, len(calls)-1).Draw(t, "call")](t)
			m.check(t)
		}
		for len(m.holders) > 0 {
			m.release(t)
			m.check(t)
		}
		if m.b.used != 0 || m.b.Waiting() != 0 {
			t.Fatalf("%d are held by none, %d wait", m.b.used, m.b.Waiting())
		}
	})
}

// BenchmarkBudget measures a holder that comes, grows and ends, beside no waiter and beside many for more than is free.
func BenchmarkBudget(b *testing.B) {
	for _, waiters := range []int{0, 1000} {
		b.Run(fmt.Sprintf("%d wait", waiters), func(b *testing.B) {
			budget := &Budget{Size: 16 << 20}
			budget.Grow(0, budget.Size/2)
			for range waiters {
				budget.enter(budget.Size)
			}
			b.ReportAllocs()
			for b.Loop() {
				seq, _ := budget.Grow(0, 512)
				budget.Grow(seq, 512)
				budget.Release(seq, 1024)
			}
		})
	}
}
