package once

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/witns"
)

// errLost is what an asker tells when a message got lost.
var errLost = errors.New("no answer")

// wire carries calls between goroutines, late, lost or doubled by chance.
type wire struct {
	mu        sync.Mutex
	rng       *rand.Rand
	witnesses map[string]*witns.Witness
	// lose is how many of a hundred messages get lost, each way.
	lose int
	// late is the most microseconds that a message takes.
	late int
}

func (n *wire) draw(most int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(most)
}

func (n *wire) Ask(ctx context.Context, member string, call magno.GrantCall) (magno.GrantReply, error) {
	time.Sleep(time.Duration(n.draw(n.late)) * time.Microsecond)
	if n.draw(100) < n.lose {
		<-ctx.Done()
		return magno.GrantReply{}, errLost
	}
	n.mu.Lock()
	w := n.witnesses[member]
	n.mu.Unlock()
	if w == nil {
		return magno.GrantReply{}, errLost
	}
	reply := w.Grant(call)
	if n.draw(100) < n.lose {
		reply = w.Grant(call)
	}
	time.Sleep(time.Duration(n.draw(n.late)) * time.Microsecond)
	if n.draw(100) < n.lose {
		<-ctx.Done()
		return magno.GrantReply{}, errLost
	}
	return reply, nil
}

// bench is some ledgers and the witnesses of one roster, in four data centres.
type bench struct {
	clock  *magno.Clock
	wire   *wire
	roster magno.Roster
	made   int
}

func newBench(seed uint64) *bench {
	b := &bench{clock: magno.NewClock(begin)}
	b.wire = &wire{rng: rand.New(rand.NewPCG(seed, 1)), witnesses: map[string]*witns.Witness{}, late: 1}
	b.roster = magno.Roster{Until: 10 * begin, Places: map[string]string{}}
	for i := range 9 {
		name := fmt.Sprintf("w%d", i)
		b.roster.Members = append(b.roster.Members, name)
		b.roster.Places[name] = fmt.Sprint("dc", i%4)
		b.start(name)
	}
	b.clock.Advance(2*skew + 1)
	return b
}

// start puts a new process into a slot; the old one is gone.
func (b *bench) start(name string) {
	w := &witns.Witness{Self: name, Clock: b.clock, Retention: retention, MaxSkew: skew, MaxKeys: 10000}
	w.Open()
	b.wire.mu.Lock()
	defer b.wire.mu.Unlock()
	b.wire.witnesses[name] = w
}

func (b *bench) ledger(name string) *Ledger {
	b.made++
	return &Ledger{
		Clock: b.clock, Self: name, Incarnation: fmt.Sprint(b.made), Asker: b.wire,
		Rosters:   func() []magno.Roster { return []magno.Roster{b.roster} },
		Retention: retention, MaxSkew: skew, RoundTimeout: magno.Minute, MaxKeys: 100, MaxBytes: 1 << 20,
	}
}

// key returns a key that was issued at the time at.
func key(at magno.Millis, number int) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(number >> 8), 15: byte(number)}
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	return id.String()
}

// denied is what callers see who are told that their request was not run.
const denied = "denied"

// event is an operation: a run at an upstream, or a call and its answer.
type event struct {
	key int
	run bool
}

// register holds, for one key, what upstreams ran and callers were told: one
// run at most, every answer that of the run, and no run beside "not run".
var register = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range all {
			byKey[op.Input.(event).key] = append(byKey[op.Input.(event).key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		text := output.(string)
		switch {
		case input.(event).run:
			return state == "", text
		case text == "unknown":
			return true, state
		case text == denied:
			return state == "" || state == denied, denied
		}
		return state == text, state
	},
}

// journal collects a concurrent history.
type journal struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (j *journal) add(client int, in event, from time.Time, out string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ops = append(j.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: from.UnixNano(), Output: out, Return: time.Now().UnixNano(),
	})
}

// Callers send the same keys at the same time through all agents, again and
// again, while messages get lost and witnesses and agents are replaced. A user
// would see a receipt twice, another's answer, or a receipt that he was told
// was not read.
func TestHistoriesOfConcurrentCallers(t *testing.T) {
	first, _ := strconv.ParseUint(flag.Lookup("rapid.seed").Value.String(), 10, 64)
	for seed := first; seed < first+uint64(histories); seed++ {
		j := &journal{}
		crowd(newBench(seed), j)
		if !porcupine.CheckOperations(register, j.ops) {
			t.Errorf("seed %d: the history can't be explained by one run a key", seed)
		}
		answers := map[string]int{}
		for _, op := range j.ops {
			if !op.Input.(event).run {
				answers[kindOf(op.Output.(string))]++
			}
		}
		t.Logf("seed %d: %d events, answers %v", seed, len(j.ops), answers)
	}
}

func kindOf(text string) string {
	if text == denied || text == "unknown" {
		return text
	}
	return "result"
}

// crowd lets callers send keys through three agents.
func crowd(b *bench, j *journal) {
	const callers, keys, sends = 6, 12, 30
	b.wire.lose, b.wire.late = 2, 400
	ledgers := make([]*Ledger, 3)
	for i := range ledgers {
		ledgers[i] = b.ledger(fmt.Sprint("h", i))
		ledgers[i].RoundTimeout = 20
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	at := b.clock.Now()
	for c := range callers {
		wg.Go(func() {
			for range sends {
				n := b.wire.draw(keys)
				mu.Lock()
				i := b.wire.draw(len(ledgers))
				l := ledgers[i]
				switch b.wire.draw(40) {
				case 0:
					ledgers[i] = b.ledger(l.Self)
					ledgers[i].RoundTimeout = 20
				case 1:
					b.start(fmt.Sprint("w", b.wire.draw(9)))
				}
				mu.Unlock()
				send(b, j, l, c, n, at)
			}
		})
	}
	wg.Wait()
}

// send sends a key once and notes the run, if it comes to one, and the answer.
func send(b *bench, j *journal, l *Ledger, caller, n int, at magno.Millis) {
	from := time.Now()
	reply := l.Do(context.Background(), Call{Key: key(at, n), BodyHash: 7}, func(context.Context) magno.RunReply {
		began := time.Now()
		time.Sleep(time.Duration(b.wire.draw(2000)) * time.Microsecond)
		if b.wire.draw(5) == 0 {
			return magno.RunReply{Refusal: magno.Refuse(magno.KindBusy, "full")}
		}
		text := fmt.Sprint(n, " by ", l.Holder())
		j.add(caller+100, event{n, true}, began, text)
		return magno.RunReply{Result: &magno.Result{Text: text}}
	})
	out := "unknown"
	switch {
	case reply.Result != nil:
		out = reply.Result.Text
	case reply.Refusal.Run == magno.RunNo:
		out = denied
	}
	j.add(caller, event{n, false}, from, out)
}
