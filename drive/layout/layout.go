// Package layout writes the settings of a whole deployment on one machine: stand-ins,
// agents, entries, the configuration and the instance list. A script starts the processes
// from the list in the file "processes"; no program starts another.
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

// Port offsets from the base port.
const (
	portConfig  = 10
	portList    = 20
	portStore   = 30
	portCaller  = 80
	portEntry   = 90 // administration API
	portPeer    = 100
	portAgent   = 200
	portAdmin   = 300
	portEngine  = 400
	portControl = 500
)

// Upstream counts and weight store limits of the two deployments.
const (
	deltaEngines         = 9
	plainCount           = 4 // in both deployments
	deltaRate            = 2.0
	deltaParallelLoads   = 1
	cursadaEngines       = 18
	cursadaRate          = 6.0
	cursadaParallelLoads = 2
)

// Upstream parameters.
const (
	engineStepMs = 5
	engineBatch  = 16
	engineSlots  = 8
	engineLoadMs = 150
	plainCallMs  = 8
	plainBatch   = 32
)

// dataCentres are the data centres of each deployment.
var dataCentres = []string{"dc1", "dc2", "dc3", "dc4"}

// Layout describes a deployment to write.
type Layout struct {
	Dir string
	// Port is the base port; the layout uses the 600 ports from it on.
	Port int
	// Deployment is delta or cursada.
	Deployment string
	Entries    int
	Adapters   int
	// Engines and PlainServices override the deployment's numbers of upstreams; zero keeps
	// them.
	Engines, PlainServices int
	// PlainCallMs overrides the duration of a plain call; zero keeps the default.
	PlainCallMs int
	// LoadRate and ParallelLoads override the limits of the weight store; zero keeps them.
	LoadRate      float64
	ParallelLoads int
}

// Write writes all files of the deployment to Dir.
func (l *Layout) Write() error {
	if l.Deployment != "delta" && l.Deployment != "cursada" {
		return fmt.Errorf("deployment %q is neither delta nor cursada", l.Deployment)
	}
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return err
	}
	instances := l.instances()
	files := map[string]any{
		"stands.json":    l.standIns(instances),
		"config.json":    l.Config(1),
		"instances.json": map[string]any{"revision": 1, "instances": instances},
	}
	var processes strings.Builder
	agent, entry := 0, 0
	for _, in := range instances {
		if in.Role == magno.RoleAgent {
			files[in.Name+".json"] = l.agentSettings(in, agent)
			agent++
		} else {
			files[in.Name+".json"] = l.entrySettings(in, entry)
			entry++
		}
		fmt.Fprintf(&processes, "%s %s.json\n", in.Role, in.Name)
	}
	files["fleet.json"] = map[string]any{"admins": l.adminAddresses(instances)}
	for name, value := range files {
		if err := l.writeJSON(name, value); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(l.Dir, "processes"), []byte(processes.String()), 0o644) //nolint:gosec // settings are no secret
}

// adminAddresses returns the addresses of the administration APIs, for magctl.
func (l *Layout) adminAddresses(instances []magno.Instance) []string {
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

func (l *Layout) writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.Dir, name), data, 0o644) //nolint:gosec // settings are no secret
}

func (l *Layout) address(offset, n int) string {
	return fmt.Sprintf("127.0.0.1:%d", l.Port+offset+n)
}

func (l *Layout) upstreamCounts() (engines, plains int) {
	engines, plains = deltaEngines, plainCount
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

// storeLimits returns the limits of the deployment's weight store.
func (l *Layout) storeLimits() (rate float64, parallelLoads int) {
	rate, parallelLoads = deltaRate, deltaParallelLoads
	if l.Deployment == "cursada" {
		rate, parallelLoads = cursadaRate, cursadaParallelLoads
	}
	if l.LoadRate > 0 {
		rate = l.LoadRate
	}
	if l.ParallelLoads > 0 {
		parallelLoads = l.ParallelLoads
	}
	return rate, parallelLoads
}

// instances returns the agents, then the entries; both are spread over the data centres.
func (l *Layout) instances() []magno.Instance {
	engines, plains := l.upstreamCounts()
	list := make([]magno.Instance, 0, engines+plains+l.Entries)
	for n := range engines + plains {
		pool, name, index := "reading", fmt.Sprintf("r%d", n), n
		if n >= engines {
			index = n - engines
			pool, name = "status", fmt.Sprintf("s%d", index)
		}
		list = append(list, magno.Instance{Name: name, Role: magno.RoleAgent, DataCentre: dataCentres[index%len(dataCentres)],
			Pool: pool, Address: l.address(portAgent, n), State: magno.InstanceLive})
	}
	for n := range l.Entries {
		list = append(list, magno.Instance{Name: fmt.Sprintf("e%d", n), Role: magno.RoleEntry,
			DataCentre: dataCentres[n%len(dataCentres)], Address: l.address(portPeer, n), State: magno.InstanceLive})
	}
	return list
}

type standInFile struct {
	Kind     string    `json:"kind"`
	StandIns []standIn `json:"stands"`
}

type standIn struct {
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

func (l *Layout) standIns(instances []magno.Instance) standInFile {
	rate, parallelLoads := l.storeLimits()
	work := plainCallMs
	if l.PlainCallMs > 0 {
		work = l.PlainCallMs
	}
	f := standInFile{Kind: "all", StandIns: []standIn{
		{Kind: "conf", Name: "conf", Listen: l.address(portConfig, 0), Admin: l.address(portConfig, 1)},
		{Kind: "list", Name: "list", Listen: l.address(portList, 0), Admin: l.address(portList, 1), Lag: 1000},
		{Kind: "store", Name: "store", Listen: l.address(portStore, 0), Admin: l.address(portStore, 1),
			Rate: rate, Width: parallelLoads, Load: engineLoadMs},
	}}
	n := 0
	for _, in := range instances {
		if in.Role != magno.RoleAgent {
			continue
		}
		upstream := standIn{Kind: "engine", Name: in.Name, Listen: l.address(portEngine, n), Admin: l.address(portControl, n),
			Step: engineStepMs, Batch: engineBatch, Slots: engineSlots, Store: "http://" + l.address(portStore, 0)}
		if in.Pool == "status" {
			upstream = standIn{Kind: "plain", Name: in.Name, Listen: l.address(portEngine, n), Admin: l.address(portControl, n),
				Work: work, Batch: plainBatch}
		}
		f.StandIns = append(f.StandIns, upstream)
		n++
	}
	return f
}

func (l *Layout) agentSettings(in magno.Instance, n int) map[string]any {
	kind := magno.PoolEngine
	if in.Pool == "status" {
		kind = magno.PoolPlain
	}
	return map[string]any{
		"name": in.Name, "dc": in.DataCentre, "pool": in.Pool, "kind": kind,
		"listen": in.Address, "admin": l.address(portAdmin, n), "upstream": l.address(portEngine, n),
		"platform": "http://" + l.address(portConfig, 0), "list": "http://" + l.address(portList, 0),
	}
}

func (l *Layout) entrySettings(in magno.Instance, n int) map[string]any {
	return map[string]any{
		"name": in.Name, "dc": in.DataCentre, "listen": l.address(portCaller, n),
		"admin": l.address(portEntry, n), "peer": in.Address,
		"platform": "http://" + l.address(portConfig, 0), "list": "http://" + l.address(portList, 0),
	}
}
