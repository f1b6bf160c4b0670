package crash

import (
	"testing"

	"magnoliastall.example/magno"
)

// One request crashes each upstream that runs it. Its neighbours are suspects
// with it at first and must be cleared; it must be refused after its second
// crash, on whichever instance that was.
func TestCulpritIsFound(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	here, peer := &Suspects{Clock: clock}, &Suspects{Clock: clock}
	here.RecordCrash([]uint64{1, 2, 3, 0})
	peer.Merge(here.List())
	for _, print := range []uint64{1, 2, 3} {
		if !peer.MustRunAlone(print) || peer.MustRefuse(print) {
			t.Fatalf("print %d isn't a suspect", print)
		}
	}
	clock.Advance(10)
	peer.Clear(1)
	peer.Clear(2)
	peer.RecordCrash([]uint64{3})
	here.Merge(peer.List())
	if here.MustRunAlone(1) || here.MustRunAlone(2) || !here.MustRefuse(3) || here.MustRunAlone(0) {
		t.Fatalf("got %+v", here.List())
	}
	peer.Merge([]Record{{Fingerprint: 3, Crashes: 1, UpdatedAt: clock.Now() - 5}})
	if !peer.MustRefuse(3) {
		t.Fatal("older news won")
	}
	clock.Advance(Retention + 1)
	if here.MustRunAlone(3) || len(here.List()) != 0 {
		t.Fatal("a record never ends")
	}
}

// A flood of different requests meets crashes. Memory must stay bounded.
func TestRecordsAreBounded(t *testing.T) {
	s := &Suspects{Clock: magno.NewClock(1)}
	for i := range 3 * MaxRecords {
		s.RecordCrash([]uint64{uint64(i + 1)})
	}
	if n := len(s.List()); n != MaxRecords {
		t.Fatalf("%d records", n)
	}
}
