// Package ticket parses idempotency keys. A plain key is a UUID of version 7, which
// contains its issue time. A ticket also names the one process that may run it.
//
// Requests that may not be repeated can be sent again through any entry. Without an
// issue time a new key could not be told from one that was forgotten, and any
// bounded memory would run some key twice. Callers that can fetch a ticket first
// don't depend on witnesses: only the named process runs the request, even if
// instances are partitioned, paused or replaced. Forging a ticket does no harm,
// because it too can be run by only one process.
package ticket

import (
	"strings"

	"github.com/google/uuid"

	"magnoliastall.example/magno"
)

// uuidLen is the length of a UUID in text form.
const uuidLen = 36

// uuidVersion is the UUID version that starts with a timestamp.
const uuidVersion = 7

// separator separates the parts of a ticket.
const separator = "."

// Ticket is a key that only one process may run.
type Ticket struct {
	// Key is a UUID of version 7.
	Key string
	// Incarnation identifies one process. It is never reused and contains no dot.
	Incarnation string
	// Agent is the name of the instance on which the process runs.
	Agent string
}

// String returns the ticket as a caller sends it in place of a key.
func (t Ticket) String() string {
	return t.Key + separator + t.Incarnation + separator + t.Agent
}

// Parse parses a ticket. It returns false if the key is not a ticket.
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

// NewKey returns a new plain key.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}

// IssueTime returns when a plain key was issued, by its issuer's clock. A prefix
// before the UUID, such as the customer's name, is ignored. It returns false if the
// key contains no time.
func IssueTime(key string) (magno.Millis, bool) {
	if len(key) < uuidLen {
		return 0, false
	}
	id, err := uuid.Parse(key[len(key)-uuidLen:])
	if err != nil || id.Version() != uuidVersion {
		return 0, false
	}
	var at magno.Millis
	for _, b := range id[:6] {
		at = at<<8 | magno.Millis(b)
	}
	return at, true
}
