package keep

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno/gate"
)

// Three requests declare 900 tokens of output each, of 2,000 tokens of memory, and use 50. Guards against
// outputs that don't reach the gate, and against those of answers that broke off, which are shorter than
// whole ones.
func TestReportedOutputsAdmitMore(t *testing.T) {
	request := func(id string) gate.Request {
		r := permitRequest(id)
		r.Prompt, r.MaxOutput = 10, 900
		return r
	}
	for _, ok := range []bool{false, true} {
		t.Run(fmt.Sprintf("ok=%v", ok), func(t *testing.T) {
			a := start(t, newEngine())
			small := spec("r@1")
			small.Engine.Tokens = 2000
			if err := a.caller.Call(t.Context(), a.addr, gate.MethodStatus, gate.StatusCall{Entry: "e", Spec: small, Revision: 2}, &gate.StatusReply{}); err != nil {
				t.Fatal(err)
			}
			for i := range 40 {
				id := fmt.Sprint("past", i)
				if reply := <-a.ask(t.Context(), request(id)); reply == nil || reply.Refusal != nil {
					t.Fatalf("got %+v", reply)
				}
				if err := a.caller.Notify(t.Context(), a.addr, gate.MethodEnd, gate.EndCall{ID: id, OK: ok, Output: 50}); err != nil {
					t.Fatal(err)
				}
			}
			a.sendStatus(t, "r@1", 1)
			byLength := a.stats.byLength.Get()
			for i := range 2 {
				if reply := <-a.ask(t.Context(), request(fmt.Sprint(i))); reply == nil || reply.Refusal != nil {
					t.Fatalf("got %+v", reply)
				}
			}
			third := request("third")
			third.MaxWait = 1500
			reply := <-a.ask(t.Context(), third)
			if admitted := reply != nil && reply.Refusal == nil; admitted != ok {
				t.Errorf("got %+v, admitted %v, want %v", reply, admitted, ok)
			}
			if counted := a.stats.byLength.Get() > byLength; counted != ok {
				t.Errorf("counted as admitted by length: %v, want %v", counted, ok)
			}
		})
	}
}
