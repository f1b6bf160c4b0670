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

// fleet describes the agents of one deployment in four data centres.
type fleet struct {
	name   string
	agents int
	// far and near are the one-way latencies between and within data centres.
	far, near time.Duration
}

var fleets = []fleet{
	{"delta", 13, time.Millisecond, 100 * time.Microsecond},
	{"cursada", 22, 500 * time.Microsecond, 100 * time.Microsecond},
}

// delayedNetwork delivers calls with the latency between two data centres each way.
type delayedNetwork struct {
	from        string
	fleet       fleet
	dataCentres map[string]string
	witnesses   map[string]*witns.Witness
}

func (d *delayedNetwork) Ask(ctx context.Context, member string, call magno.GrantCall) (magno.GrantReply, error) {
	delay := d.fleet.far
	if d.dataCentres[member] == d.from {
		delay = d.fleet.near
	}
	w := d.witnesses[member]
	if w == nil {
		<-ctx.Done()
		return magno.GrantReply{}, errNoReply
	}
	busyWait(delay)
	// Like a decoder, makes strings that share no memory with the sender.
	call.Key, call.Holder = strings.Clone(call.Key), strings.Clone(call.Holder)
	reply := w.Grant(call)
	busyWait(delay)
	return reply, nil
}

// busyWait doesn't use a timer, because timers round half a millisecond up to one.
func busyWait(d time.Duration) {
	for from := time.Now(); time.Since(from) < d; {
		runtime.Gosched()
	}
}

func (f fleet) newCluster() *cluster {
	c := newCluster(1)
	c.roster.Members, c.roster.DataCentres = nil, map[string]string{}
	clear(c.network.witnesses)
	c.clock = magno.NewClock(startTime)
	for i := range f.agents {
		name := fmt.Sprintf("a%02d", i)
		c.roster.Members = append(c.roster.Members, name)
		c.roster.DataCentres[name] = fmt.Sprint("dc", i%4)
		c.startWitness(name)
	}
	c.clock.Advance(2*skew + 1)
	return c
}

// stopWitnesses stops the witnesses for which stopped returns true.
func (c *cluster) stopWitnesses(stopped func(i int, place string) bool) {
	for i, m := range c.roster.Members {
		if stopped(i, c.roster.DataCentres[m]) {
			delete(c.network.witnesses, m)
		}
	}
}

// Guards against refusing new keys while instances, a data centre or the configuration
// service are lost. Losses beyond the design may refuse them; the log shows what share.
func TestShareOfFreshKeysRefused(t *testing.T) {
	const keys = 600
	firstAgents := func(n int) func(int, string) bool { return func(i int, _ string) bool { return i < n } }
	tests := []struct {
		name  string
		setup func(c *cluster)
		// maxRefused is the share of refused keys that the design allows, in percent.
		maxRefused float64
	}{
		{"nothing lost", func(*cluster) {}, 0},
		{"one agent lost", func(c *cluster) { c.stopWitnesses(firstAgents(1)) }, 0},
		{"two agents lost", func(c *cluster) { c.stopWitnesses(firstAgents(2)) }, 0},
		{"a data centre lost", func(c *cluster) { c.stopWitnesses(func(_ int, p string) bool { return p == "dc0" }) }, 0},
		{"one agent just replaced", func(c *cluster) { c.startWitness(c.roster.Members[0]) }, 0},
		{"a data centre just started anew", func(c *cluster) {
			for m, p := range c.roster.DataCentres {
				if p == "dc0" {
					c.startWitness(m)
				}
			}
		}, 0},
		{"configuration gone, a day before the roster ends", func(c *cluster) {
			c.roster.Until = c.clock.Now() + 24*magno.Hour
		}, 0},
		{"a data centre lost and one agent elsewhere", func(c *cluster) {
			c.stopWitnesses(func(i int, p string) bool { return p == "dc0" || i == 1 })
		}, 100},
		{"three agents lost in three data centres", func(c *cluster) { c.stopWitnesses(firstAgents(3)) }, 100},
		{"configuration gone until the roster has ended", func(c *cluster) { c.roster.Until = c.clock.Now() }, 100},
	}
	for _, f := range fleets {
		for _, tt := range tests {
			c := f.newCluster()
			tt.setup(c)
			l := c.newLedger("home")
			l.MaxKeys = keys
			refused := 0
			for n := range keys {
				var runs int
				if reply := l.Do(context.Background(), Call{Key: key(c.clock.Now(), n)}, countingRun(&runs, "x")); reply.Refusal != nil {
					refused++
				}
			}
			share := 100 * float64(refused) / keys
			t.Logf("%-8s %-50s %6.2f %% refused", f.name, tt.name, share)
			if share > tt.maxRefused {
				t.Errorf("more than %.2f %%", tt.maxRefused)
			}
		}
	}
}

// BenchmarkAddedTime measures how long asking the witnesses delays the start of a run,
// with all witnesses running and with one data centre lost.
func BenchmarkAddedTime(b *testing.B) {
	for _, f := range fleets {
		for _, lost := range []string{"none", "dc1"} {
			b.Run(f.name+"/lost="+lost, func(b *testing.B) {
				c := f.newCluster()
				c.stopWitnesses(func(_ int, p string) bool { return p == lost })
				l := c.newLedger("home")
				l.Asker = &delayedNetwork{"dc0", f, c.roster.DataCentres, c.network.witnesses}
				l.MaxKeys = b.N
				waits := make([]time.Duration, b.N)
				for n := range b.N {
					from := time.Now()
					l.Do(context.Background(), Call{Key: key(c.clock.Now(), n)}, func(context.Context) magno.RunReply {
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

// BenchmarkDo measures the processor time and memory that a new key costs an agent, if
// its witnesses reply immediately.
func BenchmarkDo(b *testing.B) {
	c := fleets[1].newCluster()
	for _, w := range c.network.witnesses {
		w.MaxKeys = b.N
	}
	l := c.newLedger("reading-agent-07")
	l.Incarnation = key(startTime, 1)
	l.Asker = &delayedNetwork{"", fleet{}, c.roster.DataCentres, c.network.witnesses}
	l.MaxKeys = b.N
	for _, w := range c.network.witnesses {
		w.Open()
	}
	b.ReportAllocs()
	var runs int
	before := heapInUse()
	for n := range b.N {
		l.Do(context.Background(), Call{Key: key(c.clock.Now()-magno.Millis(n%1000), n)}, countingRun(&runs, "x"))
	}
	b.StopTimer()
	held := 0
	for _, w := range c.network.witnesses {
		held += w.Len()
	}
	all := heapInUse() - before
	clear(c.network.witnesses)
	ledger := heapInUse() - before
	b.ReportMetric(float64(ledger)/float64(b.N), "B/key-in-ledger")
	b.ReportMetric(float64(all-ledger)/float64(held), "B/key-in-witness")
	runtime.KeepAlive(l)
}

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
