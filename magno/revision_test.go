package magno

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a revision of a restored list that orders before one of an earlier era.
func TestRevisionsOrderByEraThenNumber(t *testing.T) {
	draw := func(t *rapid.T, name string) (int64, int64, Revision) {
		era, number := rapid.Int64Range(0, maxRevisionEra).Draw(t, name), rapid.Int64Range(0, maxRevisionNumber).Draw(t, name)
		r, err := NewRevision(era, number)
		if err != nil || r.Era() != era || r.Number() != number {
			t.Fatalf("revision %d of era %d is %d of era %d, %v", number, era, r.Number(), r.Era(), err)
		}
		return era, number, r
	}
	rapid.Check(t, func(t *rapid.T) {
		e1, n1, r1 := draw(t, "a")
		e2, n2, r2 := draw(t, "b")
		if want := e1 < e2 || (e1 == e2 && n1 < n2); (r1 < r2) != want {
			t.Fatalf("%s < %s is %t", r1, r2, !want)
		}
	})
}

// Guards against a number that the platform can't have meant, which would be taken for another era.
func TestRevisionOutOfRangeIsRejected(t *testing.T) {
	for _, c := range [][2]int64{{-1, 0}, {0, -1}, {maxRevisionEra + 1, 0}, {0, maxRevisionNumber + 1}} {
		if r, err := NewRevision(c[0], c[1]); err == nil {
			t.Errorf("number %d of era %d is accepted as %s", c[1], c[0], r)
		}
	}
}
