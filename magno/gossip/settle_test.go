package gossip

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

// marksTaken has the nodes count the marks that are news to them.
func (c *cluster) marksTaken() (taken *int) {
	taken = new(int)
	for _, n := range c.nodes {
		n.OnMark = func(Mark) { *taken++ }
	}
	return taken
}

// Guards against marks that are news for ever: more of them than a table holds, set at different processes, so that
// each has a full table with other marks and offers what the others lack.
func TestMarksBeyondTheBoundSettle(t *testing.T) {
	const ttl = 6 * magno.Minute
	for _, count := range []int{maxMarks / 2, maxMarks, maxMarks + 200} {
		t.Run(fmt.Sprintf("%d marks", count), func(t *testing.T) {
			c := newCluster(1, 2, 3)
			c.lossRate, c.delayRate = 0.05, 0.02
			c.run(10*magno.Second, nil)
			taken := c.marksTaken()
			for i := range count {
				c.nodes[i%len(c.nodes)].SetMark(Mark{Key: fmt.Sprint("k", i), Seq: 1, TTL: ttl})
			}
			c.run(ttl-30*magno.Second, nil)
			// A process takes a mark once for each number: a lower or equal one changes nothing, and none is dropped
			// before its time.
			if most := count * len(c.nodes); *taken > most {
				t.Errorf("taken %d times, at most %d expected", *taken, most)
			}
			before := *taken
			for _, n := range c.nodes {
				if len(n.table.queue) > 0 {
					t.Errorf("%s still has %d records to send", n.name, len(n.table.queue))
				}
			}
			c.run(20*magno.Second, nil)
			if *taken != before {
				t.Errorf("%d marks are still news", *taken-before)
			}
			c.checkSendRate(t)
			c.run(3*magno.Minute, nil)
			for _, n := range c.nodes {
				if n.table.marks > 0 {
					t.Errorf("%s has %d marks after their time", n.name, n.table.marks)
				}
			}
			t.Logf("taken %d times by %d processes", *taken, len(c.nodes))
		})
	}
}

// Guards against marks that outlive their time because messages are under way for long: each process that has dropped
// a mark takes it again from one that got it later, and passes it on.
func TestMarksExpireThoughMessagesAreLate(t *testing.T) {
	c := newCluster(1, 2, 4)
	c.run(10*magno.Second, nil)
	taken := c.marksTaken()
	c.delayRate = 1
	const marks, ttl = 20, 10 * magno.Second
	for i := range marks {
		c.nodes[i%len(c.nodes)].SetMark(Mark{Key: fmt.Sprint("k", i), Seq: 1, TTL: ttl})
	}
	c.run(ttl+2*magno.Minute, nil)
	for _, n := range c.nodes {
		if n.table.marks > 0 {
			t.Errorf("%s has %d marks two minutes after their time", n.name, n.table.marks)
		}
	}
	if *taken > marks*len(c.nodes) {
		t.Errorf("taken %d times, at most %d expected", *taken, marks*len(c.nodes))
	}
}
