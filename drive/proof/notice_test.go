package proof

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"magnoliastall.example/magno"
)

// Guards against an agent going on to use an engine that states that it leaves, or that turns
// requests away: callers are served by the other one. Its restart ends what it stated, long before
// the time that it named.
func TestAgentsGoByWhatUpstreamsState(t *testing.T) {
	l := fastLayout(2)
	l.Adapters = 10 // more than one engine has room for: one that is empty is used for some of them
	f := newFleet(t, l)
	calls := 0
	ask := func(n int, kind string) reply {
		calls++
		got, _ := f.complete(n%2, fmt.Sprintf("read-%03d", calls%l.Adapters), fmt.Sprint(kind, calls), 2)
		return got
	}
	i := slices.IndexFunc(f.instances, func(in magno.Instance) bool { return in.Pool == "reading" })
	engine := f.instances[i].Name
	for _, kind := range []string{"leaving", "rest"} {
		f.upstreamFault(engine, fmt.Sprintf(`{"kind":%q,"value":240000}`, kind))
		f.eventually("no request reaches the engine that states "+kind, func() bool {
			before := len(f.engineRuns()[engine])
			for n := range 12 {
				if got := ask(n, kind); got.status != http.StatusOK {
					return false
				}
			}
			return len(f.engineRuns()[engine]) == before
		})
		f.upstreamFault(engine, `{"kind":"clear"}`)
		f.upstreamFault(engine, `{"kind":"restart","value":100}`)
		f.eventually("the engine is used again after it stated "+kind+" and restarted", func() bool {
			before := len(f.engineRuns()[engine])
			for n := range 12 {
				ask(n, "after "+kind)
			}
			return len(f.engineRuns()[engine]) > before
		})
	}
}
