package keys

import (
	"testing"

	"magnoliastall.example/magno"
)

func testTable() *Table {
	return New([]magno.Customer{
		{Name: "a", Keys: []magno.Digest{magno.DigestOf("one"), magno.DigestOf("two")}},
		{Name: "b", Keys: []magno.Digest{magno.DigestOf("three")}},
		{Name: "none"},
	})
}

func TestFind(t *testing.T) {
	for _, c := range []struct{ header, want string }{
		{"Bearer one", "a"},
		{"bearer  two ", "a"},
		{"Bearer three", "b"},
		{"Bearer four", ""},
		{"Basic one", ""},
		{"Bearer", ""},
		{"Bearer ", ""},
		{"one", ""},
		{"", ""},
		{"Bearer " + magno.DigestOf("one").String(), ""},
	} {
		name := ""
		if found := testTable().Find(c.header); found != nil {
			name = found.Name
		}
		if name != c.want {
			t.Errorf("Find(%q) = %q, want %q", c.header, name, c.want)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	k := testTable()
	for b.Loop() {
		k.Find("Bearer one")
	}
}
