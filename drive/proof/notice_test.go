package proof

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an agent going on to use an engine that states that it leaves, or that turns
// requests away: callers are served by the other one.
func TestAgentsGoByWhatUpstreamsState(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	i := slices.IndexFunc(f.instances, func(in magno.Instance) bool { return in.Pool == "reading" })
	engine := f.instances[i].Name
	for _, kind := range []string{"leaving", "rest"} {
		f.upstreamFault(engine, fmt.Sprintf(`{"kind":%q,"value":60000}`, kind))
		f.eventually("no request reaches the engine that states "+kind, func() bool {
			before := len(f.engineRuns()[engine])
			for n := range 12 {
				got, _ := f.complete(n%2, fmt.Sprintf("read-%03d", n%4), fmt.Sprint(kind, n), 2)
				if got.status != http.StatusOK {
					return false
				}
			}
			return len(f.engineRuns()[engine]) == before
		})
		f.upstreamFault(engine, `{"kind":"clear"}`)
		f.upstreamFault(engine, `{"kind":"restart","value":100}`)
	}
	f.eventually("the engine is used again after its restart", func() bool {
		before := len(f.engineRuns()[engine])
		for n := range 12 {
			f.complete(n%2, fmt.Sprintf("read-%03d", n%4), fmt.Sprint("again", n), 2)
		}
		return len(f.engineRuns()[engine]) > before
	})
}
