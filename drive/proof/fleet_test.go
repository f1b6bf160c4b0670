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

// patience is how long a test waits for something that is bound to come; a
// busy machine is slow, not wrong.
const patience = 60 * time.Second

// programs is the folder of the built programs.
var programs string

// Ports of fleets lie below the range that the kernel hands out. Test
// processes that run at the same time begin at different places.
const (
	firstPort = 12000
	lastPort  = 31400
	perFleet  = 600
)

// nextPort is the lowest port of the next fleet. Fleets of one run never
// share ports.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + os.Getpid()%((lastPort-firstPort)/perFleet)*perFleet}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	programs = dir
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
	// bearer is the key that callers send, empty for none.
	bearer    string
	t         *testing.T
	layout    layout.Layout
	config    magno.Config
	instances []magno.Instance
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	starts    int
}

// newFleet writes a deployment, starts every process and waits until all are
// ready.
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
	f.read("instances.json", &list)
	f.instances = list.Instances
	t.Cleanup(f.end)
	f.start("stands")
	f.eventually("the stand-ins listen", func() bool { return f.put(11, "/v1/value/none", []byte("{}")) == nil })
	f.publish()
	f.list()
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
	for range (lastPort - firstPort) / perFleet {
		port := nextPort.port
		nextPort.port += perFleet
		if nextPort.port > lastPort {
			nextPort.port = firstPort
		}
		if free(port) {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// free tells whether nobody listens where a fleet would.
func free(port int) bool {
	for _, offset := range []int{10, 80, 200, 300, 400, 500} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+offset))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts a process of the layout; its log is in the layout's folder.
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
	cmd := exec.Command(filepath.Join(programs, program), "-config", filepath.Join(f.layout.Dir, name+".json"))
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

// kill ends a process at once and waits until it is gone.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	f.wait(name)
}

func (f *fleet) freeze(name string) { f.signal(name, syscall.SIGSTOP) }
func (f *fleet) wake(name string)   { f.signal(name, syscall.SIGCONT) }

// wait waits for a process's end and returns its exit code.
func (f *fleet) wait(name string) int {
	f.mu.Lock()
	cmd := f.processes[name]
	delete(f.processes, name)
	f.mu.Unlock()
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode()
}

// end ends every process that is left.
func (f *fleet) end() {
	if f.t.Failed() {
		f.logs()
	}
	for name, cmd := range f.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(f.processes, name)
	}
}

// logs shows warnings of a failed test's processes.
func (f *fleet) logs() {
	files, _ := filepath.Glob(filepath.Join(f.layout.Dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") || strings.Contains(line, "level=WARN") {
				f.t.Logf("%s: %s", filepath.Base(file), line)
			}
		}
	}
	out, _ := exec.Command(filepath.Join(programs, "magctl"), "trace", "-last", "60",
		"-fleet", filepath.Join(f.layout.Dir, "fleet.json")).CombinedOutput()
	f.t.Logf("time line:\n%s", out)
}

func (f *fleet) read(name string, into any) {
	f.t.Helper()
	data, err := os.ReadFile(filepath.Join(f.layout.Dir, name))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		f.t.Fatal(err)
	}
}

// eventually waits until happens returns true.
func (f *fleet) eventually(what string, happens func() bool) {
	f.t.Helper()
	limit := time.Now().Add(patience)
	for !happens() {
		if time.Now().After(limit) {
			f.t.Fatalf("never came about: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) url(offset int) string {
	return fmt.Sprintf("http://127.0.0.1:%d", f.layout.Port+offset)
}

// index returns the place of a name among the instances of its role.
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

// status reads a process's state.
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

// put publishes on an operators' port.
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
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
