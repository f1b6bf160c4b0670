package ticket

import (
	"testing"

	"magnoliastall.example/magno"
)

const plainKey = "01896d5c-8f00-7abc-8def-0123456789ab"

// Guards against accepting a key without an issue time, or taking a plain or
// malformed key for a ticket.
func TestParseAndIssueTime(t *testing.T) {
	tests := []struct {
		key    string
		timed  bool
		ticket bool
	}{
		{plainKey, true, false},
		{"delta/" + plainKey, true, false},
		{plainKey + ".4f2a.agent-7.east", false, true},
		{"", false, false},
		{"receipt-17", false, false},
		{"f47ac10b-58cc-4372-a567-0e02b2c3d479", false, false},
		{plainKey + "..agent", false, false},
		{plainKey + ".4f2a.", false, false},
		{"receipt.4f2a.agent", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			at, timed := IssueTime(tt.key)
			tk, ok := Parse(tt.key)
			if timed != tt.timed || ok != tt.ticket {
				t.Fatalf("time %d %v, ticket %+v %v", at, timed, tk, ok)
			}
			if timed && at != 0x01896d5c8f00 {
				t.Errorf("time %d", at)
			}
			if ok && (tk.String() != tt.key || tk.Agent != "agent-7.east") {
				t.Errorf("ticket %+v", tk)
			}
		})
	}
}

func TestNewKeyCarriesTheTime(t *testing.T) {
	before := (*magno.Clock)(nil).Now()
	key, err := NewKey()
	at, ok := IssueTime(key)
	if err != nil || !ok || at < before {
		t.Fatalf("%q %v: %d before %d", key, err, at, before)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(plainKey)
	f.Add(plainKey + ".4f2a.agent")
	f.Fuzz(func(t *testing.T, key string) {
		if tk, ok := Parse(key); ok && tk.String() != key {
			t.Fatalf("%q read as %q", key, tk)
		}
	})
}
