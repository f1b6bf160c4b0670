package origin

import "testing"

// Guards against unbounded memory when many streams begin, and against losing the newest.
func TestRecordsAreBounded(t *testing.T) {
	table := &Table{}
	for i := range uint64(3 * MaxRecords) {
		table.Record(i, Origin{"s", "v1"})
	}
	if n := table.records.Len(); n != MaxRecords {
		t.Errorf("%d records, want %d", n, MaxRecords)
	}
	if o := table.Find(3*MaxRecords - 1); o == nil || o.Build != "v1" {
		t.Errorf("the newest stream began at %v, want v1", o)
	}
	if table.Find(1) != nil {
		t.Error("the oldest stream is still recorded")
	}
	for i := range uint64(3 * maxOrigins) {
		table.Record(i, Origin{"s", string(rune('a' + i))})
	}
	if len(table.origins) > maxOrigins {
		t.Errorf("%d origins, want %d at most", len(table.origins), maxOrigins)
	}
}

// BenchmarkRecord is the cost of a stream's record, once the table is full.
func BenchmarkRecord(b *testing.B) {
	table := &Table{}
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		table.Record(n, Origin{"s", "v1"})
	}
}
