package setup

import (
	"sort"
	"strings"
	"testing"
)

// DiffPage must detect each way in which the page can differ from the code.
func TestPageDiffers(t *testing.T) {
	const good = "\n## S\n\n| `listen` | text | `\"\"` | | address |\n" +
		"| `limit` | integer | `1` | 1 to 10 | most |\n| `peers` | list | `null` | | who |\n"
	tests := []struct{ name, old, with, want string }{
		{"sound", "", "", ""},
		{"key gone", "| `peers`", "| `pears`", "pears: not in the code; peers: not on the page"},
		{"type", "integer", "text", "limit: the page has text, the code integer"},
		{"default", "`1`", "`2`", "limit: the page has `2`, the code `1`"},
		{"meaning", "most", "least", `limit: the page's meaning doesn't begin with "most"`},
		{"no range", "1 to 10", "any", `limit: the page has "any" for a range`},
		{"range too wide", "to 10", "to 11", "limit: the page has 1 to 11, the code says of 11: page:1: limit: 11 is out of range 1 to 10"},
		{"range too narrow", "to 10", "to 9", "limit: the page has 1 to 9, the code says of 10: <nil>"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			page := strings.Replace(good, tt.old, tt.with, 1)
			wrong := DiffPage(page, "## S", func() any { return &sample{Limit: 1} })
			sort.Strings(wrong)
			if got := strings.Join(wrong, "; "); got != tt.want {
				t.Fatalf("got %s", got)
			}
		})
	}
}
