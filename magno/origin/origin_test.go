package origin

import (
	"testing"

	"magnoliastall.example/magno"
)

const (
	service = "s"
	window  = 20 * magno.Second
)

// Guards against taking a service for one of a single build while another one may have begun streams
// that still last: it left a moment ago, was there while the list was out of date, or isn't known to a
// process that has just started.
func TestOneBuildCountsOnlyOnceNoOtherCanHaveBegunAStream(t *testing.T) {
	one, other, both := []string{"v1"}, []string{"v2"}, []string{"v1", "v2"}
	for _, c := range []struct {
		name string
		play func(t *Table, pass func(magno.Millis))
		// want is the build that was the only one for long, present the one that is as far as is known.
		want, present string
	}{
		{"just started", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: one})
			pass(window - 1)
		}, "", "v1"},
		{"one for long", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: one})
			pass(window / 2)
			table.Update(map[string][]string{service: one})
			pass(window / 2)
		}, "v1", "v1"},
		{"one, all of whose upstreams crashed", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: one})
			pass(window / 2)
			table.Update(map[string][]string{"other": other})
			pass(window / 2)
		}, "v1", "v1"},
		{"two side by side", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: one})
			pass(window)
			table.Update(map[string][]string{service: both})
			pass(window)
		}, "", ""},
		{"another one left a moment ago", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: both})
			pass(window)
			table.Update(map[string][]string{service: one})
			pass(window - 1)
		}, "", ""},
		{"another one left long ago", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: both})
			table.Update(map[string][]string{service: one})
			pass(window)
		}, "v1", "v1"},
		{"replaced at once", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: one})
			pass(window)
			table.Update(map[string][]string{service: other})
			pass(window - 1)
		}, "", ""},
		{"the list was out of date for a while", func(table *Table, pass func(magno.Millis)) {
			table.Update(map[string][]string{service: one})
			pass(window)
			table.Forget()
			pass(window - 1)
		}, "", "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := magno.NewClock(magno.Hour)
			table := &Table{Clock: clock}
			c.play(table, func(d magno.Millis) { clock.Advance(d) })
			build := func(o *Origin) string {
				if o == nil {
					return ""
				}
				return o.Build
			}
			if got := build(table.Sole(service, window)); got != c.want {
				t.Errorf("the only build for long is %q, want %q", got, c.want)
			}
			if got := build(table.Present(service, window)); got != c.present {
				t.Errorf("the only build at present is %q, want %q", got, c.present)
			}
			if got := table.Several(service, window); got != (c.present == "") {
				t.Errorf("several within the time: %v", got)
			}
		})
	}
}

// Guards against unbounded memory when many streams begin, and against losing the newest.
func TestRecordsAreBounded(t *testing.T) {
	table := &Table{Clock: magno.NewClock(1)}
	for i := range uint64(3 * MaxRecords) {
		table.Record(i, Origin{service, "v1"})
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
		table.Record(i, Origin{service, string(rune('a' + i))})
	}
	if len(table.origins) > maxOrigins {
		t.Errorf("%d origins, want %d at most", len(table.origins), maxOrigins)
	}
}

// BenchmarkRecord is the cost of a stream's record, once the table is full.
func BenchmarkRecord(b *testing.B) {
	table := &Table{Clock: magno.NewClock(1)}
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		table.Record(n, Origin{service, "v1"})
	}
}
