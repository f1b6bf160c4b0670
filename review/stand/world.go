package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"magnoliastall.example/platform/fake"
)

// world is a small deployment: the project's programs as processes, and stand-ins for the store, the workers and the
// clients in this process.
type world struct {
	dir, bin string
	net      byte // the third byte of all addresses
	store    *fake.Store
	// lock is the listener of the store.
	lock    net.Listener
	seeds   string
	procs   []*proc
	started time.Time
	// bounds are further fields of the settings, empty where they aren\'t in force.
	bounds map[string]string

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	bin, err := filepath.Abs(os.Getenv("TARGET"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, bin: bin, store: fake.NewStore(), started: time.Now(), record: f}
	for n := byte(1); n < 250 && w.lock == nil; n++ {
		w.net = n
		w.lock, _ = net.Listen("tcp", w.ip(2)+":7502") // another run may use these addresses
	}
	if w.lock == nil {
		return nil, errors.New("no addresses are free")
	}
	w.seeds = w.ip(11) + ":7504," + w.ip(12) + ":7504"
	go func() { _ = http.Serve(w.lock, w.store) }()
	return w, nil
}

// ip returns a loopback address.
func (w *world) ip(host int) string { return fmt.Sprintf("127.77.%d.%d", w.net, host) }

func (w *world) now() time.Duration { return time.Since(w.started) }

// logf writes a line to the record, with the time since the start in seconds.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// serve serves on an address.
func (w *world) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// proc is a process of the system.
type proc struct {
	world                    *world
	name, kind, settings, ip string
	fields                   map[string]string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	stopped                  bool
	exits                    int
}

// entry starts an entry, agent one beside the worker at an address.
func (w *world) entry(i int) (*proc, error) {
	ip := w.ip(10 + i)
	return w.start("entry", ip, map[string]string{
		"name": "frontend-" + strconv.Itoa(i), "role": "entry", "class": "frontend", "serves": "frontend,control_plane", "ip": ip,
		"callers": ip + ":7509", "readyaddr": ip + ":7501", "peers": ip + ":7504", "app": "", "service": "",
	})
}

func (w *world) agent(i int, service string) (*proc, error) {
	ip := w.ip(20 + i)
	return w.start("agent", ip, map[string]string{
		"name": "side-" + strconv.Itoa(i), "role": "agent", "class": "side", "serves": "side", "ip": ip,
		"callers": "", "readyaddr": "", "peers": "", "app": w.worker(i), "service": service,
	})
}

// worker returns the address of the worker beside an agent, callers that of an entry.
func (w *world) worker(i int) string { return w.ip(20+i) + ":7505" }

func (w *world) callers(i int) string { return w.ip(10+i) + ":7509" }

func (w *world) start(kind, ip string, fields map[string]string) (*proc, error) {
	for _, name := range []string{"quota", "overshoot", "slack", "failclosed", "revoke"} {
		fields[name] = w.bounds[name]
	}
	fields["first"], fields["last"], fields["seeds"], fields["store"] = "7580", "7595", w.seeds, w.ip(2)+":7502"
	p := &proc{world: w, name: fields["name"], kind: kind, ip: ip, settings: filepath.Join(w.dir, fields["name"]+".conf"), fields: fields}
	if err := p.writeSettings(); err != nil {
		return nil, err
	}
	w.procs = append(w.procs, p)
	return p, p.run()
}

// writeSettings writes the settings file of the process.
func (p *proc) writeSettings() error {
	return os.WriteFile(p.settings, []byte(settings(p.fields)), 0o600)
}

// run starts the process, and again whenever it ends by itself.
func (p *proc) run() error {
	log, err := os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.world.bin, p.kind), "site", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.exits++
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		p.world.logf("process %s ended: %v", p.name, err)
		time.Sleep(300 * time.Millisecond)
		p.mu.Lock()
		stopped = p.stopped
		p.mu.Unlock()
		if !stopped {
			_ = p.run()
		}
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.logf("signal %s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *proc) ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exits
}

// close ends all processes.
func (w *world) close() {
	for _, p := range w.procs {
		p.mu.Lock()
		p.stopped = true
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// waitReady waits until all entries are ready.
func (w *world) waitReady(entries int) bool {
	for range 200 {
		ready := 0
		for i := 1; i <= entries; i++ {
			res, err := http.Get("http://" + w.ip(10+i) + ":7501" + names["ready"])
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == entries {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
