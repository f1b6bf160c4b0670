package magno

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Callers write their handling of refusals by the table on the first page. A
// row that is wrong there has them send again what ran, or give up what would
// have been served.
func TestKindsOnPage(t *testing.T) {
	// The name is a link within the module: go test otherwise gives an old result
	// again when the page alone has changed.
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
