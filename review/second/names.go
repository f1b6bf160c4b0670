package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names maps short names to those on the platform's wire and in its settings.
var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	m := map[string]string{}
	for _, line := range strings.Split(text, "\n") {
		if short, long, ok := strings.Cut(line, " = "); ok {
			m[short] = long
		}
	}
	return m
}
