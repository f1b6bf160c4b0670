package option

import (
	"os"
	"testing"

	"magnoliastall.example/magno/setup"
)

// Guards against a settings page that lists a key, default or range that the code doesn't
// have: an operator who uses it gets a process that doesn't start.
func TestPage(t *testing.T) {
	// The file is a symbolic link within the module: otherwise go test would return a
	// cached result after a change of the page alone.
	text, err := os.ReadFile("testdata/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, wrong := range setup.DiffPage(string(text), "### Settings of entry", func() any { return Default() }) {
		t.Error(wrong)
	}
}
