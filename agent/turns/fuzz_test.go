package turns

import (
	"encoding/json"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/turn"
)

// FuzzAsk sends arbitrary requests to a coordinator. It must not grant more turns at a time than
// the limit allows, and none to an agent that did not request one.
func FuzzAsk(f *testing.F) {
	for _, seed := range []string{`{}`, `null`, `{"agent": "a", "harm": -1e308}`, `{"agent": "", "ref": {"adapter": "x"}, "harm": 1e308}`, `{"id": 7}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var a turnRequest
		var e turnEnd
		if json.Unmarshal(data, &a) != nil || json.Unmarshal(data, &e) != nil {
			return
		}
		clock := magno.NewClock(magno.Hour)
		k := newCoordinator(&Turns{Clock: clock, LoadLimits: func() (float64, int) { return 1, 1 }, LoadTime: func() magno.Millis { return 1 }})
		first, second := make(chan turn.Turn, 2), make(chan turn.Turn, 2)
		k.submit(a, first)
		k.grant()
		clock.Advance(magno.Second)
		k.submit(turnRequest{Agent: "other"}, second)
		k.grant()
		k.leases.Release(e.ID)
		if len(first)+len(second) > 1 {
			t.Errorf("%q: two turns", data)
		}
	})
}
