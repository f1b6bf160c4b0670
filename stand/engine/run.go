package engine

import (
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// The states of a request. All but the first are final.
const (
	stateActive    = int32(iota) // waiting or running
	stateDone                    // every output token was generated
	stateCancelled               // cancelled, or its client disconnected
	stateAborted                 // the engine went down
)

// Run records one request that entered a batch.
type Run struct {
	ID    string `json:"request_id"`
	Model string `json:"model"`
	// Prompt is the hash of the prompt in hexadecimal.
	Prompt string `json:"prompt"`
	// Ended is true once every output token was generated.
	Ended bool `json:"ended"`
}

// request is a request that the engine has accepted.
type request struct {
	id       string
	model    string
	prompt   string
	hash     string // of the prompt
	priority int
	// arrival is the sequence number of its arrival, created the time in seconds.
	arrival int64
	created int64
	// tokens is the length of the prompt, prefillLeft the number of tokens still
	// to prefill, and cached the number found in the prefix cache.
	tokens, prefillLeft, cached int
	// outputTokens is the number of tokens to generate.
	outputTokens int
	// finish is the finish reason.
	finish string
	// prefixes are the hashes of the prompt up to the end of each whole block.
	prefixes []uint64
	// record is nil until the request enters a batch.
	record *Run
	// generated counts output tokens and never exceeds outputTokens.
	generated atomic.Int64
	state     atomic.Int32
	// wake notifies the handler that generated or state changed.
	wake chan struct{}
}

// terminate moves an active request to a final state and wakes its handler.
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

// Expect returns the complete output for a prompt. Each token contains the
// model, a hash of the prompt and its index, so that tokens of another answer,
// lost tokens and duplicate tokens can be detected.
func Expect(model, prompt string, maxTokens int) string {
	want, _ := outputLength(prompt, maxTokens)
	return outputText(model, HashPrompt(prompt), 0, want)
}

// HashPrompt returns the hash that identifies a prompt in Run and Counts.
func HashPrompt(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// outputText returns the output tokens with an index from first to last,
// excluding last.
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

// outputLength returns the number of output tokens and the finish reason. A
// prompt that contains the word len=N ends after N tokens if maxTokens allows.
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
