package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports on each machine, an address of the loopback network.
const (
	portCallers = 8149
	portReady   = 8141
	portPeers   = 8144
	portWorker  = 8145
	portStore   = 8142
	portFirst   = 7380
	portLast    = 7395
	portMetrics = 9464
)

// Bounds of the settings, those of the platform's example.
const (
	drainTime   = 2000 * time.Millisecond
	versionTime = 5000 * time.Millisecond
	graceTime   = 8 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// startTimeout bounds the time until the system serves.
const startTimeout = 20 * time.Second

var errCannotRun = errors.New("the case can't run")

// process is a program of the system on a machine of its own.
type process struct {
	program, name, ip string
	cmd               *exec.Cmd
	ended             chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// world has the stand-ins and processes of one run.
type world struct {
	ctx    context.Context
	folder string
	net    int
	begun  time.Time
	store  *store
	procs  []*process
	seeds  []string
	// extra returns settings of the entry with an index that replace others. It may be nil.
	extra func(i int) []string

	mu     sync.Mutex
	record *os.File
	lines  int
}

// newWorld takes a free part of the loopback network, the first one if that is given and free, and starts the store.
func newWorld(ctx context.Context, record string, first int) (*world, error) {
	folder, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{ctx: ctx, folder: folder, begun: time.Now(), store: newStore(), record: f}
	for try := range 50 {
		w.net = 10 + rand.IntN(240)
		if try == 0 && first > 0 {
			w.net = first
		}
		if w.free() {
			return w, w.serve(w.address(0, 1, portStore), w.store)
		}
	}
	return nil, errCannotRun
}

// ip returns the address of a machine: entries are in row 1, the others in rows of their own.
func (w *world) ip(row, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, row, n) }

func (w *world) address(row, n, port int) string {
	return net.JoinHostPort(w.ip(row, n), strconv.Itoa(port))
}

// free reports whether the ports that are used can be bound.
func (w *world) free() bool {
	for row := range 5 {
		for _, port := range []int{portCallers, portReady, portPeers, portWorker, portStore, portFirst, portMetrics} {
			l, err := net.Listen("tcp", w.address(row, 1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// serve serves at an address until the run ends.
func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	go func() {
		<-w.ctx.Done()
		_ = s.Close()
	}()
	return nil
}

// note writes a line into the record: what happened, after the time since the start in seconds.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", at.Sub(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say is note that writes the line to the standard output as well.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// startEntries starts n entries, each with the address of the store that storeOf returns. The first
// three at most are the seeds.
func (w *world) startEntries(n int, storeOf func(i int) string) error {
	for i := range min(n, 3) {
		w.seeds = append(w.seeds, w.address(1, i+1, portPeers))
	}
	for i := range n {
		if err := w.startEntry(i, storeOf(i)); err != nil {
			return err
		}
	}
	return nil
}

// entryName returns the name of the machine of an entry.
func entryName(i int) string { return fmt.Sprintf("frontend-hall-%c-%d", 'a'+i%4, i/4+1) }

// startEntry starts the entry with an index.
func (w *world) startEntry(i int, store string) error {
	ip := w.ip(1, i+1)
	own := []string{
		"role=entry", "machine_class=frontend", "serves=frontend,control_plane", fmt.Sprintf("zone=hall-%c", 'a'+i%4),
		fmt.Sprintf("listen_addresses.frontend=%s:%d", ip, portCallers),
		fmt.Sprintf("listen_addresses.ready=%s:%d", ip, portReady),
		fmt.Sprintf("listen_addresses.control_plane=%s:%d", ip, portPeers),
		"limits.memory_mb=284", "limits.link_bandwidth_mbps=1000.0", "platform.address=" + store,
	}
	if w.extra != nil {
		own = replaceSettings(own, w.extra(i))
	}
	return w.start("entry", entryName(i), ip, own)
}

// replaceSettings returns lines with those of other in place of, or after, its own.
func replaceSettings(lines, other []string) []string {
	var list []string
	for _, line := range lines {
		name, _, _ := strings.Cut(line, "=")
		if !slices.ContainsFunc(other, func(o string) bool { return strings.HasPrefix(o, name+"=") }) {
			list = append(list, line)
		}
	}
	return append(list, other...)
}

// startAgent starts the agent beside the worker on a machine.
func (w *world) startAgent(name, ip, zone, service string) error {
	return w.start("agent", name, ip, []string{
		"role=agent", "machine_class=side", "serves=side", "zone=" + zone,
		fmt.Sprintf("app=%s:%d", ip, portWorker), "service=" + service,
		"limits.memory_mb=216", "limits.link_bandwidth_mbps=2000.0", "platform.address=" + w.address(0, 1, portStore),
	})
}

// commonSettings are those of all processes.
var commonSettings = []string{
	"region=delta-south", "zones.hall-a=delta-south", "zones.hall-b=delta-south", "zones.hall-c=delta-south", "zones.hall-d=delta-south",
	"is_bootstrap=true", "counts_toward_tolerance=false", "limits.cpu_share=0.304", "limits.cpu_cores=1", "limits.file_descriptors=4100",
	"limits.disk_mb=0", "discovery=platform", "entry_point=virtual_ip", "heartbeat_interval_ms=1200",
	"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
	"fault_tolerance.machine_failures=2", "fault_tolerance.zones=0", "fault_tolerance.region_failures=0",
	"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.stability_window_ms=3000", "bounds.acknowledge_ms=4000", "bounds.catch_up_s=4",
	"bounds.drain_ms=2000", "bounds.grace_period_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
	"bounds.outer_bound_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_budget_slack=52", "bounds.recovery_s=12",
	"bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.fencing_required=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
	"bounds.ceiling_window_s=5", "bounds.ceiling_overshoot=1.1", "bounds.version_ms=5000",
	"platform.form=read", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
}

// start starts a program of the system with the command of the deploy file.
func (w *world) start(program, name, ip string, own []string) error {
	lines := []string{names["node"] + "=" + name, "ip_address=" + ip, fmt.Sprintf("internal_port_range=%d,%d", portFirst, portLast), "seed_nodes=" + strings.Join(w.seeds, ",")}
	lines = replaceSettings(append(lines, commonSettings...), own)
	if err := os.WriteFile(w.settings(name), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	return w.run(program, name, ip, log)
}

// settings returns the path of a process's settings file.
func (w *world) settings(name string) string { return filepath.Join(w.folder, name+".conf") }

// run starts a program whose settings file is written.
func (w *world) run(program, name, ip string, log *os.File) error {
	p := &process{program: program, name: name, ip: ip, cmd: exec.Command("target/"+program, "site", "platform"), ended: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + w.settings(name)}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	w.note("start %s, process %d", name, p.cmd.Process.Pid)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		w.note("end of %s: %s", name, p.cmd.ProcessState)
		close(p.ended)
	}()
	return nil
}

// process returns the process with a name.
func (w *world) process(name string) *process {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

// entry returns the callers' address of the entry with an index.
func (w *world) entry(i int) string { return w.address(1, i+1, portCallers) }

// close ends all processes and removes the folder, unless KEEP is set.
func (w *world) close() {
	for _, p := range w.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range w.procs {
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
	_ = w.record.Close()
}

// awaitReady waits until n entries say that they are ready.
func (w *world) awaitReady(n int) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range n {
			res, err := http.Get("http://" + w.address(1, i+1, portReady) + names["readypath"])
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == n {
			return nil
		}
	}
	return fmt.Errorf("%w: the entries aren't ready", errCannotRun)
}

// pause waits, and returns false if the run has ended.
func (w *world) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}
