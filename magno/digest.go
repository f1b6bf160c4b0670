package magno

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Digest stands for a caller's key. Keys themselves aren't kept: a configuration, a log
// or a dump that leaks gives nobody access.
type Digest [sha256.Size]byte

// Digested returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.New("a digest has hexadecimal digits") // the text may be a key
	}
	if len(b) != len(d) {
		return errors.Newf("a digest has %d bytes, not %d", len(d), len(b))
	}
	copy(d[:], b)
	return nil
}
