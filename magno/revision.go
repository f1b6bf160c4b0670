package magno

import (
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Revision orders the states of the platform's list. The list counts its changes, but it may
// come back from an older copy and then gives out the same numbers again. It counts such events
// as eras. A Revision therefore compares by era first, and by number within an era.
type Revision int64

const (
	// revisionNumberBits is the number of low bits that hold the number. The era has the bits
	// above it except for the sign.
	revisionNumberBits = 44
	maxRevisionNumber  = 1<<revisionNumberBits - 1
	maxRevisionEra     = 1<<(63-revisionNumberBits) - 1
)

// NewRevision returns the revision with the given era and number. It fails if one of them is
// negative or too large.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era > maxRevisionEra || number < 0 || number > maxRevisionNumber {
		return 0, errors.Newf("revision %d of era %d is out of range", number, era)
	}
	return Revision(era<<revisionNumberBits | number), nil
}

// Era returns how often the list had come back from an older copy.
func (r Revision) Era() int64 { return int64(r) >> revisionNumberBits }

// Number returns the number that the list gave the change, which isn't unique over eras.
func (r Revision) Number() int64 { return int64(r) & maxRevisionNumber }

// EraStart returns the lowest revision of the same era.
func (r Revision) EraStart() Revision { return r &^ maxRevisionNumber }

// EraEnd returns the highest revision of the same era.
func (r Revision) EraEnd() Revision { return r | maxRevisionNumber }

// String returns the number, preceded by the era unless that is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatInt(r.Number(), 10)
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}
