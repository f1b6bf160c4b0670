package proof

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/stand/engine"
)

// Offsets of operators' ports.
const (
	confAdmin = 11
	listAdmin = 21
)

// The configuration service goes down and comes back stale: it answers with
// what was published a while ago. A process that is replaced then must not
// serve the older version that the service shows, or a profile that was moved
// on reads receipts with the adapter version it was moved away from.
func TestNewProcessBesideStaleService(t *testing.T) {
	f := newFleet(t, quick(2))
	time.Sleep(time.Second) // so that the stale service shows version 1
	f.config.Version = 2
	for i := range f.config.Profiles {
		if f.config.Profiles[i].Name == "read-001" {
			f.config.Profiles[i].Version = "v2"
		}
	}
	f.publish()
	f.inForce(2)
	f.fault(confAdmin, `{"kind":"stale","value":600000}`)
	for _, name := range []string{"e1", "r0", "s0"} {
		f.kill(name)
		f.start(name)
		f.eventually(name+" is ready", func() bool { return f.isReady(name) })
		if v := f.version(name); v != 2 {
			t.Errorf("%s is ready with version %d", name, v)
		}
	}
	for i := range 10 {
		r, text := f.ask(1, "read-001", "stale", 3)
		if r.status != 200 || text != engine.Expect("a001@v2", "stale", 3) {
			t.Errorf("request %d: %v", i, r)
		}
	}
	for _, in := range f.instances {
		if v := f.version(in.Name); v != 2 {
			t.Errorf("%s went back to version %d", in.Name, v)
		}
	}
}

// The platform's services are down for long, and everything is restarted one
// after the other meanwhile. Callers must be served all the time: what the
// system knows is in its processes.
func TestRollingRestartDuringOutage(t *testing.T) {
	f := newFleet(t, quick(2))
	if r, _ := f.ask(0, "read-000", "before", 3); r.status != 200 {
		t.Fatal(r)
	}
	f.fault(confAdmin, `{"kind":"outage"}`)
	for i, name := range []string{"e1", "r0", "r1", "s0", "s1"} {
		f.kill(name)
		f.start(name)
		f.eventually(name+" is ready", func() bool { return f.isReady(name) })
		prompt := fmt.Sprintf("during %d", i)
		r, text := f.ask(1, "read-000", prompt, 3)
		if text != engine.Expect("a000@v1", prompt, 3) {
			t.Errorf("after %s: %v", name, r)
		}
		body := fmt.Sprintf(`{"receipt":"outage %d"}`, i)
		if r := f.post(1, recordPath, newKey(), body); r.status != 200 {
			t.Errorf("after %s: %v", name, r)
		}
		if n := f.runsOf(body); n != 1 {
			t.Errorf("the receipt was recorded %d times", n)
		}
	}
}

// An operator publishes a configuration with a mistake: a profile names an
// adapter that isn't there. The last good one must stay in force, and the
// operator must be told why.
func TestBadConfigurationIsRefused(t *testing.T) {
	f := newFleet(t, quick(1))
	good := f.config.Profiles[0]
	f.config.Version = 2
	f.config.Profiles[0].Adapter = "missing"
	f.publish()
	f.eventually("a process tells that it refused version 2", func() bool {
		for _, in := range f.instances {
			var s struct {
				Config struct {
					Refused *struct {
						Version int64  `json:"version"`
						Reason  string `json:"reason"`
					} `json:"refused"`
				} `json:"config"`
			}
			if f.status(in.Name, &s) && s.Config.Refused != nil && s.Config.Refused.Version == 2 &&
				strings.Contains(s.Config.Refused.Reason, "missing") {
				return true
			}
		}
		return false
	})
	if r, _ := f.ask(0, good.Name, "still served", 3); r.status != 200 {
		t.Errorf("got %v", r)
	}
	f.config.Version = 3
	f.config.Profiles[0] = good
	f.publish()
	f.inForce(3)
}

// cable stands between processes and one agent, and can be cut.
type cable struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cut      bool
	conns    []net.Conn
}

// newCable listens and passes connections on to an address.
func newCable(t *testing.T, to string) *cable {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cable{listener: l, to: to}
	t.Cleanup(func() {
		_ = l.Close()
		c.set(true)
	})
	go c.serve()
	return c
}

func (c *cable) serve() {
	for {
		in, err := c.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", c.to)
		c.mu.Lock()
		if err != nil || c.cut {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
		} else {
			c.conns = append(c.conns, in, out)
			go pipe(in, out)
			go pipe(out, in)
		}
		c.mu.Unlock()
	}
}

func pipe(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

// set cuts the cable, with every connection through it, or mends it.
func (c *cable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	if cut {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.conns = nil
	}
}

// The network between an agent and all others breaks while it runs a receipt.
// It goes on by itself. The caller sends the receipt again through both
// entries, during the cut and after it; the receipt must be recorded once, and
// nobody may be told that it was not.
func TestAgentCutOffWhileItRuns(t *testing.T) {
	l := quick(1)
	l.PlainCallMs = slowWork
	f := newFleet(t, l)
	cables := map[string]*cable{}
	for i, in := range f.instances {
		if in.Pool == "status" {
			cables[in.Name] = newCable(t, in.Address)
			f.instances[i].Address = cables[in.Name].listener.Addr().String()
		}
	}
	f.list()
	f.eventually("the entries see the new addresses", func() bool {
		for _, e := range []string{"e0", "e1"} {
			var s struct {
				Instances []magno.Instance `json:"instances"`
			}
			f.status(e, &s)
			for _, in := range s.Instances {
				if c := cables[in.Name]; c != nil && in.Address != c.listener.Addr().String() {
					return false
				}
			}
			if len(s.Instances) == 0 {
				return false
			}
		}
		return true
	})
	for i := range 3 {
		key, body := newKey(), fmt.Sprintf(`{"receipt":"cut %d"}`, i)
		first := make(chan reply, 1)
		go func() { first <- f.post(0, recordPath, key, body) }()
		home := f.busyHome()
		cables[home].set(true)
		replies := []reply{<-first, f.post(1, recordPath, key, body), f.post(0, recordPath, key, body)}
		cables[home].set(false)
		f.eventually("the run has ended", func() bool { return f.runsOf(body) == 1 })
		replies = append(replies, f.post(1, recordPath, key, body))
		for n, r := range replies {
			if r.status != 200 && r.run() == magno.RunNo {
				t.Errorf("answer %d says not run, and it was: %v", n, r)
			}
		}
		time.Sleep(2 * slowWork * time.Millisecond)
		if n := f.runsOf(body); n != 1 {
			t.Errorf("the receipt was recorded %d times", n)
		}
	}
}

// An instance leaves, and the platform's list says so only much later. The
// agent itself knows first; entries must hear of it from peers and stop sending
// work there within seconds.
func TestLeavingIsHeardBeforeTheList(t *testing.T) {
	f := newFleet(t, quick(3))
	f.fault(listAdmin, `{"kind":"lag","value":600000}`)
	begun := make(chan struct{})
	go f.stream(0, "read-000", "keeps it busy", 1500, begun)
	<-begun
	home := f.streaming()
	f.signal(home, 15)
	f.eventually("both entries know that it leaves", func() bool {
		for _, e := range []string{"e0", "e1"} {
			var s struct {
				Instances []magno.Instance `json:"instances"`
			}
			if !f.status(e, &s) {
				return false
			}
			for _, in := range s.Instances {
				if in.Name == home && in.State != magno.InstanceLeaving {
					return false
				}
			}
		}
		return true
	})
}

// The platform lists an instance as leaving, and takes that back later. The
// agent itself must refuse new work meanwhile, whatever entries believe, or
// work is cut off when the instance is taken away.
func TestListedAsLeaving(t *testing.T) {
	f := newFleet(t, quick(2))
	for _, state := range []magno.InstanceState{magno.InstanceLeaving, magno.InstanceLive, magno.InstanceLeaving} {
		for i := range f.instances {
			if f.instances[i].Name == "r0" {
				f.instances[i].State = state
			}
		}
		f.list()
		f.eventually("r0 follows the list", func() bool {
			var s struct {
				Leaving bool `json:"leaving"`
			}
			return f.status("r0", &s) && s.Leaving == (state == magno.InstanceLeaving) && f.isReady("r0") != s.Leaving
		})
	}
	before := len(f.engineRuns()["r0"])
	for i := range 10 {
		if r, _ := f.ask(i%2, "read-000", fmt.Sprintf("listed %d", i), 3); r.status != 200 {
			t.Errorf("%v", r)
		}
	}
	if after := len(f.engineRuns()["r0"]); after != before {
		t.Errorf("a leaving instance ran %d requests", after-before)
	}
}
