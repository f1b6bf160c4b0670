package send

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// joiner forwards the pieces of one answer, each once and in order, over several attempts.
// A second attempt at a deterministic engine repeats what the caller already has. As long
// as both are identical, the answer continues where it stopped. If they differ, joining
// them would yield an answer that no engine generated. What engines of two builds write isn't joined at
// all.
type joiner struct {
	emit func(magno.Piece)
	// build is that of the engine which wrote what was delivered.
	build string
	// delivered is the text that the caller has received.
	delivered strings.Builder
	// text is what the current attempt sent, in partCount pieces.
	text      strings.Builder
	partCount int
	// gap is true if a piece of the current attempt is missing.
	gap bool
	// diverged is true if the attempts differ; the answer must then end.
	diverged bool
}

// begin starts an attempt.
func (j *joiner) begin() {
	j.text.Reset()
	j.partCount = 0
	j.gap = false
}

// onPart handles a notification of the agent.
func (j *joiner) onPart(method string, params json.RawMessage) {
	if method != magno.MethodPart {
		return
	}
	var p magno.RunPart
	if json.Unmarshal(params, &p) != nil || p.Seq != j.partCount+1 {
		j.gap = true
		return
	}
	j.partCount++
	j.checkBuild(p.Build)
	j.add(p.Piece)
}

// checkBuild ends the answer if an engine of another build continues it.
func (j *joiner) checkBuild(build string) {
	if j.delivered.Len() > 0 && build != j.build {
		j.diverged = true
		return
	}
	j.build = build
}

func (j *joiner) add(p magno.Piece) {
	offset := j.text.Len()
	j.text.WriteString(p.Text)
	if j.diverged || j.gap {
		return
	}
	delivered := j.delivered.String()
	repeated := min(max(len(delivered)-offset, 0), len(p.Text))
	if p.Text[:repeated] != delivered[min(offset, len(delivered)):min(offset, len(delivered))+repeated] {
		j.diverged = true
		return
	}
	if rest := p.Text[repeated:]; rest != "" {
		j.delivered.WriteString(rest)
		j.emit(magno.Piece{Text: rest, Tokens: p.Tokens})
	}
}

// verify checks that the stream equals the agent's answer, and forwards what a replay
// returned without pieces. Otherwise a stream cut short by a lost message would look like
// a short answer.
func (j *joiner) verify(reply magno.RunReply, call magno.RunCall) *magno.Refusal {
	text := reply.Result.Text
	if reply.Result.Ref != call.Work.Job.Ref {
		return magno.Refuse(magno.KindInternal, "%s ran instead of %s", reply.Result.Ref, call.Work.Job.Ref).WithRun(magno.RunYes)
	}
	if reply.Sum != xxhash.Sum64String(text) {
		return magno.Refuse(magno.KindInterrupted, "the answer's sum does not match").WithRun(magno.RunYes)
	}
	if !call.Stream {
		return nil
	}
	if !reply.Replay { // an answer that was made before is that of one run
		j.checkBuild(reply.Build)
	}
	delivered := j.delivered.String()
	if j.diverged || !strings.HasPrefix(text, delivered) {
		j.diverged = true
		return magno.Refuse(magno.KindInterrupted, "a second attempt answered otherwise").WithRun(magno.RunYes)
	}
	if rest := text[len(delivered):]; rest != "" {
		j.delivered.WriteString(rest)
		j.emit(magno.Piece{Text: rest, Tokens: 0})
	}
	return nil
}
