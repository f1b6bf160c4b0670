package proof

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the scripts in testdata against a fleet of real processes: operators'
// and callers' commands with their expected output.
func TestScripts(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", programDir+string(filepath.ListSeparator)+e.Getenv("PATH"))
			e.Setenv("MAGNO_FLEET", filepath.Join(f.layout.Dir, "fleet.json"))
			e.Setenv("LAYOUT", f.layout.Dir)
			e.Setenv("CONF", f.url(11))
			e.Setenv("LIST", f.url(21))
			for n := range f.layout.Entries {
				e.Setenv(fmt.Sprintf("ENTRY%d", n), f.url(80+n))
			}
			e.Setenv("KEY", newKey())
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"post": func(ts *testscript.TestScript, _ bool, args []string) { scriptPost(ts, f, args) },
			"runs": func(ts *testscript.TestScript, _ bool, args []string) { scriptRuns(ts, f, args) },
		},
	})
}

// scriptPost sends a request: post ENTRY PATH KEY BODY. It writes the response, preceded by
// status and headers, to the file reply.
func scriptPost(ts *testscript.TestScript, f *fleet, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: post ENTRY PATH KEY BODY")
	}
	r := f.post(int(args[0][0]-'0'), args[1], strings.Trim(args[2], "-"), args[3])
	var text strings.Builder
	fmt.Fprintf(&text, "status %d\n", r.status)
	for _, name := range []string{"X-Kind", "X-Run", "X-Adapter", "X-Version", "X-Replay", "Retry-After", "Content-Type"} {
		fmt.Fprintf(&text, "%s: %s\n", name, r.header.Get(name))
	}
	fmt.Fprintf(&text, "\n%s\n", r.body)
	ts.Check(writeFile(ts.MkAbs("reply"), text.String()))
}

// scriptRuns checks how often plain services ran a body: runs N BODY.
func scriptRuns(ts *testscript.TestScript, f *fleet, args []string) {
	limit := time.Now().Add(waitTimeout)
	for fmt.Sprint(f.runsOf(args[1])) != args[0] {
		if time.Now().After(limit) {
			ts.Fatalf("ran %d times, want %s", f.runsOf(args[1]), args[0])
		}
		time.Sleep(20 * time.Millisecond)
	}
}
