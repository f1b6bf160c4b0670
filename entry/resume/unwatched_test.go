package resume

import (
	"testing"

	"magnoliastall.example/magno/builds"
)

// startSilentPair starts an entry and an agent, which tell each other nothing unless asked.
func startSilentPair(t *testing.T) (f *fleet, asker, keeper *node) {
	t.Helper()
	f = &fleet{}
	asker, keeper = f.newNode(t), f.newNode(t)
	f.entries, f.agents = []*node{asker}, []*node{keeper}
	asker.start(t, false)
	keeper.start(t, false)
	return f, asker, keeper
}

// Guards against taking a build for the only one by what a few others saw: this process wasn't there, or its
// list was out of date, and those that know of another build aren't asked.
func TestOthersAreAskedAboutTimeThatWasNotWatched(t *testing.T) {
	f, asker, keeper := startSilentPair(t)
	asker.Builds.Update(map[string][]string{service: {"v1"}})
	f.advance(lasts)
	told := *asker.Builds.Report()
	if got := asker.find(""); got != "v1" {
		t.Errorf("got %q from an entry that has watched for long, want v1", got)
	}
	asker.Builds.Forget()
	asker.Builds.Merge(&told)
	keeper.Builds.Update(map[string][]string{service: {"v1", "v2"}})
	if got := asker.find(""); got != "" {
		t.Errorf("got %q, though an agent knows of two builds", got)
	}
}

// Guards against guessing as only processes answer that know nothing of the builds: agents that nobody told,
// or those of a version that doesn't exchange them.
func TestAnswerWithoutBuildsProvesNothing(t *testing.T) {
	f, asker, young := startSilentPair(t)
	asker.Builds.Update(map[string][]string{service: {"v2"}})
	f.advance(patience)
	if got := asker.find(""); got != "" {
		t.Errorf("got %q, though nobody has told what served before", got)
	}
	young.Builds.Update(map[string][]string{service: {"v2"}})
	if got := asker.find(""); got != "" {
		t.Errorf("got %q from processes that have just started", got)
	}
	f.advance(lasts)
	if got := asker.find(""); got != "v2" {
		t.Errorf("got %q once another process knows of v2 only, want v2", got)
	}
}

// Guards against refusing callers that don't state the attempt for as long as a stream lasts after each time in
// which the list was out of date, though nobody has seen another build; and against going on if somebody has.
func TestListThatWasOutOfDateRefusesNoStreamOfTheOnlyBuild(t *testing.T) {
	f, asker, agent := startSilentPair(t)
	asker.Builds.Update(map[string][]string{service: {"v1"}})
	f.advance(lasts)
	agent.Builds.Merge(asker.Builds.Report())
	asker.Builds.Forget()
	f.advance(lasts / 2)
	asker.Builds.Forget()
	if got := asker.find(""); got != "v1" {
		t.Errorf("got %q, though nobody has seen another build, want v1", got)
	}
	agent.Builds.Merge(&builds.Report{Seen: []builds.Seen{{Build: builds.Build{Service: service, Version: "v2"}}}})
	if got := asker.find(""); got != "" {
		t.Errorf("got %q, though an agent has just seen another build", got)
	}
}

// Guards against guessing once all entries were killed and the agents that were told left with their engines: the
// others have started too, or know nothing.
func TestKeepersLeaveWhileAllEntriesAreAway(t *testing.T) {
	f := startFleet(t, 3, 2)
	f.update(map[string][]string{service: {"v1", "v2"}})
	f.waitForBuilds(t, "v1", "v2")
	stranger := f.newNode(t)
	stranger.clock.Advance(f.entries[0].clock.Now() - stranger.clock.Now())
	stranger.start(t, false)
	f.mu.Lock()
	f.agents = []*node{stranger}
	f.mu.Unlock()
	f.restartEntries(t, map[string][]string{service: {"v2"}})
	f.advance(patience)
	for i, k := range f.entries {
		if got := k.find(""); got != "" {
			t.Errorf("entry %d takes a stream that v1 may have begun for %q", i, got)
		}
	}
}
