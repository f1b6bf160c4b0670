package main

import (
	"os"
	"testing"

	"magnoliastall.example/magno/setup"
)

// The page must list exactly the settings of the program: a documented key that no
// longer exists would make the program fail at start.
func TestPage(t *testing.T) {
	// The file is a symbolic link within the module. Otherwise go test would return a
	// cached result when only the page has changed.
	text, err := os.ReadFile("testdata/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	fresh := func() any {
		c := defaults()
		return &c
	}
	for _, wrong := range setup.DiffPage(string(text), "### Settings of stand", fresh) {
		t.Error(wrong)
	}
}
