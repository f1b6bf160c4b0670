package main

import (
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/check"
	"magnoliastall.example/magno/setup"
)

// readConfig reads a configuration file, a magno.Config with its version, and
// validates it by the same rules as the daemons. old are the rosters of the active
// configuration.
func readConfig(file string, old []magno.Roster) (*magno.Config, []*setup.Error, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	cfg := &magno.Config{}
	if err := setup.Parse(file, data, cfg); err != nil {
		if fault, ok := err.(*setup.Error); ok { //nolint:errorlint // Parse returns it bare
			return nil, []*setup.Error{fault}, nil
		}
		return nil, nil, err
	}
	text, err := hujson.Standardize(data)
	if err != nil {
		return nil, nil, err
	}
	checker := check.New(&magno.Clock{})
	return cfg, checker.Validate(cfg, []check.Shard{{Name: file, Text: text}}, old), nil
}

// encodeJSON returns a value as JSON, for comparison.
func encodeJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(data)
}
