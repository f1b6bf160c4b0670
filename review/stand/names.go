package main

import (
	_ "embed"
	"strings"
)

// The platform's names and the form of its settings stand in text files.
var (
	//go:embed names.txt
	namesText string
	//go:embed settings.txt
	settingsText string
)

var names = parseNames()

func parseNames() map[string]string {
	m := map[string]string{}
	for _, line := range strings.Split(namesText, "\n") {
		if key, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			m[key] = name
		}
	}
	return m
}

// settings returns the text of a settings file. Lines whose field is empty are left out.
func settings(fields map[string]string) string {
	var b strings.Builder
	for _, line := range strings.Split(settingsText, "\n") {
		empty := false
		for key, value := range fields {
			if strings.Contains(line, "{"+key+"}") {
				empty = empty || value == ""
				line = strings.ReplaceAll(line, "{"+key+"}", value)
			}
		}
		if !empty && line != "" {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}
