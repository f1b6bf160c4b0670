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

// Offsets of the stand-ins' admin ports from the first port of a fleet.
const (
	configAdminOffset = 11
	listAdminOffset   = 21
)

// The configuration service returns after an outage with an outdated version. A process
// started then must not serve that version, or requests for a profile whose adapter version
// was changed run on the old one.
func TestNewProcessBesideStaleService(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	time.Sleep(time.Second) // lets version 1 become old enough for the stale service to return it
	f.config.Version = 2
	for i := range f.config.Profiles {
		if f.config.Profiles[i].Name == "read-001" {
			f.config.Profiles[i].Version = "v2"
		}
	}
	f.publish()
	f.waitVersion(2)
	f.fault(configAdminOffset, `{"kind":"stale","value":600000}`)
	for _, name := range []string{"e1", "r0", "s0"} {
		f.kill(name)
		f.start(name)
		f.eventually(name+" is ready", func() bool { return f.isReady(name) })
		if v := f.version(name); v != 2 {
			t.Errorf("%s is ready with version %d", name, v)
		}
	}
	for i := range 10 {
		r, text := f.complete(1, "read-001", "stale", 3)
		if r.status != 200 || text != engine.Expect("a001@v2", "stale", 3) {
			t.Errorf("request %d: %v", i, r)
		}
	}
	for _, in := range f.instances {
		if v := f.version(in.Name); v != 2 {
			t.Errorf("%s reverted to version %d", in.Name, v)
		}
	}
}

// The platform's services are down while all processes are restarted one after another.
// Callers must be served throughout, because the running processes hold all state that a
// restarted one needs.
func TestRollingRestartDuringOutage(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	if r, _ := f.complete(0, "read-000", "before", 3); r.status != 200 {
		t.Fatal(r)
	}
	f.fault(configAdminOffset, `{"kind":"outage"}`)
	for i, name := range []string{"e1", "r0", "r1", "s0", "s1"} {
		f.kill(name)
		f.start(name)
		f.eventually(name+" is ready", func() bool { return f.isReady(name) })
		prompt := fmt.Sprintf("during %d", i)
		r, text := f.complete(1, "read-000", prompt, 3)
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

// An operator publishes an invalid configuration: a profile names an adapter that doesn't
// exist. The last valid one must stay active, and the processes must report the reason.
func TestBadConfigurationIsRefused(t *testing.T) {
	f := newFleet(t, fastLayout(1))
	good := f.config.Profiles[0]
	f.config.Version = 2
	f.config.Profiles[0].Adapter = "missing"
	f.publish()
	f.eventually("a process reports that it rejected version 2", func() bool {
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
	if r, _ := f.complete(0, good.Name, "still served", 3); r.status != 200 {
		t.Errorf("got %v", r)
	}
	f.config.Version = 3
	f.config.Profiles[0] = good
	f.publish()
	f.waitVersion(3)
}

// link is a TCP proxy between processes and one agent that can be cut.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cut      bool
	conns    []net.Conn
}

// newLink forwards connections to an address.
func newLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &link{listener: l, to: to}
	t.Cleanup(func() {
		_ = l.Close()
		c.setCut(true)
	})
	go c.serve()
	return c
}

func (c *link) serve() {
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

// setCut cuts the link, closing all its connections, or restores it.
func (c *link) setCut(cut bool) {
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

// The network between an agent and all other processes breaks while the agent runs a call
// that must not be repeated. The call continues. The caller sends it again through both
// entries, during the cut and after it; it must run once, and no reply may say that it did
// not run.
func TestAgentCutOffWhileItRuns(t *testing.T) {
	l := fastLayout(1)
	l.PlainCallMs = slowCallMillis
	f := newFleet(t, l)
	links := map[string]*link{}
	for i, in := range f.instances {
		if in.Pool == "status" {
			links[in.Name] = newLink(t, in.Address)
			f.instances[i].Address = links[in.Name].listener.Addr().String()
		}
	}
	f.publishList()
	f.eventually("the entries know the new addresses", func() bool {
		for _, e := range []string{"e0", "e1"} {
			var s struct {
				Instances []magno.Instance `json:"instances"`
			}
			f.status(e, &s)
			for _, in := range s.Instances {
				if c := links[in.Name]; c != nil && in.Address != c.listener.Addr().String() {
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
		home := f.busyAgent()
		links[home].setCut(true)
		replies := []reply{<-first, f.post(1, recordPath, key, body), f.post(0, recordPath, key, body)}
		links[home].setCut(false)
		f.eventually("the run has ended", func() bool { return f.runsOf(body) == 1 })
		replies = append(replies, f.post(1, recordPath, key, body))
		for n, r := range replies {
			if r.status != 200 && r.run() == magno.RunNo {
				t.Errorf("reply %d says not run, but the call ran: %v", n, r)
			}
		}
		time.Sleep(2 * slowCallMillis * time.Millisecond)
		if n := f.runsOf(body); n != 1 {
			t.Errorf("the receipt was recorded %d times", n)
		}
	}
}

// An instance leaves, but the platform's list reports it much later. Entries must learn of
// it from the agent by gossip and stop sending requests there within seconds.
func TestLeavingSpreadsBeforeTheList(t *testing.T) {
	f := newFleet(t, fastLayout(3))
	f.fault(listAdminOffset, `{"kind":"lag","value":600000}`)
	begun := make(chan struct{})
	go f.stream(0, "read-000", "keeps it busy", 1500, begun)
	<-begun
	home := f.streamingAgent()
	f.signal(home, 15)
	f.eventually("both entries know that the instance is leaving", func() bool {
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

// The platform lists an instance as leaving and later withdraws that. Meanwhile the agent
// itself must refuse new requests, whatever entries assume, or requests are cut off when
// the instance is removed.
func TestListedAsLeaving(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	for _, state := range []magno.InstanceState{magno.InstanceLeaving, magno.InstanceLive, magno.InstanceLeaving} {
		for i := range f.instances {
			if f.instances[i].Name == "r0" {
				f.instances[i].State = state
			}
		}
		f.publishList()
		f.eventually("r0 follows the list", func() bool {
			var s struct {
				Leaving bool `json:"leaving"`
			}
			return f.status("r0", &s) && s.Leaving == (state == magno.InstanceLeaving) && f.isReady("r0") != s.Leaving
		})
	}
	before := len(f.engineRuns()["r0"])
	for i := range 10 {
		if r, _ := f.complete(i%2, "read-000", fmt.Sprintf("listed %d", i), 3); r.status != 200 {
			t.Errorf("%v", r)
		}
	}
	if after := len(f.engineRuns()["r0"]); after != before {
		t.Errorf("a leaving instance ran %d requests", after-before)
	}
}
