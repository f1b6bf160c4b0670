package ask

import (
	"encoding/json"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/witns"
)

// FuzzGrant sends arbitrary grant calls to a witness. The reply must name either a holder or a
// reason, and once a key is granted, a second holder must not get it.
func FuzzGrant(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"member": "w", "key": "0191e0f4-0000-7000-8000-000000000000", "holder": "a/1"}`,
		`{"member": "w", "key": "x", "holder": ""}`, `{"member": "w", "key": "0191e0f4-0000-7000-8000-000000000000", "holder": "a", "cede": "b"}`,
	} {
		f.Add([]byte(seed))
	}
	const issued = 0x0191e0f40000
	f.Fuzz(func(t *testing.T, data []byte) {
		var call magno.GrantCall
		if json.Unmarshal(data, &call) != nil {
			return
		}
		clock := magno.NewClock(issued - magno.Hour)
		w := &witns.Witness{Self: "w", Clock: clock}
		w.Open()
		clock.Advance(magno.Hour)
		reply := w.Grant(call)
		if (reply.Holder == "") == (reply.Reason == "") {
			t.Fatalf("%q: %+v", data, reply)
		}
		call.Holder += "'"
		call.Cede = ""
		if second := w.Grant(call); reply.Holder != "" && second.Holder != reply.Holder {
			t.Errorf("%q: %+v, then %+v", data, reply, second)
		}
	})
}
