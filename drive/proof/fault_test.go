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

// An agent is killed without a word while readings come in. Readings may be
// repeated, so callers must not notice: each gets its answer from another
// upstream.
func TestAgentKilledUnderLoad(t *testing.T) {
	f := newFleet(t, quick(3))
	var wg sync.WaitGroup
	var done atomic.Int64
	for n := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 30 {
				prompt := fmt.Sprintf("reading %d of %d", i, n)
				if r, text := f.ask(n%2, "read-000", prompt, 6); text != engine.Expect("a000@v1", prompt, 6) {
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

// One request crashes each engine that runs it, and its caller sends it again
// and again. After the second crash it must be refused, or it takes the whole
// pool down; its neighbours must get their answers.
func TestRequestThatCrashesEngines(t *testing.T) {
	f := newFleet(t, quick(4))
	for _, in := range f.instances {
		if in.Pool == "reading" {
			f.upstreamFault(in.Name, `{"kind":"crash","match":"poison"}`)
		}
	}
	boots := f.boots()
	refused := false
	for i := range 12 {
		r, _ := f.ask(i%2, "read-000", "poison pill", 50)
		if r.status == 200 {
			t.Fatalf("a crash was answered: %v", r)
		}
		refused = refused || r.kind() == magno.KindSuspect
		prompt := fmt.Sprintf("neighbour %d", i)
		if r, text := f.ask(i%2, "read-000", prompt, 4); text != engine.Expect("a000@v1", prompt, 4) {
			t.Errorf("neighbour: %v", r)
		}
	}
	if !refused {
		t.Error("it was never refused as a suspect")
	}
	crashes := 0
	for name, boot := range f.boots() {
		if boot != boots[name] {
			crashes++
		}
	}
	if crashes > 2*2 { // two for each entry that has to find out by itself
		t.Errorf("%d engines crashed", crashes)
	}
}

// boots returns the boot number of each engine.
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

// An engine restarts empty under its agent. The agent still believes its
// adapters loaded; requests must not fail for that, for there is another.
func TestEngineRestartsEmpty(t *testing.T) {
	f := newFleet(t, quick(2))
	for i := range 3 {
		prompt := fmt.Sprintf("before restart %d", i)
		if r, text := f.ask(0, "read-000", prompt, 4); text != engine.Expect("a000@v1", prompt, 4) {
			t.Errorf("round %d: %v", i, r)
		}
		f.upstreamFault(fmt.Sprintf("r%d", i%2), `{"kind":"restart","value":50}`)
	}
	f.eventually("the engine serves again", func() bool {
		r, _ := f.ask(0, "read-000", "after restart", 4)
		return r.status == 200
	})
}

// An adapter disappears from an engine behind its agent's back, by somebody
// else's order. The agent believes it loaded and starts requests on it, which
// the engine refuses each time; it must find out, or callers of this one
// adapter get no answer until the agent is replaced.
func TestAdapterGoneBehindTheAgentsBack(t *testing.T) {
	f := newFleet(t, quick(1))
	if r, _ := f.ask(0, "read-000", "before", 3); r.status != 200 {
		t.Fatal(r)
	}
	f.upstreamFault("r0", `{"kind":"ignorefence"}`)
	resp, err := http.Post(f.url(400+f.index("r0"))+"/v1/unload_lora_adapter", "application/json",
		strings.NewReader(`{"lora_name":"a000@v1","fence":0}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	f.eventually("it is served again", func() bool {
		r, text := f.ask(1, "read-000", "after", 3)
		return r.status == 200 && text == engine.Expect("a000@v1", "after", 3)
	})
}

// A second agent is started for an upstream that has one, say by a platform
// that believed the first one dead. It must not send a single order.
func TestTwoAgentsForOneUpstream(t *testing.T) {
	f := newFleet(t, quick(1))
	first := f.processes["r0"]
	f.start("r0")
	if code := f.wait("r0"); code == 0 {
		t.Errorf("the second agent ended with %d", code)
	}
	log, err := os.ReadFile(filepath.Join(f.layout.Dir, fmt.Sprintf("r0.%d.log", f.starts)))
	if err != nil || strings.Contains(string(log), "msg=duty") {
		t.Errorf("the second agent took up its duties: %v\n%s", err, log)
	}
	f.processes["r0"] = first
	if r, _ := f.ask(0, "read-000", "still one", 4); r.status != 200 {
		t.Errorf("got %v", r)
	}
}

// An agent is replaced while its engine keeps running with adapters loaded.
// The new one must know what the engine holds, or it finds no slot free.
func TestAgentReplacedBesideRunningEngine(t *testing.T) {
	f := newFleet(t, layout.Layout{Engines: 1, PlainServices: 4, Adapters: 12, LoadRate: 50, ParallelLoads: 8})
	for i := range 8 {
		if r, _ := f.ask(0, fmt.Sprintf("read-%03d", i), "fill", 2); r.status != 200 {
			t.Fatal(r)
		}
	}
	f.kill("r0")
	f.start("r0")
	f.ready()
	for i := range 12 {
		profile := fmt.Sprintf("read-%03d", i)
		f.eventually(profile+" is served", func() bool {
			r, _ := f.ask(1, profile, "again", 2)
			return r.status == 200
		})
	}
}

// Engines restart while long answers stream through them. A caller must get
// the whole answer, taken up by another engine, or be told that it ended: an
// answer that just stops reads as if the advisor had no more to say.
func TestEngineLostInTheMiddleOfAStream(t *testing.T) {
	f := newFleet(t, quick(2))
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
		f.upstreamFault(f.streaming(), `{"kind":"restart","value":50}`)
		e := <-got
		want := engine.Expect("a001@v1", prompt, tokens)
		switch {
		case e.whole && e.text != want:
			t.Errorf("stream %d ended as whole with %d of %d bytes", i, len(e.text), len(want))
		case !e.whole && (e.fault == "" || e.fault == "silent"):
			t.Errorf("stream %d was cut without a word", i)
		case !strings.HasPrefix(want, e.text):
			t.Errorf("stream %d holds words of another answer", i)
		}
		if e.whole {
			whole++
		}
	}
	if whole == 0 {
		t.Error("no answer was taken up by another engine")
	}
}
