// Package ticket reads idempotency keys: plain ones, which are UUIDs of version
// 7 and so carry the time of their issue, and tickets, which name in addition
// the one process that may run them.
//
// The load is calls that may not be repeated and are sent again through any
// entry. Without a time in the key nobody could tell a new key from one that
// has been forgotten, and every finite memory would run some key twice. A
// ticket is for callers who can fetch it first: whatever is cut off, paused or
// replaced, only the named process runs it, so no witness has to be asked.
// A forged ticket does no harm, for it too can be run by one process only.
package ticket

import (
	"strings"

	"github.com/google/uuid"

	"magnoliastall.example/magno"
)

// textLen is the length of a UUID in its customary form.
const textLen = 36

// version is the UUID version that starts with a time.
const version = 7

// separator stands between the parts of a ticket.
const separator = "."

// Ticket is a key that one process alone may run.
type Ticket struct {
	// Key is a UUID of version 7.
	Key string
	// Incarnation names one process; it is never used again by another, and
	// holds no dot.
	Incarnation string
	// Agent is the instance that the process runs on.
	Agent string
}

// String returns the ticket in the form that a caller sends as its key.
func (t Ticket) String() string {
	return t.Key + separator + t.Incarnation + separator + t.Agent
}

// Parse reads a ticket; false means that the key is a plain one.
func Parse(key string) (Ticket, bool) {
	parts := strings.SplitN(key, separator, 3)
	if len(parts) != 3 || parts[1] == "" || parts[2] == "" {
		return Ticket{}, false
	}
	if _, ok := IssueTime(parts[0]); !ok {
		return Ticket{}, false
	}
	return Ticket{Key: parts[0], Incarnation: parts[1], Agent: parts[2]}, true
}

// NewKey returns a fresh plain key.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}

// IssueTime returns when a plain key was issued, by the clock of its issuer. Text
// before the key, such as the customer that it belongs to, is passed over.
// False means that the key carries no time.
func IssueTime(key string) (magno.Millis, bool) {
	if len(key) < textLen {
		return 0, false
	}
	id, err := uuid.Parse(key[len(key)-textLen:])
	if err != nil || id.Version() != version {
		return 0, false
	}
	var at magno.Millis
	for _, b := range id[:6] {
		at = at<<8 | magno.Millis(b)
	}
	return at, true
}
