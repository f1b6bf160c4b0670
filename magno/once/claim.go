package once

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/roster"
)

// voteResult is the result of a round of voting.
type voteResult int

const (
	votePending     voteResult = iota // not decided, replies are outstanding
	voteWon                           // a quorum granted the key to this holder
	voteLost                          // a quorum granted the key to another holder
	voteYield                         // split vote; this holder must cede its grants
	voteBlocked                       // split vote; the other holders must cede theirs
	voteUnreachable                   // too few witnesses replied
	voteImpossible                    // too many witnesses will never grant the key
)

// tally counts the replies to one round of voting on a key.
type tally struct {
	// holder identifies this process.
	holder string
	set    roster.Set
	// replied holds the members that replied or could not be reached.
	replied map[string]bool
	// votes counts the members that granted the key to holder, refusals those that
	// won't grant it to anyone any more.
	votes, refusals int
	// rivals counts, for each other holder, the members that granted it the key.
	rivals map[string]int
}

func newTally(holder string, set roster.Set) *tally {
	return &tally{holder: holder, set: set, replied: map[string]bool{}, rivals: map[string]int{}}
}

// add counts the reply of a member. Further replies of that member are ignored, because
// a duplicated message must not count as two witnesses.
func (t *tally) add(member string, reply magno.GrantReply, reached bool) {
	if t.replied[member] {
		return
	}
	t.replied[member] = true
	switch {
	case !reached:
	case reply.Holder == t.holder:
		t.votes++
	case reply.Holder != "":
		t.rivals[reply.Holder]++
	case reply.Reason == magno.GrantForgot || reply.Reason == magno.GrantStale:
		t.refusals++
	}
}

// result returns the result so far, and the other holder if it matters.
func (t *tally) result() (voteResult, string) {
	if t.votes >= t.set.Quorum {
		return voteWon, ""
	}
	unavailable, maxRival, firstHolder := t.refusals, 0, t.holder
	for holder, n := range t.rivals {
		if n >= t.set.Quorum {
			return voteLost, holder
		}
		unavailable += n
		maxRival = max(maxRival, n)
		firstHolder = min(firstHolder, holder)
	}
	outstanding := len(t.set.Members) - len(t.replied)
	switch {
	case len(t.set.Members)-unavailable < t.set.Quorum:
		// A rival that may already have a quorum doesn't need our votes.
		if maxRival > 0 && outstanding > 0 && maxRival+outstanding >= t.set.Quorum {
			return votePending, ""
		}
		return t.resolveSplit(firstHolder), firstHolder
	case outstanding == 0:
		return voteUnreachable, ""
	}
	return votePending, ""
}

// resolveSplit decides who yields if this holder can't reach a quorum any more. All
// holders use the same order, so two of them never yield to each other.
func (t *tally) resolveSplit(firstHolder string) voteResult {
	switch {
	case len(t.rivals) == 0:
		return voteImpossible
	case firstHolder == t.holder:
		return voteBlocked
	}
	return voteYield
}
