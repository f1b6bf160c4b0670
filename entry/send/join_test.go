package send

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
)

// attempt is what one attempt sent: parts by number and text, then the answer.
type attempt struct {
	seqs   []int
	texts  []string
	answer string
	// cut is true if the attempt ends without an answer.
	cut bool
	// build is that of the engine.
	build string
}

func (a attempt) play(j *joiner) *magno.Refusal {
	j.begin()
	for i, seq := range a.seqs {
		data, _ := json.Marshal(magno.RunPart{Seq: seq, Piece: magno.Piece{Text: a.texts[i], Tokens: 1}, Build: a.build})
		j.onPart(magno.MethodPart, data)
	}
	if a.cut {
		return nil
	}
	reply := magno.RunReply{Result: &magno.Result{Text: a.answer}, Sum: xxhash.Sum64String(a.answer), Build: a.build}
	return j.verify(reply, magno.RunCall{Stream: true})
}

// An answer takes several attempts if an upstream crashes in the middle. The caller must
// receive it once and in order: repeated words, or the start of one answer joined to the
// end of another, would look like a valid answer.
func TestJoin(t *testing.T) {
	half := attempt{seqs: []int{1, 2}, texts: []string{"one ", "two "}, cut: true}
	tests := []struct {
		name   string
		tries  []attempt
		pieces string
		broken bool
	}{
		{"one attempt", []attempt{{seqs: []int{1, 2}, texts: []string{"a", "b"}, answer: "ab"}}, "a|b", false},
		{"replay without pieces", []attempt{{answer: "ab"}}, "ab", false},
		{"a lost piece", []attempt{{seqs: []int{1, 3}, texts: []string{"a", "c"}, answer: "abc"}}, "a|bc", false},
		{"a lost first piece", []attempt{{seqs: []int{2, 3}, texts: []string{"b", "c"}, answer: "abc"}}, "abc", false},
		{"a piece twice", []attempt{{seqs: []int{1, 1, 2}, texts: []string{"a", "a", "b"}, answer: "ab"}}, "a|b", false},
		{"the second repeats", []attempt{half, {seqs: []int{1, 2, 3}, texts: []string{"one ", "two ", "three"}, answer: "one two three"}},
			"one |two |three", false},
		{"the second repeats in other pieces", []attempt{half, {seqs: []int{1, 2}, texts: []string{"one two th", "ree"}, answer: "one two three"}},
			"one |two |th|ree", false},
		{"the second is cut earlier", []attempt{half, {seqs: []int{1}, texts: []string{"one "}, cut: true}, {answer: "one two three"}},
			"one |two |three", false},
		{"the second differs", []attempt{half, {seqs: []int{1, 2}, texts: []string{"one ", "too "}, answer: "one too many"}}, "one |two ", true},
		{"the second differs after what it has", []attempt{half, {seqs: []int{1}, texts: []string{"one two or"}, answer: "one two four"}},
			"one |two |or", true},
		{"the second repeats, at another build", []attempt{half, {seqs: []int{1, 2, 3}, texts: []string{"one ", "two ", "three"}, answer: "one two three", build: "v2"}},
			"one |two ", true},
		{"the second has it at once, at another build", []attempt{half, {answer: "one two three", build: "v2"}}, "one |two ", true},
		{"nothing came before, from another build", []attempt{{cut: true}, {seqs: []int{1}, texts: []string{"one"}, answer: "one", build: "v2"}}, "one", false},
		{"the second is shorter", []attempt{half, {seqs: []int{1}, texts: []string{"one "}, answer: "one "}}, "one |two ", true},
	}
	for _, tt := range tests {
		var pieces []string
		j := &joiner{emit: func(p magno.Piece) { pieces = append(pieces, p.Text) }}
		var refusal *magno.Refusal
		for _, a := range tt.tries {
			refusal = a.play(j)
		}
		if got := strings.Join(pieces, "|"); got != tt.pieces || j.diverged != tt.broken || (refusal != nil) != tt.broken {
			t.Errorf("%s: pieces %q, broken %v, %v", tt.name, got, j.diverged, refusal)
		}
		if refusal != nil && (refusal.Kind != magno.KindInterrupted || refusal.Run != magno.RunYes) {
			t.Errorf("%s: %v run=%s", tt.name, refusal, refusal.Run)
		}
	}
}

// A reply that is corrupt or comes from another adapter must be refused.
func TestVerify(t *testing.T) {
	tests := []struct {
		name  string
		reply magno.RunReply
		kind  magno.Kind
	}{
		{"sum", magno.RunReply{Result: &magno.Result{Text: "a"}, Sum: 1}, magno.KindInterrupted},
		{"adapter", magno.RunReply{Result: &magno.Result{Ref: magno.Ref{Adapter: "b"}, Text: "a"}, Sum: xxhash.Sum64String("a")}, magno.KindInternal},
	}
	for _, tt := range tests {
		j := &joiner{emit: func(magno.Piece) { t.Errorf("%s: a piece was forwarded", tt.name) }}
		if r := j.verify(tt.reply, magno.RunCall{Stream: true}); r == nil || r.Kind != tt.kind || r.Run != magno.RunYes {
			t.Errorf("%s: %v", tt.name, r)
		}
	}
}
