package witns

import (
	"testing"

	"github.com/google/uuid"

	"magnoliastall.example/magno"
)

const (
	startTime magno.Millis = 1_000_000
	skew      magno.Millis = 1000
	retention              = 10 * magno.Second
)

func key(at magno.Millis, number byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: number}
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	return id.String()
}

func newWitness() *Witness {
	w := &Witness{Self: "w", Clock: magno.NewClock(startTime), Retention: retention, MaxSkew: skew, MaxKeys: 3}
	w.Open()
	return w
}

func ask(w *Witness, key, holder string) magno.GrantReply {
	return w.Grant(magno.GrantCall{Member: "w", Key: key, Holder: holder})
}

// Guards against a key being granted twice when a witness is replaced and the new
// process's clock is behind by the maximum skew. It must refuse every key that the
// earlier process may have granted.
func TestRefusesWhatAnEarlierProcessMayHaveGiven(t *testing.T) {
	tests := []struct {
		name   string
		at     magno.Millis
		reason magno.GrantReason
	}{
		{"long before the start", startTime - 5*skew, magno.GrantForgot},
		{"at the start", startTime, magno.GrantForgot},
		{"as far ahead as both clocks allow", startTime + 2*skew, magno.GrantForgot},
		{"after that", startTime + 2*skew + 1, ""},
		{"ahead of the clock by the bound", startTime + 4*skew, ""},
		{"ahead by more", startTime + 4*skew + 1, magno.GrantAhead},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWitness()
			w.Clock.Advance(3 * skew)
			if got := ask(w, key(tt.at, 1), "a/1"); got.Reason != tt.reason {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

// Guards against a key changing its holder without a cession, when messages are
// duplicated and holders ask again.
func TestOneHolder(t *testing.T) {
	w := newWitness()
	w.Clock.Advance(3 * skew)
	k := key(startTime+3*skew, 1)
	steps := []struct {
		holder, cede, want string
	}{
		{"b/1", "", "b/1"},
		{"b/1", "", "b/1"},
		{"a/1", "", "b/1"},
		{"b/2", "", "b/1"},
		{"c/1", "a/1", "b/1"}, // cedes what it doesn't hold
		{"b/1", "c/1", "a/1"}, // c/1 has already ceded to a/1
		{"b/1", "", "a/1"},
	}
	for i, s := range steps {
		got := w.Grant(magno.GrantCall{Member: "w", Key: k, Holder: s.holder, Cede: s.cede})
		if got.Holder != s.want {
			t.Fatalf("step %d: got %+v, want %s", i, got, s.want)
		}
	}
}

// Guards against losing a vote when messages are reordered: a holder's first call
// arrives after the message by which it ceded the key, and must not be granted.
func TestLateCallOfAHolderThatCeded(t *testing.T) {
	w := newWitness()
	w.Clock.Advance(3 * skew)
	k := key(startTime+3*skew, 1)
	w.Grant(magno.GrantCall{Member: "w", Key: k, Holder: "b/1", Cede: "a/1"})
	if got := ask(w, k, "b/1"); got.Holder != "a/1" {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a process voting in two slots after an instance's address was
// reassigned to it.
func TestRefusesCallsForAnotherSlot(t *testing.T) {
	w := newWitness()
	w.Clock.Advance(3 * skew)
	got := w.Grant(magno.GrantCall{Member: "v", Key: key(startTime+3*skew, 1), Holder: "a/1"})
	if got.Reason != magno.GrantMember || w.Len() != 0 {
		t.Fatalf("got %+v", got)
	}
}

// Guards against granting a forgotten key again. Every key that may have been
// forgotten is refused from then on, even when the clock is set back, and a full
// witness refuses new keys instead of forgetting old ones.
func TestForgetsOnlyWhatItRefuses(t *testing.T) {
	w := newWitness()
	w.Clock.Advance(3 * skew)
	at := startTime + 3*skew
	for n := range byte(3) {
		ask(w, key(at, n), "a/1")
	}
	if got := ask(w, key(at, 3), "a/1"); got.Reason != magno.GrantFull {
		t.Fatalf("full: %+v", got)
	}
	w.Clock.Advance(retention)
	if got := ask(w, key(at+retention, 4), "a/1"); got.Holder != "a/1" {
		t.Fatalf("after the retention: %+v", got)
	}
	w.Clock = magno.NewClock(at + retention - skew)
	if got := ask(w, key(at, 1), "b/1"); got.Reason != magno.GrantStale {
		t.Fatalf("forgotten key, clock set back: %+v", got)
	}
	if got := ask(w, "receipt-17", "b/1"); got.Reason != magno.GrantKey {
		t.Fatalf("key without a time: %+v", got)
	}
}

func BenchmarkGrant(b *testing.B) {
	w := &Witness{Self: "w", Clock: magno.NewClock(startTime), Retention: retention, MaxSkew: skew, MaxKeys: 1 << 30}
	w.Open()
	w.Clock.Advance(3 * skew)
	keys := make([]string, b.N)
	for i := range keys {
		at := startTime + 3*skew + magno.Millis(i%1000)
		keys[i] = "delta/" + key(at, byte(i))[:30] + uuid.New().String()[30:]
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, k := range keys {
		ask(w, k, "agent-17/0193a1b2-0000-7000-8000-000000000000")
	}
}
