package magno

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Digest is the SHA-256 digest of an API key. The keys themselves aren't stored, so that
// a leaked configuration, log or memory dump gives no access.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.New("digest is not hexadecimal") // without the text, which may be a key
	}
	if len(b) != len(d) {
		return errors.Newf("digest must have %d bytes, has %d", len(d), len(b))
	}
	copy(d[:], b)
	return nil
}
