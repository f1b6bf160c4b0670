package proof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"magnoliastall.example/drive/layout"
	"magnoliastall.example/magno"
	"magnoliastall.example/stand/engine"
)

// An agent is killed while requests run that may be repeated. Callers must not notice: each
// request is answered by another upstream.
func TestAgentKilledUnderLoad(t *testing.T) {
	f := newFleet(t, fastLayout(3))
	var wg sync.WaitGroup
	var done atomic.Int64
	for n := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 30 {
				prompt := fmt.Sprintf("reading %d of %d", i, n)
				if r, text := f.complete(n%2, "read-000", prompt, 6); text != engine.Expect("a000@v1", prompt, 6) {
					t.Errorf("%v", r)
				}
				done.Add(1)
			}
		}()
	}
	f.eventually("some readings are done", func() bool { return done.Load() > 10 })
	f.kill("r0")
	wg.Wait()
}

// Guards against a request that crashes every engine that runs it and is sent on while its caller
// keeps retrying: it would take down the whole pool. Other requests must be answered meanwhile.
func TestRequestThatCrashesEngines(t *testing.T) {
	f := newFleet(t, fastLayout(4))
	for _, in := range f.instances {
		if in.Pool == "reading" {
			f.upstreamFault(in.Name, `{"kind":"crash","match":"poison"}`)
		}
	}
	boots := f.boots()
	refused := false
	for i := range 12 {
		r, _ := f.complete(i%2, "read-000", "poison pill", 50)
		if r.status == 200 {
			t.Fatalf("a request that crashes its engine was answered: %v", r)
		}
		refused = refused || r.kind() == magno.KindSuspect
		prompt := fmt.Sprintf("neighbour %d", i)
		if r, text := f.complete(i%2, "read-000", prompt, 4); text != engine.Expect("a000@v1", prompt, 4) {
			t.Errorf("neighbour: %v", r)
		}
	}
	if !refused {
		t.Error("the request was never refused as suspect")
	}
	crashed := 0
	for name, boot := range f.boots() {
		if boot != boots[name] {
			crashed++
		}
	}
	// boot numbers don't tell how often an engine crashed, its record of runs does.
	runs, poison := 0, engine.HashPrompt("poison pill")
	for _, list := range f.engineRuns() {
		for _, r := range list {
			if r.Prompt == poison {
				runs++
			}
		}
	}
	if crashed > 2*2 || runs > allowedEnds+lateRuns {
		t.Errorf("%d engines crashed, the request ran %d times", crashed, runs)
	}
}

// boots waits until every engine is up and returns their boot numbers.
func (f *fleet) boots() map[string]int64 {
	boots := map[string]int64{}
	for _, in := range f.instances {
		if in.Pool != "reading" {
			continue
		}
		f.eventually(in.Name+"'s engine is up", func() bool {
			var r struct {
				Boot int64 `json:"boot"`
			}
			err := get(f.url(400+f.index(in.Name))+"/v1/report", &r)
			boots[in.Name] = r.Boot
			return err == nil && r.Boot != 0
		})
	}
	return boots
}

// An engine restarts empty while its agent still considers the adapters loaded. Requests
// must not fail, because another engine can serve them.
func TestEngineRestartsEmpty(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	for i := range 3 {
		prompt := fmt.Sprintf("before restart %d", i)
		if r, text := f.complete(0, "read-000", prompt, 4); text != engine.Expect("a000@v1", prompt, 4) {
			t.Errorf("round %d: %v", i, r)
		}
		f.upstreamFault(fmt.Sprintf("r%d", i%2), `{"kind":"restart","value":50}`)
	}
	f.eventually("the engine serves again", func() bool {
		r, _ := f.complete(0, "read-000", "after restart", 4)
		return r.status == 200
	})
}

// Another client unloads an adapter from an engine. The agent considers it loaded and
// starts requests on it, all of which the engine refuses. The agent must detect this, or
// requests for the adapter fail until the agent is replaced.
func TestAdapterUnloadedByAnotherClient(t *testing.T) {
	f := newFleet(t, fastLayout(1))
	if r, _ := f.complete(0, "read-000", "before", 3); r.status != 200 {
		t.Fatal(r)
	}
	f.upstreamFault("r0", `{"kind":"ignorefence"}`)
	resp, err := http.Post(f.url(400+f.index("r0"))+"/v1/unload_lora_adapter", "application/json",
		strings.NewReader(`{"lora_name":"a000@v1","fence":0}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	f.eventually("the adapter is served again", func() bool {
		r, text := f.complete(1, "read-000", "after", 3)
		return r.status == 200 && text == engine.Expect("a000@v1", "after", 3)
	})
}

// A second agent is started for the same upstream, for example by a platform that considers
// the first one dead. It must not send any order to the upstream.
func TestTwoAgentsForOneUpstream(t *testing.T) {
	f := newFleet(t, fastLayout(1))
	first := f.processes["r0"]
	f.start("r0")
	if code := f.wait("r0"); code == 0 {
		t.Errorf("the second agent exited with status %d", code)
	}
	log, err := os.ReadFile(filepath.Join(f.layout.Dir, fmt.Sprintf("r0.%d.log", f.starts)))
	if err != nil || strings.Contains(string(log), "msg=duty") {
		t.Errorf("the second agent became active: %v\n%s", err, log)
	}
	f.processes["r0"] = first
	if r, _ := f.complete(0, "read-000", "still one", 4); r.status != 200 {
		t.Errorf("got %v", r)
	}
}

// An agent is replaced while its engine keeps running with adapters loaded. The new agent
// must learn what the engine holds, or it finds no free slot.
func TestAgentReplacedBesideRunningEngine(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 12, LoadRate: 50, ParallelLoads: 8})
	for i := range 8 {
		if r, _ := f.complete(0, fmt.Sprintf("read-%03d", i), "fill", 2); r.status != 200 {
			t.Fatal(r)
		}
	}
	f.kill("r0")
	f.start("r0")
	f.ready()
	for i := range 12 {
		profile := fmt.Sprintf("read-%03d", i)
		f.eventually(profile+" is served", func() bool {
			r, _ := f.complete(1, profile, "again", 2)
			return r.status == 200
		})
	}
}

// Engines restart while long responses are streamed. A caller must get the whole response,
// continued by another engine, or an error event: a stream that just ends looks like a
// shorter response.
func TestEngineLostInTheMiddleOfAStream(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	const tokens = 200
	whole := 0
	for i := range 4 {
		prompt := fmt.Sprintf("advice %d", i)
		begun := make(chan struct{})
		type ending struct {
			text, fault string
			whole       bool
		}
		got := make(chan ending, 1)
		go func() {
			text, whole, fault := f.stream(i%2, "advisor", prompt, tokens, begun)
			got <- ending{text, fault, whole}
		}()
		<-begun
		f.upstreamFault(f.streamingAgent(), `{"kind":"restart","value":50}`)
		e := <-got
		want := engine.Expect("a001@v1", prompt, tokens)
		switch {
		case e.whole && e.text != want:
			t.Errorf("stream %d ended with [DONE] after %d of %d bytes", i, len(e.text), len(want))
		case !e.whole && (e.fault == "" || e.fault == "silent"):
			t.Errorf("stream %d ended without [DONE] or an error", i)
		case !strings.HasPrefix(want, e.text):
			t.Errorf("stream %d contains text of another response", i)
		}
		if e.whole {
			whole++
		}
	}
	if whole == 0 {
		t.Error("no response was continued by another engine")
	}
}
