package live

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"magnoliastall.example/magno"
)

// ReadLayout fills Entries, Upstreams and Config from the folder of a layout.
func (l *LoadTest) ReadLayout(dir string) error {
	if err := readJSON(filepath.Join(dir, "config.json"), &l.Config); err != nil {
		return err
	}
	var stands struct {
		Stands []struct {
			Kind   string `json:"kind"`
			Name   string `json:"name"`
			Listen string `json:"listen"`
		} `json:"stands"`
	}
	if err := readJSON(filepath.Join(dir, "stands.json"), &stands); err != nil {
		return err
	}
	for _, s := range stands.Stands {
		if s.Kind == "engine" || s.Kind == "plain" {
			l.Upstreams = append(l.Upstreams, Upstream{Name: s.Name, URL: "http://" + s.Listen, Plain: s.Kind == "plain"})
		}
	}
	data, err := os.ReadFile(filepath.Join(dir, "processes"))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(data)) {
		var role, file string
		if _, err := fmt.Sscan(line, &role, &file); err != nil || role != string(magno.RoleEntry) {
			continue
		}
		var entry struct {
			Listen string `json:"listen"`
		}
		if err := readJSON(filepath.Join(dir, file), &entry); err != nil {
			return err
		}
		l.Entries = append(l.Entries, "http://"+entry.Listen)
	}
	return nil
}

func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
