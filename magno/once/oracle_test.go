package once

import (
	"fmt"
	"slices"

	"magnoliastall.example/magno"
)

// bodyCount is the number of different requests that a caller sends under one key by mistake.
const bodyCount = 2

// groundTruth is what really happened to one key, and what callers were told.
type groundTruth struct {
	runs int
	// body and text belong to the last run.
	body uint64
	text string
	// denied marks the bodies whose caller was told "not run".
	denied [bodyCount]bool
	// wrongAnswer is set once a caller got an answer that is not that of its run.
	wrongAnswer bool
}

func (o *groundTruth) recordRun(body uint64, text string) {
	o.runs++
	o.body, o.text = body, text
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	key     int
	body    uint64
	attempt *attempt
}

// collectReplies records the replies of all calls whose attempt is complete.
func (sim *simulation) collectReplies() {
	sim.pending = slices.DeleteFunc(sim.pending, func(a pendingCall) bool {
		select {
		case <-a.attempt.done:
			sim.recordReply(a, a.attempt.reply)
			return true
		default:
			return false
		}
	})
}

// recordReply records what a caller was told.
func (sim *simulation) recordReply(a pendingCall, reply magno.RunReply) {
	if sim.variant.denyEarly && reply.Refusal != nil && reply.Refusal.Kind == magno.KindLater {
		reply.Refusal.Run = magno.RunNo
	}
	o := &sim.truths[a.key]
	switch {
	case reply.Result != nil:
		o.wrongAnswer = o.wrongAnswer || reply.Result.Text != o.text || a.body != o.body
	case reply.Refusal.Run == magno.RunNo:
		o.denied[a.body] = true
	}
}

// violation returns a description of the first violation, or "". A key may run at most once,
// a request may not run if its caller was told "not run", and every answer must be that of
// the run.
func (sim *simulation) violation() string {
	for key, o := range sim.truths {
		switch {
		case o.runs > 1:
			return fmt.Sprintf("key %d ran %d times", key, o.runs)
		case o.runs > 0 && o.denied[o.body]:
			return fmt.Sprintf("key %d ran, but a caller was told that it did not", key)
		case o.wrongAnswer:
			return fmt.Sprintf("key %d: an answer is not that of its run", key)
		}
	}
	return ""
}

// coverage returns which of the outcomes that must be tested occurred in the history.
func (sim *simulation) coverage() map[string]int {
	covered := map[string]int{
		"lost": sim.results[voteLost], "yield": sim.results[voteYield], "blocked": sim.results[voteBlocked],
		"short": sim.results[voteUnreachable], "dead": sim.results[voteImpossible], "replayed": sim.replayed,
		"forgot": sim.reasons[magno.GrantForgot], "stale": sim.reasons[magno.GrantStale],
	}
	for _, o := range sim.truths {
		covered["ran"] += o.runs
		if slices.Contains(o.denied[:], true) {
			covered["denied"]++
		}
		if o.runs > 0 && o.denied[1-o.body] {
			covered["another body denied"]++
		}
	}
	for what, n := range covered {
		covered[what] = min(n, 1)
	}
	return covered
}
