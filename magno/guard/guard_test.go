package guard

import "testing"

func TestAllows(t *testing.T) {
	tests := []struct {
		networks []string
		remote   string
		want     bool
	}{
		{nil, "127.0.0.1:80", true},
		{nil, "10.0.0.1:80", false},
		{[]string{"10.1.0.0/16"}, "10.1.2.3:5", true},
		{[]string{"10.1.0.0/16"}, "10.2.2.3:5", false},
		{[]string{"10.1.0.7"}, "10.1.0.7", true},
		{[]string{"10.1.0.7"}, "[::ffff:10.1.0.7]:9", true},
		{[]string{"10.1.0.7"}, "no address", false},
	}
	for _, tt := range tests {
		g, err := New(tt.networks)
		if err != nil {
			t.Fatal(err)
		}
		if got := g.Allows(tt.remote); got != tt.want {
			t.Errorf("%v allows %s: %v", tt.networks, tt.remote, got)
		}
	}
	if _, err := New([]string{"10.0.0.0/99"}); err == nil {
		t.Error("invalid network accepted")
	}
}
