package gossip

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
)

// TestMain sets a fixed seed, so that runs are reproducible. The environment
// variables SEED and CHECKS override seed and number of checks for long searches.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "1", "rapid.checks": "20", "rapid.nofailfile": "true"}
	if seed := os.Getenv("SEED"); seed != "" {
		settings["rapid.seed"] = seed
	}
	if checks := os.Getenv("CHECKS"); checks != "" {
		settings["rapid.checks"] = checks
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is how far the clock advances between two ticks.
const step = 10 * magno.Millis(1)

// timeout is how long a call waits for its reply.
const timeout = magno.Second

// node is one simulated process.
type node struct {
	*State
	name   string
	paused bool
	dead   bool
	// maxVersion is the highest version that the process had.
	maxVersion int64
	// sent lists the messages sent, in order of time.
	sent []transmission
}

// transmission is the time and size of a message sent.
type transmission struct {
	at    magno.Millis
	bytes int
}

// packet is a message in flight: a request until reply is set.
type packet struct {
	at       magno.Millis
	from, to *node
	out      Outbound
	reply    []byte
	request  []byte
	failed   bool
}

// cluster simulates processes and the network between them with one clock.
type cluster struct {
	clock *magno.Clock
	rand  *rand.Rand
	nodes []*node
	queue []packet
	// partitioned reports whether messages between the two are lost.
	partitioned func(a, b *node) bool
	// lossRate is the share of messages that are lost, delayRate of those that
	// arrive up to four seconds late.
	lossRate, delayRate float64
	// service is the published configuration by data centre.
	service map[string]*magno.Config
	// valid maps each valid version to its checksum.
	valid map[int64]uint64
	list  []magno.Instance
}

func newCluster(seed uint64, centres, size int) *cluster {
	c := &cluster{clock: magno.NewClock(1_000_000_000), rand: rand.New(rand.NewPCG(seed, 1)),
		partitioned: func(_, _ *node) bool { return false }, service: map[string]*magno.Config{}, valid: map[int64]uint64{}}
	for dc := range centres {
		for i := range size {
			c.add(fmt.Sprintf("n%d-%d", dc, i), fmt.Sprintf("dc%d", dc))
		}
	}
	for _, n := range c.nodes {
		n.MergeInstances(c.list)
	}
	return c
}

func (c *cluster) add(name, dc string) *node {
	n := &node{name: name}
	n.State = &State{
		Self:  Member{Name: name, Role: magno.RoleAgent, DataCentre: dc, Address: name + ":1"},
		Store: &config.Store{Clock: c.clock}, Clock: c.clock,
		Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 2)),
	}
	c.nodes = append(c.nodes, n)
	c.list = append(c.list, magno.Instance{Name: name, Role: magno.RoleAgent, DataCentre: dc, Address: name + ":1", State: magno.InstanceLive})
	return n
}

// restart replaces a process by a new one of the same name.
func (c *cluster) restart(old *node) *node {
	i := slices.Index(c.nodes, old)
	old.dead = true
	n := c.add(old.name, old.Self.DataCentre)
	c.nodes = c.nodes[:len(c.nodes)-1]
	c.list = c.list[:len(c.list)-1]
	c.nodes[i] = n
	n.MergeInstances(c.list)
	return n
}

func (c *cluster) find(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// run advances the simulation by d and calls check after each step.
func (c *cluster) run(d magno.Millis, check func()) {
	for end := c.clock.Now() + d; c.clock.Now() < end; {
		c.clock.Advance(step)
		c.deliver()
		for _, n := range c.nodes {
			if n.paused || n.dead {
				continue
			}
			c.watchConfig(n)
			for _, out := range n.Tick() {
				c.send(n, out)
			}
			if to, ok := n.NextPull(); ok {
				c.fetchConfig(n, to)
			}
		}
		if check != nil {
			check()
		}
	}
}

// watchConfig simulates a reader: it loads the published version into the store.
func (c *cluster) watchConfig(n *node) {
	cfg := c.service[n.Self.DataCentre]
	if cfg == nil || !n.IsReader() || n.Store.Version() >= cfg.Version {
		return
	}
	if n.Store.Load(cfg, nil, "service") == nil {
		n.ConfigChanged()
	}
}

// fetchConfig simulates the fetch of a full configuration from a peer.
func (c *cluster) fetchConfig(n *node, to Outbound) {
	peer := c.find(to.Name)
	if peer == nil || peer.dead || peer.paused || c.partitioned(n, peer) || peer.Store.Current() == nil {
		return
	}
	n.PullDone(peer.Store.Version(), n.Store.Install(peer.Store.Current(), nil, to.Name))
}

func (c *cluster) latency() magno.Millis {
	if c.rand.Float64() < c.delayRate {
		return magno.Millis(c.rand.IntN(4000))
	}
	return magno.Millis(1 + c.rand.IntN(20))
}

func (c *cluster) send(n *node, out Outbound) {
	text, err := json.Marshal(out.Message)
	if err != nil {
		panic(err)
	}
	n.sent = append(n.sent, transmission{c.clock.Now(), out.Message.Size()})
	to := c.find(out.Name)
	p := packet{at: c.clock.Now() + c.latency(), from: n, to: to, out: out, request: text}
	if to == nil || to.dead || c.partitioned(n, to) || c.rand.Float64() < c.lossRate {
		p.failed, p.at = true, c.clock.Now()+timeout
	}
	c.queue = append(c.queue, p)
}

// deliver processes the packets that are due.
func (c *cluster) deliver() {
	now := c.clock.Now()
	var due, rest []packet
	for _, p := range c.queue {
		if p.at <= now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.queue = rest
	for _, p := range due {
		c.arrive(p, now)
	}
}

func (c *cluster) arrive(p packet, now magno.Millis) {
	switch {
	case p.from.dead || p.from.paused:
	case p.failed:
		p.from.PeerFailed(p.out.Name)
	case p.reply != nil:
		var m Message
		_ = json.Unmarshal(p.reply, &m)
		for _, out := range p.from.HandleReply(p.out, &m) {
			c.send(p.from, out)
		}
	case p.to.dead || p.to.paused:
		p.failed, p.at = true, now+timeout
		c.queue = append(c.queue, p)
	default:
		var m Message
		_ = json.Unmarshal(p.request, &m)
		reply, ok := p.to.Receive(&m)
		if !ok {
			return
		}
		p.to.sent = append(p.to.sent, transmission{now, reply.Size()})
		p.reply, _ = json.Marshal(reply)
		p.at = now + c.latency()
		if c.rand.Float64() < c.lossRate || c.partitioned(p.from, p.to) {
			p.failed, p.at = true, now+timeout
		}
		c.queue = append(c.queue, p)
	}
}

// publish sets the version of the services in the given data centres, or in all
// if none is given.
func (c *cluster) publish(cfg *magno.Config, valid bool, centres ...string) {
	if valid {
		c.valid[cfg.Version] = config.NewSnapshot(cfg).Sum
	}
	if len(centres) == 0 {
		for _, n := range c.nodes {
			centres = append(centres, n.Self.DataCentre)
		}
	}
	for _, dc := range centres {
		c.service[dc] = cfg
	}
}

// sample returns a valid configuration whose content depends on the version.
func sample(version int64) *magno.Config {
	cfg := &magno.Config{
		Version:   version,
		Customers: []magno.Customer{{Name: "delta", Weight: 1}},
		Pools:     []magno.Pool{{Name: "read", Kind: magno.PoolEngine, Base: "llama"}},
	}
	for i := range 4 {
		name := fmt.Sprintf("a%d", i)
		cfg.Adapters = append(cfg.Adapters, magno.Adapter{Name: name, Base: "llama", Versions: []string{fmt.Sprintf("v%d", version)}})
		cfg.Profiles = append(cfg.Profiles, magno.Profile{Name: "p" + name, Customer: "delta", Pool: "read",
			Adapter: name, Version: fmt.Sprintf("v%d", version)})
	}
	return cfg
}

// invalid returns a configuration with a profile whose adapter doesn't exist.
func invalid(version int64) *magno.Config {
	cfg := sample(version)
	cfg.Profiles[0].Adapter = "none"
	return cfg
}
