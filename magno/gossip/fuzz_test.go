package gossip

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// FuzzReceive feeds arbitrary JSON to a process, as a message and as a reply. A
// reply must not exceed the size limit.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `{"from": "b", "dc": "x", "records": [{"member": {"name": "c", "inc": 1, "state": "live"}}, {"mark": {"key": "k", "left": 9}}]}`,
		`{"records": [{}, {"member": null}, {"member": {"name": "a", "inc": 9, "state": "dead"}}]}`,
		`{"deltas": [null, {}], "version": 9}`, `{"sums": "AAECAw==", "scope": 7}`, `{"want": [-1, 99999], "scope": -1}`,
		`{"sum": 5, "version": -1, "age": -9223372036854775808}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in Message
		if json.Unmarshal(data, &in) != nil {
			return
		}
		clock := magno.NewClock(magno.Hour)
		s := &State{
			Self: Member{Name: "a", Role: magno.RoleAgent, DataCentre: "x", Address: "127.0.0.1:1"}, Clock: clock,
			Store: &config.Store{Clock: clock}, Rand: rand.New(rand.NewPCG(1, 1)),
		}
		if out, ok := s.Receive(&in); ok && out.Size() > maxMessageSize+messageOverhead {
			t.Errorf("%q: the reply has %d bytes", data, out.Size())
		}
		s.HandleReply(Outbound{Name: "b", Message: &Message{}}, &in)
		clock.Advance(Interval)
		s.Tick()
	})
}
