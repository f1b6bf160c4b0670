package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// BenchmarkStreams measures the CPU time of an engine process that streams to many
// callers with the default step of 5 ms. Run it with -benchtime 1x.
func BenchmarkStreams(b *testing.B) {
	const tokens = 1000
	for _, n := range []int{1, 32, 128, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				runStreams(b, n, tokens)
			}
		})
	}
}

func runStreams(b *testing.B, n, tokens int) {
	cmd := exec.CommandContext(b.Context(), "stand", "-kind", "engine", "-batch", fmt.Sprint(n), "-tokens", "1024")
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	lines.Scan()
	url := "http://" + regexp.MustCompile(`addr=(\S+)`).FindStringSubmatch(lines.Text())[1]
	post(b, url+"/v1/load_lora_adapter", map[string]any{"lora_name": "a@1"})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			prompt := fmt.Sprint("p ", i)
			text := post(b, url+"/v1/completions", map[string]any{"model": "a@1", "prompt": prompt, "max_tokens": tokens, "stream": true})
			if !strings.HasSuffix(text, "data: [DONE]\n\n") {
				b.Error("a stream was aborted")
			}
		})
	}
	wg.Wait()
	_, text := get(b, url+"/counts")
	var counts struct{ Steps, Used float64 }
	if err := json.Unmarshal([]byte(text), &counts); err != nil {
		b.Fatal(err)
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_, _ = io.Copy(io.Discard, out)
	if err := cmd.Wait(); err != nil {
		b.Fatal(err)
	}
	cpu := float64((cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Microseconds())
	b.ReportMetric(cpu/counts.Steps, "cpu-us/step")
	b.ReportMetric(cpu/counts.Used, "cpu-us/token")
}

func post(b *testing.B, url string, body any) string {
	data, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Error(err)
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}
