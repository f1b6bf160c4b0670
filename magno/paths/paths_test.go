package paths

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

func TestFind(t *testing.T) {
	table := New(&magno.Plan{Routes: []magno.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "b", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/y", "x"},
		{"A.Example:80", "/x/1", "x"},
		{"a.example", "/other", "all"},
		{"b.example", "/x/y/z", "b"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		name := ""
		if r := table.Find(c.host, c.path); r != nil {
			name = r.Name
		}
		if name != c.want {
			t.Errorf("Find(%q, %q) = %q, want %q", c.host, c.path, name, c.want)
		}
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := &magno.Route{Parts: []magno.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("attempt", i)
		service := PickService(r, id)
		if again := PickService(r, id); again != service {
			t.Fatal("two services for one attempt")
		}
		n[service]++
	}
	if n["b"] < 900 || n["b"] > 1100 {
		t.Errorf("b got %d of 10000, want about 1000", n["b"])
	}
}

func BenchmarkFind(b *testing.B) {
	p := &magno.Plan{}
	for i := range 1000 {
		p.Routes = append(p.Routes, magno.Route{Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i)})
	}
	table := New(p)
	for b.Loop() {
		table.Find("a.example", "/r777/1f")
	}
}
