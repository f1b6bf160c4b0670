package site

import (
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an upstream that restarted under its name staying unused because of what it
// stated before, and against a statement being forgotten while the upstream still leaves.
func TestStatementsEndWithTheLifeOfTheUpstream(t *testing.T) {
	ready, leaving := &magno.Replica{Since: 4}, &magno.Replica{Since: 4, Leaving: true}
	era, err := magno.NewRevision(1, 3)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		before, now *magno.Replica
		same        bool
	}{
		"unchanged":       {ready, ready, true},
		"begins":          {ready, leaving, true},
		"still leaving":   {leaving, leaving, true},
		"ready again":     {leaving, ready, false},
		"listed anew":     {ready, &magno.Replica{Since: 9}, false},
		"after a restore": {ready, &magno.Replica{Since: era}, true},
		"ready after it":  {leaving, &magno.Replica{Since: era}, false},
		"first listed":    {nil, ready, false},
		"no longer":       {ready, nil, false},
		"never was here":  {nil, nil, false},
	} {
		if got := sameLife(c.before, c.now); got != c.same {
			t.Errorf("%s: got %t", name, got)
		}
	}
}
