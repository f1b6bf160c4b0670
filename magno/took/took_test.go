package took

import (
	"fmt"
	"testing"

	"magnoliastall.example/magno"
)

func TestMostRequestsEndInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		took []magno.Millis
		want magno.Millis
	}{
		{"one", []magno.Millis{300}, 300},
		{"a few", []magno.Millis{300, 100, 200}, 300},
		{"longer than an hour", []magno.Millis{2 * magno.Hour}, magno.Hour},
	} {
		var times Times
		if _, ok := times.Most("a"); ok {
			t.Error("something is known of no request")
		}
		for _, took := range c.took {
			times.Add("a", took)
		}
		if got, ok := times.Most("a"); !ok || got != c.want {
			t.Errorf("%s: %d ms, want %d", c.name, got, c.want)
		}
		if _, ok := times.Most("b"); ok {
			t.Error("something is known of another key")
		}
	}
}

// Guards against one slow request in a dozen that counts for all, and against old requests that count for ever.
func TestFewSlowRequestsDoNotCount(t *testing.T) {
	var times Times
	for i := range samples {
		took := magno.Millis(100)
		if i < exceeding {
			took = 5000
		}
		times.Add("a", took)
	}
	if got, _ := times.Most("a"); got != 100 {
		t.Errorf("%d ms", got)
	}
	times.Add("a", 5000) // takes the place of one that took as long
	times.Add("a", 5000)
	times.Add("a", 5000)
	if got, _ := times.Most("a"); got != 5000 {
		t.Errorf("one in eight is slow: %d ms", got)
	}
	for range samples {
		times.Add("a", 50)
	}
	if got, _ := times.Most("a"); got != 50 {
		t.Errorf("they are fast now: %d ms", got)
	}
}

// Guards against samples that are kept for as many routes as there ever were.
func TestKeysAreBounded(t *testing.T) {
	var times Times
	for i := range 2 * maxKeys {
		times.Add(fmt.Sprint(i), 1)
	}
	if n := times.keys.Len(); n != maxKeys {
		t.Errorf("%d keys", n)
	}
}
