package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"magnoliastall.example/magno"
)

// exchange is a number of processes that send each other their records, in random pairs.
type exchange struct {
	rand      *rand.Rand
	clock     *magno.Clock
	processes []*Suspects
	// messages counts those that changed the receiver's records.
	messages int
}

func newExchange(seed uint64, n int) *exchange {
	x := &exchange{rand: rand.New(rand.NewPCG(seed, 1)), clock: magno.NewClock(magno.Hour)}
	for range n {
		x.processes = append(x.processes, newSuspects(x.clock, n))
	}
	return x
}

// send sends the records of one process to another, and reports whether they changed any there.
func (x *exchange) send(from, to int) bool {
	s := x.processes[to]
	before := s.Changes()
	s.Merge(x.processes[from].UpdatedSince(0, MaxRecords))
	if s.Changes() == before {
		return false
	}
	x.messages++
	return true
}

// converge exchanges records in rounds of all pairs, each in random order, until a round changes none or
// the limit of messages is exceeded. It reports whether the last round changed none.
func (x *exchange) converge(limit int) bool {
	n := len(x.processes)
	for x.messages <= limit {
		unchanged := true
		for _, pair := range x.rand.Perm(n * n) {
			if from, to := pair/n, pair%n; from != to && x.send(from, to) {
				unchanged = false
			}
		}
		if unchanged {
			return true
		}
	}
	return false
}

// Guards against updates without an end: processes that evicted different ends of a full record sent them to
// each other for ever, which filled the memory of all.
func TestRecordsOfEndsConverge(t *testing.T) {
	for _, c := range []struct {
		ends, records, processes int
		cleared                  bool
	}{
		{16, 1, 24, true},
		{17, 1, 24, true},
		{20, 1, 24, true},
		{24, 1, 8, true},
		{100, 1, 24, true},
		{100, 1, 24, false},
		{40, 20, 8, true},
		{3, MaxRecords + 200, 3, false},
		{3, MaxRecords + 200, 3, true},
	} {
		t.Run(fmt.Sprintf("%d ends of %d records at %d processes, cleared %v", c.ends, c.records, c.processes, c.cleared), func(t *testing.T) {
			for seed := range uint64(3) {
				x := newExchange(seed, c.processes)
				for e := range c.ends {
					for r := range c.records {
						s := x.processes[x.rand.IntN(c.processes)]
						endAll(s, uint64(e), uint64(r+1))
						if c.cleared && x.rand.IntN(4) > 0 {
							x.clock.Advance(magno.Millis(x.rand.IntN(2)))
							s.Clear(uint64(r + 1))
						}
					}
				}
				// Each end changes a process's record once at most, and so does each generation, of which
				// there is one at most for each end and process.
				limit := c.processes * c.records * c.ends * (c.processes + 1)
				if !x.converge(limit) {
					t.Fatalf("seed %d: still changes after %d messages", seed, x.messages)
				}
				t.Logf("seed %d: no more changes after %d messages", seed, x.messages)
			}
		})
	}
}

// Guards against forgetting that a request or part ends upstreams when more of them ended than a record
// holds.
func TestRefusedAfterMoreEndsThanARecordHolds(t *testing.T) {
	x := newExchange(1, 8)
	for e := range 3 * maxEnds {
		endAll(x.processes[e%8], uint64(e), 7)
		endAll(x.processes[e%8], uint64(1000+e), fatal)
		x.clock.Advance(momentGap)
	}
	x.converge(100_000)
	for i, s := range x.processes {
		if !s.MustRefuse(7) || s.Refused(request(1, fatal)...) != fatal {
			t.Errorf("process %d sends it: %d and %d ends", i, s.Count(7), s.Count(fatal))
		}
	}
}
