package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"magnoliastall.example/stand/engine"
	"magnoliastall.example/stand/plain"
)

// fault injects a fault at a stand-in, given the offset of its admin port.
func (f *fleet) fault(offset int, order string) {
	f.t.Helper()
	resp, err := http.Post(f.url(offset)+"/fault", "application/json", strings.NewReader(order))
	if err != nil {
		f.t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode >= 300 {
		f.t.Fatalf("fault %s: %d %s", order, resp.StatusCode, body)
	}
}

// upstreamFault injects a fault at an agent's upstream.
func (f *fleet) upstreamFault(name, order string) { f.fault(500+f.index(name), order) }

// runsOf returns how often a body was run, over all plain services.
func (f *fleet) runsOf(body string) int {
	f.t.Helper()
	sum := plain.Expect("", []byte(body)).Sum
	n := 0
	for _, in := range f.instances {
		if in.Pool != "status" {
			continue
		}
		var counts plain.Counts
		if err := get(f.url(400+f.index(in.Name))+"/counts", &counts); err != nil {
			f.t.Fatal(err)
		}
		for _, r := range counts.Runs {
			if r.Body == sum {
				n++
			}
		}
	}
	return n
}

// engineRuns returns the requests that each engine ran.
func (f *fleet) engineRuns() map[string][]engine.Run {
	f.t.Helper()
	runs := map[string][]engine.Run{}
	for _, in := range f.instances {
		if in.Pool != "reading" {
			continue
		}
		var counts engine.Counts
		if err := get(f.url(400+f.index(in.Name))+"/counts", &counts); err == nil {
			runs[in.Name] = counts.Runs
		}
	}
	return runs
}

// publish publishes the configuration.
func (f *fleet) publish() {
	f.t.Helper()
	f.writeJSON("config.json", f.config)
	f.runStand("-config", filepath.Join(f.layout.Dir, "config.json"))
}

// publishList publishes the instance list.
func (f *fleet) publishList() {
	f.t.Helper()
	f.writeJSON("instances.json", map[string]any{"revision": 1, "instances": f.instances})
	f.runStand("-instances", filepath.Join(f.layout.Dir, "instances.json"))
}

func (f *fleet) runStand(args ...string) {
	f.t.Helper()
	args = append([]string{"publish", "-conf", f.url(11), "-list", f.url(21)}, args...)
	if out, err := exec.Command(filepath.Join(programDir, "stand"), args...).CombinedOutput(); err != nil {
		f.t.Fatalf("%s", out)
	}
}

func (f *fleet) writeJSON(name string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(f.layout.Dir, name), data, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// waitVersion waits until the version is active in every running process.
func (f *fleet) waitVersion(version int64) {
	f.t.Helper()
	for _, in := range f.instances {
		if f.processes[in.Name] == nil {
			continue
		}
		f.eventually(fmt.Sprintf("%s has version %d", in.Name, version), func() bool { return f.version(in.Name) >= version })
	}
}

// version returns the active configuration version of a process.
func (f *fleet) version(name string) int64 {
	var s struct {
		Config struct {
			Version int64 `json:"version"`
		} `json:"config"`
	}
	f.status(name, &s)
	return s.Config.Version
}

func writeFile(name, text string) error { return os.WriteFile(name, []byte(text), 0o600) }
