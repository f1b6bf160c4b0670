package engine

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// The states of a request; it ends in one of the last three.
const (
	stateActive    = int32(iota) // waiting or running
	stateDone                    // every word is made
	stateCancelled               // its caller gave it up
	stateAborted                 // the engine went down under it
)

// Run is the record of one request that entered a batch.
type Run struct {
	ID    string `json:"request_id"`
	Model string `json:"model"`
	// Prompt is the hash of the prompt in hexadecimal.
	Prompt string `json:"prompt"`
	// Ended is true once every word was made.
	Ended bool `json:"ended"`
}

// run is a request that the engine has taken.
type request struct {
	id       string
	model    string
	prompt   string
	hash     string // of the prompt
	priority int
	// order is the number of its arrival, created its time in seconds.
	arrival int64
	created int64
	// tokens is the prompt's length; fill is what of it is still to be read,
	// and cached what the prefix cache spared.
	tokens, prefillLeft, cached int
	// want is the number of words to make.
	outputTokens int
	// finish is the reason told at the end.
	finish string
	// prefixes are the hashes of the prompt's whole blocks.
	prefixes []uint64
	// record is nil until the request enters a batch.
	record *Run
	// made counts words and never exceeds want.
	generated atomic.Int64
	state     atomic.Int32
	// wake tells the handler that made or state changed.
	wake chan struct{}
}

// end moves an open request to its last state and wakes its handler.
func (r *request) terminate(state int32) {
	r.state.CompareAndSwap(stateActive, state)
	r.notify()
}

func (r *request) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Expect returns the whole answer to a prompt. Each word tells the model, a
// hash of the prompt and its own place, so that a word of another answer, a
// lost one and a doubled one all show.
func Expect(model, prompt string, maxTokens int) string {
	want, _ := outputLength(prompt, maxTokens)
	return outputText(model, HashPrompt(prompt), 0, want)
}

// HashPrompt returns the hash under which /counts lists a prompt.
func HashPrompt(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// words returns the words from first to just before last.
func outputText(model, hash string, first, last int) string {
	var b strings.Builder
	for i := first; i < last; i++ {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(model)
		b.WriteByte(':')
		b.WriteString(hash)
		b.WriteByte(':')
		b.WriteString(strconv.Itoa(i))
	}
	return b.String()
}

// length returns how many words answer a prompt, and why they end: a prompt
// with a word len=N is answered by N words at most.
func outputLength(prompt string, maxTokens int) (int, string) {
	const prefix = "len="
	for _, word := range strings.Fields(prompt) {
		digits, ok := strings.CutPrefix(word, prefix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(digits)
		if err == nil && n >= 1 && n <= maxTokens {
			return n, "stop"
		}
	}
	return maxTokens, "length"
}
