package gate

import (
	"strings"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/learn"
)

// seen takes which requests the engine shows to make events: their prompts are
// read. Others may run there that never asked for a permit; they tell about its
// steps all the same.
func (g *Gate) seen(r *magno.Report, asked magno.Millis) {
	runs := make([]learn.Run, 0, len(r.Runs))
	making := make(map[string]int, len(r.Runs))
	for _, run := range r.Runs {
		runs = append(runs, learn.Run{ID: run.ID, Events: run.Events})
		making[run.ID] = run.Events
	}
	for id, run := range g.runs {
		run.events = max(run.events, making[attempt(id)])
		switch {
		case run.unread == 0:
		case run.events > 0:
			g.pace.read(run.unread)
			run.unread = 0
		case asked > run.readBy:
			g.pace.gave(run.unread)
			run.unread = 0
		}
	}
	g.pace.look(runs, asked)
}

// attempt is the caller's own ID, which ends that of each permit.
func attempt(id string) string { return id[strings.LastIndexByte(id, '/')+1:] }

// tightest is the shortest pause that any stream here is allowed, zero when none
// says.
func (g *Gate) tightest() magno.Millis {
	least := magno.Millis(0)
	take := func(gap magno.Millis) {
		if gap > 0 && (least == 0 || gap < least) {
			least = gap
		}
	}
	for _, r := range g.runs {
		take(r.ask.MaxGap)
	}
	for _, w := range g.queue {
		take(w.MaxGap)
	}
	return least
}
