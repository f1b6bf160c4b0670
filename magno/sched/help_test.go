package sched

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// TestMain fixes the seed so that every run gives the same result. Use -rapid.seed
// and -rapid.checks to try other seeds.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}
