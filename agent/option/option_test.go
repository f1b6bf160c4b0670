package option

import (
	"os"
	"testing"

	"magnoliastall.example/magno/setup"
)

// Operators look up settings in OPERATIONS.md. A key or value that it documents but the code
// rejects would keep their process from starting.
func TestPage(t *testing.T) {
	// The file is a symbolic link within the module: go test caches results and would otherwise
	// not notice a change of the page alone.
	text, err := os.ReadFile("testdata/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, wrong := range setup.DiffPage(string(text), "### Settings of agent", func() any { return Default() }) {
		t.Error(wrong)
	}
}
