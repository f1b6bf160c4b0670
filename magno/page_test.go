package magno

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Callers implement error handling by the table in the README. A wrong row makes them
// repeat requests that were executed, or give up on requests that would succeed.
func TestKindsOnPage(t *testing.T) {
	// The file is a symbolic link within the module: go test doesn't track files outside
	// it, and would return a cached result after a change of the page alone.
	page, err := os.ReadFile("testdata/README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, found := strings.Cut(string(page), "\n### Error kinds\n")
	if !found {
		t.Fatal("the page has no table of error kinds")
	}
	text, _, _ = strings.Cut(text, "\n## ")
	if rows := strings.Count(text, "\n| `"); rows != len(Kinds()) {
		t.Errorf("the page has %d kinds, the code %d", rows, len(Kinds()))
	}
	words := map[bool]string{true: "yes", false: "no"}
	for _, k := range Kinds() {
		a := k.Answer()
		row := fmt.Sprintf("\n| `%s` | %d | %s | %s | ", k, a.Status, a.Run, words[a.Retryable])
		if !strings.Contains(text, row) {
			t.Errorf("the page lacks the row%s", row)
		}
	}
}
