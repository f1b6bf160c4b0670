package peers

import "testing"

// FuzzParse checks that parse accepts no file without addresses. Fleet files may be
// written by hand.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "{}", `{"admins": ["127.0.0.1:1", /* gone */],}`, `{"admins": 3}`, `[]`, "{//"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := parse("f", data); err == nil && len(p.Addresses) == 0 {
			t.Errorf("%q gives a fleet without addresses", data)
		}
	})
}
