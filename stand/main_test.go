package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/setup"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"stand": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// The process must log its address only once it listens, and stop on the signal that
// a demo sends. A process that keeps running would hold its ports.
func TestSignalEnds(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, "stand", "-kind", "engine", "-name", "e1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	lines.Scan()
	found := regexp.MustCompile(`msg=listening addr=(\S+) name=e1 kind=engine$`).FindStringSubmatch(lines.Text())
	if found == nil {
		t.Fatalf("first line: %s", lines.Text())
	}
	if status, body := get(t, "http://"+found[1]+"/v1/report"); status != http.StatusOK {
		t.Errorf("%d %s", status, body)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	if err := cmd.Wait(); err != nil || !strings.HasSuffix(last, "msg=stopped") {
		t.Errorf("ended with %v, last line: %s", err, last)
	}
}

// TestHostsSeveral runs all kinds of service in one process, as a demo does.
func TestHostsSeveral(t *testing.T) {
	text := `{"kind": "all", "stands": [ // one of each
		{"kind": "store", "name": "s1", "listen": "127.0.0.1:0"},
		{"kind": "engine", "name": "e1", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		{"kind": "plain", "name": "p1", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		{"kind": "conf", "name": "c1", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		{"kind": "list", "name": "l1", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0"},
	]}`
	cfg := defaults()
	if err := setup.Parse("all.json", []byte(text), &cfg); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	tasks, err := buildTasks(cfg, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	supervisor := magno.Supervisor{Tasks: tasks}
	go func() { ended <- supervisor.Run(ctx) }()
	addrs := map[string]string{}
	for _, line := range regexp.MustCompile(`msg=listening addr=(\S+) name=(?:"([^"]+)"|(\S+))`).FindAllStringSubmatch(log.String(), -1) {
		addrs[line[2]+line[3]] = line[1]
	}
	for name, path := range map[string]string{
		"s1": "/counts", "e1": "/v1/report", "e1 admin": "/counts", "p1": "/report", "p1 admin": "/counts",
		"c1": "/v1/watch", "c1 admin": "/counts", "l1": "/v1/instances",
	} {
		if status, body := get(t, "http://"+addrs[name]+path); status != http.StatusOK {
			t.Errorf("%s at %q: %d %s", name, addrs[name], status, body)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func get(t testing.TB, url string) (int, string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// FuzzSettings checks that a service can be built from all settings that pass the
// checks.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"kind": "engine", "slots": 3}`))
	f.Add([]byte(`{"stands": [{"kind": "all"}]}`))
	f.Add([]byte(`{"rate": -1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg := defaults()
		if setup.Parse("f.json", data, &cfg) != nil {
			return
		}
		for _, one := range append([]config{cfg}, cfg.Services...) {
			if _, err := one.newService(); err != nil && one.Kind != kindAll {
				t.Errorf("%+v: %v", one, err)
			}
		}
	})
}
