package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"magnoliastall.example/drive/layout"
	"magnoliastall.example/magno"
)

// waitTimeout is how long a test waits for a condition. It is generous, because a busy
// machine is slow but not faulty.
const waitTimeout = 60 * time.Second

// programDir is the folder of the built programs.
var programDir string

// Ports of fleets lie below the kernel's ephemeral range. Test processes that run at the
// same time begin at different ports.
const (
	firstPort     = 12000
	lastPort      = 31400
	portsPerFleet = 600
)

// nextPort is the lowest port of the next fleet. Fleets of one test process never share
// ports.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + os.Getpid()%((lastPort-firstPort)/portsPerFleet)*portsPerFleet}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	programDir = dir
	for _, name := range []string{"stand", "agent", "entry", "magctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "magnoliastall.example/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Printf("%s\n", out)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a deployment of real processes.
type fleet struct {
	// bearer is the API key that callers send, caller their name, each empty for none.
	bearer    string
	caller    string
	t         *testing.T
	layout    layout.Layout
	config    magno.Config
	instances []magno.Instance
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	starts    int
}

// newFleet writes a deployment, starts all processes and waits until they are ready.
func newFleet(t *testing.T, l layout.Layout) *fleet {
	t.Helper()
	l.Dir, l.Deployment = t.TempDir(), "delta"
	l.Port = freePorts(t)
	if l.Entries == 0 {
		l.Entries = 2
	}
	f := &fleet{t: t, layout: l, processes: map[string]*exec.Cmd{}}
	if err := l.Write(); err != nil {
		t.Fatal(err)
	}
	f.config = l.Config(1)
	var list struct{ Instances []magno.Instance }
	f.readFile("instances.json", &list)
	f.instances = list.Instances
	t.Cleanup(f.killAll)
	f.start("stands")
	f.eventually("the stand-ins listen", func() bool { return f.put(11, "/v1/value/none", []byte("{}")) == nil })
	f.publish()
	f.publishList()
	for _, in := range f.instances {
		f.start(in.Name)
	}
	f.ready()
	return f
}

func freePorts(t *testing.T) int {
	t.Helper()
	nextPort.Lock()
	defer nextPort.Unlock()
	for range (lastPort - firstPort) / portsPerFleet {
		port := nextPort.port
		nextPort.port += portsPerFleet
		if nextPort.port > lastPort {
			nextPort.port = firstPort
		}
		if portsFree(port) {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// portsFree returns whether nothing listens on the ports of a fleet.
func portsFree(port int) bool {
	for _, offset := range []int{10, 80, 200, 300, 400, 500} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts a process of the layout. Its log is written to the layout's folder.
func (f *fleet) start(name string) {
	f.t.Helper()
	program := "agent"
	switch {
	case name == "stands":
		program = "stand"
	case strings.HasPrefix(name, "e"):
		program = "entry"
	}
	f.starts++
	log, err := os.Create(filepath.Join(f.layout.Dir, fmt.Sprintf("%s.%d.log", name, f.starts)))
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(programDir, program), "-config", filepath.Join(f.layout.Dir, name+".json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.processes[name] = cmd
	f.mu.Unlock()
}

// signal sends a signal to one process of this fleet.
func (f *fleet) signal(name string, sig syscall.Signal) {
	f.t.Helper()
	f.mu.Lock()
	cmd := f.processes[name]
	f.mu.Unlock()
	if err := cmd.Process.Signal(sig); err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
}

// kill kills a process and waits until it has exited.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	f.wait(name)
}

func (f *fleet) pause(name string)  { f.signal(name, syscall.SIGSTOP) }
func (f *fleet) resume(name string) { f.signal(name, syscall.SIGCONT) }

// wait waits until a process exits and returns its exit code.
func (f *fleet) wait(name string) int {
	f.mu.Lock()
	cmd := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// killAll kills all remaining processes.
func (f *fleet) killAll() {
	if f.t.Failed() {
		f.dumpLogs()
	}
	for name, cmd := range f.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(f.processes, name)
	}
}

// dumpLogs logs the warnings of the processes of a failed test.
func (f *fleet) dumpLogs() {
	files, _ := filepath.Glob(filepath.Join(f.layout.Dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") || strings.Contains(line, "level=WARN") {
				f.t.Logf("%s: %s", filepath.Base(file), line)
			}
		}
	}
	out, _ := exec.Command(filepath.Join(programDir, "magctl"), "trace", "-last", "60",
		"-fleet", filepath.Join(f.layout.Dir, "fleet.json")).CombinedOutput()
	f.t.Logf("timeline:\n%s", out)
}

func (f *fleet) readFile(name string, into any) {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(f.layout.Dir, name))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		f.t.Fatal(err)
	}
}

// eventually polls until happens returns true, and fails the test after waitTimeout.
func (f *fleet) eventually(what string, happens func() bool) {
	f.t.Helper()
	limit := time.Now().Add(waitTimeout)
	for !happens() {
		if time.Now().After(limit) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) url(offset int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", f.layout.Port+offset)
}

// index returns the position of a name among the instances of its role.
func (f *fleet) index(name string) int {
	f.t.Helper()
	n := 0
	for _, in := range f.instances {
		if in.Name == name {
			return n
		}
		if (in.Role == magno.RoleEntry) == strings.HasPrefix(name, "e") {
			n++
		}
	}
	f.t.Fatalf("no instance %s", name)
	return 0
}

// ready waits until every running process is ready.
func (f *fleet) ready() {
	f.t.Helper()
	for _, in := range f.instances {
		if f.processes[in.Name] == nil {
			continue
		}
		f.eventually(in.Name+" is ready", func() bool { return f.isReady(in.Name) })
	}
}

func (f *fleet) admin(name string) string {
	if strings.HasPrefix(name, "e") {
		return f.url(90 + f.index(name))
	}
	return f.url(300 + f.index(name))
}

func (f *fleet) isReady(name string) bool {
	resp, err := http.Get(f.admin(name) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// status reads the status of a process.
func (f *fleet) status(name string, into any) bool {
	return get(f.admin(name)+"/v1/status", into) == nil
}

func get(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// put sends a PUT request to an admin port.
func (f *fleet) put(offset int, path string, data []byte) error {
	req, err := http.NewRequest(http.MethodPut, f.url(offset)+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	return nil
}
