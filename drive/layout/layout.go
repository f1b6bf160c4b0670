// Package layout writes the settings of a whole deployment on one machine:
// stand-ins, agents, entries, the configuration and the instance list. The
// script that starts the processes reads the list of them; no program starts
// another.
//
//	Layout --Write--> stands.json  config.json  instances.json
//	                  fleet.json for magctl, NAME.json for each daemon,
//	                  processes (one line each)
package layout

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"magnoliastall.example/magno"
)

// Offsets of ports from the base.
const (
	portConf    = 10
	portList    = 20
	portStore   = 30
	portCaller  = 80
	portEntry   = 90 // administration
	portPeer    = 100
	portAgent   = 200
	portAdmin   = 300
	portEngine  = 400
	portControl = 500
)

// Deployment sizes of the brief.
const (
	deltaEngines   = 9
	plainNumber    = 4 // of either
	deltaRate      = 2.0
	deltaWidth     = 1
	cursadaEngines = 18
	cursadaRate    = 6.0
	cursadaWidth   = 2
)

// Figures of the upstreams, in milliseconds where they are times.
const (
	engineStep  = 5
	engineBatch = 16
	engineSlots = 8
	engineLoad  = 150
	plainWork   = 8
	plainBatch  = 32
)

// centres are the four data centres that each deployment has.
var centres = []string{"dc1", "dc2", "dc3", "dc4"}

// Layout describes a deployment to write.
type Layout struct {
	Dir string
	// Port is the base; the layout uses the 600 ports above it.
	Port int
	// Deployment is delta or cursada.
	Deployment string
	Entries    int
	Adapters   int
	// Engines and PlainServices override the deployment's numbers of upstreams;
	// zero keeps them.
	Engines, PlainServices int
	// PlainCallMs overrides the time of a plain call, in milliseconds.
	PlainCallMs int
	// LoadRate and Width override what the weight store allows.
	LoadRate      float64
	ParallelLoads int
}

// Write writes every file.
func (l *Layout) Write() error {
	if l.Deployment != "delta" && l.Deployment != "cursada" {
		return fmt.Errorf("deployment %q is neither delta nor cursada", l.Deployment)
	}
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return err
	}
	instances := l.instances()
	files := map[string]any{
		"stands.json":    l.stands(instances),
		"config.json":    l.Config(1),
		"instances.json": map[string]any{"revision": 1, "instances": instances},
	}
	var processes strings.Builder
	agent, entry := 0, 0
	for _, in := range instances {
		if in.Role == magno.RoleAgent {
			files[in.Name+".json"] = l.agent(in, agent)
			agent++
		} else {
			files[in.Name+".json"] = l.entry(in, entry)
			entry++
		}
		fmt.Fprintf(&processes, "%s %s.json\n", in.Role, in.Name)
	}
	files["fleet.json"] = map[string]any{"admins": l.admins(instances)}
	for name, value := range files {
		if err := l.file(name, value); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(l.Dir, "processes"), []byte(processes.String()), 0o644) //nolint:gosec // settings are no secret
}

// admins lists the administration APIs, for magctl.
func (l *Layout) admins(instances []magno.Instance) []string {
	var list []string
	agent, entry := 0, 0
	for _, in := range instances {
		if in.Role == magno.RoleAgent {
			list = append(list, l.address(portAdmin, agent))
			agent++
			continue
		}
		list = append(list, l.address(portEntry, entry))
		entry++
	}
	return list
}

func (l *Layout) file(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.Dir, name), data, 0o644) //nolint:gosec // settings are no secret
}

func (l *Layout) address(offset, n int) string {
	return fmt.Sprintf("127.0.0.1:%d", l.Port+offset+n)
}

func (l *Layout) size() (engines, plains int) {
	engines, plains = deltaEngines, plainNumber
	if l.Deployment == "cursada" {
		engines = cursadaEngines
	}
	if l.Engines > 0 {
		engines = l.Engines
	}
	if l.PlainServices > 0 {
		plains = l.PlainServices
	}
	return engines, plains
}

// allowance is what the weight store allows the deployment.
func (l *Layout) allowance() (rate float64, width int) {
	rate, width = deltaRate, deltaWidth
	if l.Deployment == "cursada" {
		rate, width = cursadaRate, cursadaWidth
	}
	if l.LoadRate > 0 {
		rate = l.LoadRate
	}
	if l.ParallelLoads > 0 {
		width = l.ParallelLoads
	}
	return rate, width
}

// instances lists agents first, then entries; each kind is spread over the
// data centres.
func (l *Layout) instances() []magno.Instance {
	engines, plains := l.size()
	list := make([]magno.Instance, 0, engines+plains+l.Entries)
	for n := range engines + plains {
		pool, name, of := "reading", fmt.Sprintf("r%d", n), n
		if n >= engines {
			of = n - engines
			pool, name = "status", fmt.Sprintf("s%d", of)
		}
		list = append(list, magno.Instance{Name: name, Role: magno.RoleAgent, DataCentre: centres[of%len(centres)],
			Pool: pool, Address: l.address(portAgent, n), State: magno.InstanceLive})
	}
	for n := range l.Entries {
		list = append(list, magno.Instance{Name: fmt.Sprintf("e%d", n), Role: magno.RoleEntry,
			DataCentre: centres[n%len(centres)], Address: l.address(portPeer, n), State: magno.InstanceLive})
	}
	return list
}

type standFile struct {
	Kind   string     `json:"kind"`
	Stands []standOne `json:"stands"`
}

type standOne struct {
	Kind   string  `json:"kind"`
	Name   string  `json:"name"`
	Listen string  `json:"listen"`
	Admin  string  `json:"admin"`
	Step   int     `json:"step,omitempty"`
	Batch  int     `json:"batch,omitempty"`
	Slots  int     `json:"slots,omitempty"`
	Store  string  `json:"store,omitempty"`
	Load   int     `json:"load,omitempty"`
	Work   int     `json:"work,omitempty"`
	Lag    int     `json:"lag,omitempty"`
	Rate   float64 `json:"rate,omitempty"`
	Width  int     `json:"width,omitempty"`
}

func (l *Layout) stands(instances []magno.Instance) standFile {
	rate, width := l.allowance()
	work := plainWork
	if l.PlainCallMs > 0 {
		work = l.PlainCallMs
	}
	f := standFile{Kind: "all", Stands: []standOne{
		{Kind: "conf", Name: "conf", Listen: l.address(portConf, 0), Admin: l.address(portConf, 1)},
		{Kind: "list", Name: "list", Listen: l.address(portList, 0), Admin: l.address(portList, 1), Lag: 1000},
		{Kind: "store", Name: "store", Listen: l.address(portStore, 0), Admin: l.address(portStore, 1),
			Rate: rate, Width: width, Load: engineLoad},
	}}
	n := 0
	for _, in := range instances {
		if in.Role != magno.RoleAgent {
			continue
		}
		one := standOne{Kind: "engine", Name: in.Name, Listen: l.address(portEngine, n), Admin: l.address(portControl, n),
			Step: engineStep, Batch: engineBatch, Slots: engineSlots, Store: "http://" + l.address(portStore, 0)}
		if in.Pool == "status" {
			one = standOne{Kind: "plain", Name: in.Name, Listen: l.address(portEngine, n), Admin: l.address(portControl, n),
				Work: work, Batch: plainBatch}
		}
		f.Stands = append(f.Stands, one)
		n++
	}
	return f
}

func (l *Layout) agent(in magno.Instance, n int) map[string]any {
	kind := magno.PoolEngine
	if in.Pool == "status" {
		kind = magno.PoolPlain
	}
	return map[string]any{
		"name": in.Name, "dc": in.DataCentre, "pool": in.Pool, "kind": kind,
		"listen": in.Address, "admin": l.address(portAdmin, n), "upstream": l.address(portEngine, n),
		"platform": "http://" + l.address(portConf, 0), "list": "http://" + l.address(portList, 0),
	}
}

func (l *Layout) entry(in magno.Instance, n int) map[string]any {
	return map[string]any{
		"name": in.Name, "dc": in.DataCentre, "listen": l.address(portCaller, n),
		"admin": l.address(portEntry, n), "peer": in.Address,
		"platform": "http://" + l.address(portConf, 0), "list": "http://" + l.address(portList, 0),
	}
}
