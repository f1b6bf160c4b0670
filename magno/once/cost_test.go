package once

import (
	"context"
	"fmt"
	"runtime"
	"sort"
	"strings"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/witns"
)

// fleet is the agents of one deployment, spread over four data centres.
type fleet struct {
	name   string
	agents int
	// far and near are one-way times between and within data centres.
	far, near time.Duration
}

var fleets = []fleet{
	{"delta", 13, time.Millisecond, 100 * time.Microsecond},
	{"cursada", 22, 500 * time.Microsecond, 100 * time.Microsecond},
}

// distant carries calls with the time between two data centres each way.
type distant struct {
	from      string
	fleet     fleet
	places    map[string]string
	witnesses map[string]*witns.Witness
}

func (d *distant) Ask(ctx context.Context, member string, call magno.GrantCall) (magno.GrantReply, error) {
	delay := d.fleet.far
	if d.places[member] == d.from {
		delay = d.fleet.near
	}
	w := d.witnesses[member]
	if w == nil {
		<-ctx.Done()
		return magno.GrantReply{}, errLost
	}
	travel(delay)
	// A decoder makes strings of its own.
	call.Key, call.Holder = strings.Clone(call.Key), strings.Clone(call.Holder)
	reply := w.Grant(call)
	travel(delay)
	return reply, nil
}

// travel waits without a timer, for a timer rounds half a millisecond up to
// one.
func travel(d time.Duration) {
	for from := time.Now(); time.Since(from) < d; {
		runtime.Gosched()
	}
}

func (f fleet) bench() *bench {
	b := newBench(1)
	b.roster.Members, b.roster.Places = nil, map[string]string{}
	clear(b.wire.witnesses)
	b.clock = magno.NewClock(begin)
	for i := range f.agents {
		name := fmt.Sprintf("a%02d", i)
		b.roster.Members = append(b.roster.Members, name)
		b.roster.Places[name] = fmt.Sprint("dc", i%4)
		b.start(name)
	}
	b.clock.Advance(2*skew + 1)
	return b
}

// lose ends every witness for which gone is true.
func (b *bench) lose(gone func(i int, place string) bool) {
	for i, m := range b.roster.Members {
		if gone(i, b.roster.Places[m]) {
			delete(b.wire.witnesses, m)
		}
	}
}

// Instances, a data centre or the configuration service are gone. Callers with
// fresh receipts must not be refused for that; at a loss beyond the design they
// are, and this says how many.
func TestShareOfFreshKeysRefused(t *testing.T) {
	const keys = 600
	first := func(n int) func(int, string) bool { return func(i int, _ string) bool { return i < n } }
	tests := []struct {
		name string
		with func(b *bench)
		// most is the share refused that the design allows, in percent.
		most float64
	}{
		{"nothing lost", func(*bench) {}, 0},
		{"one agent lost", func(b *bench) { b.lose(first(1)) }, 0},
		{"two agents lost", func(b *bench) { b.lose(first(2)) }, 0},
		{"a data centre lost", func(b *bench) { b.lose(func(_ int, p string) bool { return p == "dc0" }) }, 0},
		{"one agent just replaced", func(b *bench) { b.start(b.roster.Members[0]) }, 0},
		{"a data centre just started anew", func(b *bench) {
			for m, p := range b.roster.Places {
				if p == "dc0" {
					b.start(m)
				}
			}
		}, 0},
		{"configuration gone, a day before the roster ends", func(b *bench) {
			b.roster.Until = b.clock.Now() + 24*magno.Hour
		}, 0},
		{"a data centre lost and one agent elsewhere", func(b *bench) {
			b.lose(func(i int, p string) bool { return p == "dc0" || i == 1 })
		}, 100},
		{"three agents lost in three data centres", func(b *bench) { b.lose(first(3)) }, 100},
		{"configuration gone until the roster has ended", func(b *bench) { b.roster.Until = b.clock.Now() }, 100},
	}
	for _, f := range fleets {
		for _, tt := range tests {
			b := f.bench()
			tt.with(b)
			l := b.ledger("home")
			l.MaxKeys = keys
			refused := 0
			for n := range keys {
				var runs int
				if reply := l.Do(context.Background(), Call{Key: key(b.clock.Now(), n)}, counted(&runs, "x")); reply.Refusal != nil {
					refused++
				}
			}
			share := 100 * float64(refused) / keys
			t.Logf("%-8s %-50s %6.2f %% refused", f.name, tt.name, share)
			if share > tt.most {
				t.Errorf("more than %.2f %%", tt.most)
			}
		}
	}
}

// BenchmarkAddedTime measures how much later a run starts because of the
// witnesses, with all of them there and with a data centre lost.
func BenchmarkAddedTime(b *testing.B) {
	for _, f := range fleets {
		for _, lost := range []string{"none", "dc1"} {
			b.Run(f.name+"/lost="+lost, func(b *testing.B) {
				bn := f.bench()
				bn.lose(func(_ int, p string) bool { return p == lost })
				l := bn.ledger("home")
				l.Asker = &distant{"dc0", f, bn.roster.Places, bn.wire.witnesses}
				l.MaxKeys = b.N
				waits := make([]time.Duration, b.N)
				for n := range b.N {
					from := time.Now()
					l.Do(context.Background(), Call{Key: key(bn.clock.Now(), n)}, func(context.Context) magno.RunReply {
						waits[n] = time.Since(from)
						return magno.RunReply{Result: &magno.Result{}}
					})
				}
				sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
				b.ReportMetric(float64(waits[b.N/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(waits[b.N*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// BenchmarkDo measures what a fresh key costs an agent in processor time and
// memory when its witnesses answer at once.
func BenchmarkDo(b *testing.B) {
	bn := fleets[1].bench()
	for _, w := range bn.wire.witnesses {
		w.MaxKeys = b.N
	}
	l := bn.ledger("reading-agent-07")
	l.Incarnation = key(begin, 1)
	l.Asker = &distant{"", fleet{}, bn.roster.Places, bn.wire.witnesses}
	l.MaxKeys = b.N
	for _, w := range bn.wire.witnesses {
		w.Open()
	}
	b.ReportAllocs()
	var runs int
	before := heap()
	for n := range b.N {
		l.Do(context.Background(), Call{Key: key(bn.clock.Now()-magno.Millis(n%1000), n)}, counted(&runs, "x"))
	}
	b.StopTimer()
	held := 0
	for _, w := range bn.wire.witnesses {
		held += w.Len()
	}
	all := heap() - before
	clear(bn.wire.witnesses)
	ledger := heap() - before
	b.ReportMetric(float64(ledger)/float64(b.N), "B/key-in-ledger")
	b.ReportMetric(float64(all-ledger)/float64(held), "B/key-in-witness")
	runtime.KeepAlive(l)
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
