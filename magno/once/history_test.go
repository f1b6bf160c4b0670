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

// errNoReply is the error for a lost message.
var errNoReply = errors.New("no answer")

// network carries calls between goroutines and delays, loses and duplicates them at
// random.
type network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	witnesses map[string]*witns.Witness
	// lossPercent is the probability that a message is lost, in each direction.
	lossPercent int
	// maxDelayMicros is the maximum delay of a message in microseconds.
	maxDelayMicros int
}

func (n *network) intN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(limit)
}

func (n *network) Ask(ctx context.Context, member string, call magno.GrantCall) (magno.GrantReply, error) {
	time.Sleep(time.Duration(n.intN(n.maxDelayMicros)) * time.Microsecond)
	if n.intN(100) < n.lossPercent {
		<-ctx.Done()
		return magno.GrantReply{}, errNoReply
	}
	n.mu.Lock()
	w := n.witnesses[member]
	n.mu.Unlock()
	if w == nil {
		return magno.GrantReply{}, errNoReply
	}
	reply := w.Grant(call)
	if n.intN(100) < n.lossPercent {
		reply = w.Grant(call)
	}
	time.Sleep(time.Duration(n.intN(n.maxDelayMicros)) * time.Microsecond)
	if n.intN(100) < n.lossPercent {
		<-ctx.Done()
		return magno.GrantReply{}, errNoReply
	}
	return reply, nil
}

// cluster is a set of ledgers and the witnesses of one roster in four data centres.
type cluster struct {
	clock       *magno.Clock
	network     *network
	roster      magno.Roster
	ledgerCount int
}

func newCluster(seed uint64) *cluster {
	c := &cluster{clock: magno.NewClock(startTime)}
	c.network = &network{rng: rand.New(rand.NewPCG(seed, 1)), witnesses: map[string]*witns.Witness{}, maxDelayMicros: 1}
	c.roster = magno.Roster{Until: 10 * startTime, DataCentres: map[string]string{}}
	for i := range 9 {
		name := fmt.Sprintf("w%d", i)
		c.roster.Members = append(c.roster.Members, name)
		c.roster.DataCentres[name] = fmt.Sprint("dc", i%4)
		c.startWitness(name)
	}
	c.clock.Advance(2*skew + 1)
	return c
}

// startWitness replaces the process in a slot.
func (c *cluster) startWitness(name string) {
	w := &witns.Witness{Self: name, Clock: c.clock, Retention: retention, MaxSkew: skew, MaxKeys: 10000}
	w.Open()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.witnesses[name] = w
}

func (c *cluster) newLedger(name string) *Ledger {
	c.ledgerCount++
	return &Ledger{
		Clock: c.clock, Self: name, Incarnation: fmt.Sprint(c.ledgerCount), Asker: c.network,
		Rosters:   func() []magno.Roster { return []magno.Roster{c.roster} },
		Retention: retention, MaxSkew: skew, RoundTimeout: magno.Minute, MaxKeys: 100, MaxBytes: 1 << 20,
	}
}

// key returns a key with the given issue time.
func key(at magno.Millis, number int) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(number >> 8), 15: byte(number)}
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	return id.String()
}

// denied stands for an answer that says that the request was not run.
const denied = "denied"

// event is the input of an operation: a run at an upstream, or a call.
type event struct {
	key int
	run bool
}

// singleRunModel checks the operations on one key: there is at most one run, every answer
// is that of the run, and none says "not run" if there was a run.
var singleRunModel = porcupine.Model{
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

// recorder collects the operations of a concurrent history.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (rec *recorder) add(client int, in event, from time.Time, out string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.ops = append(rec.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: from.UnixNano(), Output: out, Return: time.Now().UnixNano(),
	})
}

// Guards against a receipt that is counted twice, answered with another request's answer,
// or counted after its caller was told "not run". Callers repeatedly send the same keys
// through all agents in parallel, while messages are lost and witnesses and agents are
// replaced.
func TestHistoriesOfConcurrentCallers(t *testing.T) {
	first, _ := strconv.ParseUint(flag.Lookup("rapid.seed").Value.String(), 10, 64)
	for seed := first; seed < first+uint64(historyCount); seed++ {
		rec := &recorder{}
		runCallers(newCluster(seed), rec)
		if !porcupine.CheckOperations(singleRunModel, rec.ops) {
			t.Errorf("seed %d: the history is inconsistent with one run per key", seed)
		}
		answers := map[string]int{}
		for _, op := range rec.ops {
			if !op.Input.(event).run {
				answers[answerKind(op.Output.(string))]++
			}
		}
		t.Logf("seed %d: %d events, answers %v", seed, len(rec.ops), answers)
	}
}

func answerKind(text string) string {
	if text == denied || text == "unknown" {
		return text
	}
	return "result"
}

// runCallers runs parallel callers that send keys through three agents.
func runCallers(c *cluster, rec *recorder) {
	const callers, keys, sends = 6, 12, 30
	c.network.lossPercent, c.network.maxDelayMicros = 2, 400
	ledgers := make([]*Ledger, 3)
	for i := range ledgers {
		ledgers[i] = c.newLedger(fmt.Sprint("h", i))
		ledgers[i].RoundTimeout = 20
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	at := c.clock.Now()
	for caller := range callers {
		wg.Go(func() {
			for range sends {
				n := c.network.intN(keys)
				mu.Lock()
				i := c.network.intN(len(ledgers))
				l := ledgers[i]
				switch c.network.intN(40) {
				case 0:
					ledgers[i] = c.newLedger(l.Self)
					ledgers[i].RoundTimeout = 20
				case 1:
					c.startWitness(fmt.Sprint("w", c.network.intN(9)))
				}
				mu.Unlock()
				sendOnce(c, rec, l, caller, n, at)
			}
		})
	}
	wg.Wait()
}

// sendOnce sends a key once and records the run, if there is one, and the answer.
func sendOnce(c *cluster, rec *recorder, l *Ledger, caller, n int, at magno.Millis) {
	from := time.Now()
	reply := l.Do(context.Background(), Call{Key: key(at, n), BodyHash: 7}, func(context.Context) magno.RunReply {
		runStarted := time.Now()
		time.Sleep(time.Duration(c.network.intN(2000)) * time.Microsecond)
		if c.network.intN(5) == 0 {
			return magno.RunReply{Refusal: magno.Refuse(magno.KindBusy, "full")}
		}
		text := fmt.Sprint(n, " by ", l.Holder())
		rec.add(caller+100, event{n, true}, runStarted, text)
		return magno.RunReply{Result: &magno.Result{Text: text}}
	})
	out := "unknown"
	switch {
	case reply.Result != nil:
		out = reply.Result.Text
	case reply.Refusal.Run == magno.RunNo:
		out = denied
	}
	rec.add(caller, event{n, false}, from, out)
}
