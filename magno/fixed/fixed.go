// Package fixed makes property-based tests reproducible by a fixed random seed.
package fixed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package with a fixed seed and the given average number of steps
// of state machine tests, and exits. Flags on the command line take precedence: -rapid.seed
// and -rapid.checks try other seeds. No failure files are written.
func Main(m *testing.M, steps int) {
	settings := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": strconv.Itoa(steps)}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package doesn't import rapid and needs no Main
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
