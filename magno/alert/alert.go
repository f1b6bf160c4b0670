// Package alert shares records of requests that crash upstreams between processes.
//
//	crash.Suspects --OnChange--> Publisher --SetMark--> spread.Node --gossip--> peers
//	               <--Merge----- Publisher <--Receive-- spread.Node
//
// Without it, each process would need two crashes of its own to detect such a request, and
// a caller that repeats it through one entry after another would cause them all.
package alert

import (
	"strconv"

	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gossip"
)

// keyPrefix distinguishes the marks of this package from others.
const keyPrefix = "crash/"

// Publisher converts records of suspects to gossip marks and back. Suspects must be set
// before use, SetMark before the first change.
type Publisher struct {
	Suspects *crash.Suspects
	// SetMark sends a mark to the peers.
	SetMark func(gossip.Mark)
}

// Publish sends a record of this process to the peers.
func (s *Publisher) Publish(rec crash.Record) {
	s.SetMark(gossip.Mark{
		Key: keyPrefix + strconv.FormatUint(rec.Fingerprint, 16), Seq: int64(rec.UpdatedAt),
		Data: strconv.Itoa(rec.Crashes), TTL: crash.Retention,
	})
}

// Receive merges a mark from a peer. Marks of other types and malformed ones are ignored.
func (s *Publisher) Receive(m gossip.Mark) {
	if len(m.Key) < len(keyPrefix) || m.Key[:len(keyPrefix)] != keyPrefix {
		return
	}
	fingerprint, err := strconv.ParseUint(m.Key[len(keyPrefix):], 16, 64)
	if err != nil {
		return
	}
	crashes, err := strconv.Atoi(m.Data)
	if err != nil || crashes < 0 {
		return
	}
	s.Suspects.Merge([]crash.Record{{Fingerprint: fingerprint, Crashes: crashes, UpdatedAt: s.Suspects.Clock.Now()}})
}
