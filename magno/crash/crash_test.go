package crash

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against a request that crashes each upstream on which it runs. Requests
// that ran beside it at first are suspects too and must be cleared; it must be
// refused after its second crash, whichever instance saw that.
func TestCrashingRequestIsIdentified(t *testing.T) {
	clock := magno.NewClock(1_000_000)
	local, peer := &Suspects{Clock: clock}, &Suspects{Clock: clock}
	local.RecordCrash([]uint64{1, 2, 3, 0})
	peer.Merge(local.List())
	for _, fingerprint := range []uint64{1, 2, 3} {
		if !peer.MustRunAlone(fingerprint) || peer.MustRefuse(fingerprint) {
			t.Fatalf("fingerprint %d isn't a suspect", fingerprint)
		}
	}
	clock.Advance(10)
	peer.Clear(1)
	peer.Clear(2)
	peer.RecordCrash([]uint64{3})
	local.Merge(peer.List())
	if local.MustRunAlone(1) || local.MustRunAlone(2) || !local.MustRefuse(3) || local.MustRunAlone(0) {
		t.Fatalf("got %+v", local.List())
	}
	peer.Merge([]Record{{Fingerprint: 3, Crashes: 1, UpdatedAt: clock.Now() - 5}})
	if !peer.MustRefuse(3) {
		t.Fatal("an older record replaced a newer one")
	}
	clock.Advance(Retention + 1)
	if local.MustRunAlone(3) || len(local.List()) != 0 {
		t.Fatal("a record did not expire")
	}
}

// Guards against unbounded memory when many different requests run into crashes.
func TestRecordsAreBounded(t *testing.T) {
	s := &Suspects{Clock: magno.NewClock(1)}
	for i := range 3 * MaxRecords {
		s.RecordCrash([]uint64{uint64(i + 1)})
	}
	if n := len(s.List()); n != MaxRecords {
		t.Fatalf("%d records", n)
	}
}
