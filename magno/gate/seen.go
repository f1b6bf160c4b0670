package gate

import (
	"strings"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/learn"
)

// updateProgress takes the requests that the engine reports as producing events: their prompts
// have been prefilled. Requests that reached the engine without a permit are included, since
// they also show its step times.
func (g *Gate) updateProgress(r *magno.Report, asked magno.Millis) {
	runs := make([]learn.Stream, 0, len(r.Streams))
	eventsByID := make(map[string]int, len(r.Streams))
	for _, run := range r.Streams {
		runs = append(runs, learn.Stream{ID: run.ID, Events: run.Events})
		eventsByID[run.ID] = run.Events
	}
	for id, run := range g.active {
		run.events = max(run.events, eventsByID[attemptID(id)])
		switch {
		case run.prefillTokens == 0:
		case run.events > 0:
			g.pacer.finish(run.prefillTokens)
			run.prefillTokens = 0
		case asked > run.prefillBy:
			g.pacer.discard(run.prefillTokens)
			run.prefillTokens = 0
		}
	}
	g.lengths.invalidate()
	g.pacer.observe(runs, asked)
}

// attemptID returns the caller's ID of an attempt, which is the last part of a permit's ID.
func attemptID(id string) string { return id[strings.LastIndexByte(id, '/')+1:] }

// minGap is the shortest pause allowed to any running or queued stream, zero if none sets one.
func (g *Gate) minGap() magno.Millis {
	least := magno.Millis(0)
	take := func(gap magno.Millis) {
		if gap > 0 && (least == 0 || gap < least) {
			least = gap
		}
	}
	for _, r := range g.active {
		take(r.request.MaxGap)
	}
	for _, w := range g.queue {
		take(w.MaxGap)
	}
	return least
}
