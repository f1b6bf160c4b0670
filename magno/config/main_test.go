package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for reproducible runs. The environment variables SEED and
// CHECKS override it for longer searches.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"}
	if seed := os.Getenv("SEED"); seed != "" {
		settings["rapid.seed"] = seed
	}
	if checks := os.Getenv("CHECKS"); checks != "" {
		settings["rapid.checks"] = checks
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
