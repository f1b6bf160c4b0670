// Package alert lets processes share what they know of requests that crash
// upstreams.
//
//	crash.Suspects --OnChange--> Sharer --Mark--> spread.Node --gossip--> peers
//	               <--Merge----- Sharer <-Marked-- spread.Node
//
// Without it each process finds out by itself, at the price of two crashes
// each, while the caller sends the request again through one entry after
// another.
package alert

import (
	"strconv"

	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gossip"
)

// prefix tells marks on suspects from others.
const prefix = "crash/"

// Sharer turns records of suspects into marks and back. Suspects is set before
// use, Mark before the first change.
type Publisher struct {
	Suspects *crash.Suspects
	// Mark spreads a mark.
	SetMark func(gossip.Mark)
}

// Changed spreads a record of this process.
func (s *Publisher) Publish(rec crash.Record) {
	s.SetMark(gossip.Mark{
		Key: prefix + strconv.FormatUint(rec.Fingerprint, 16), Seq: int64(rec.UpdatedAt),
		Data: strconv.Itoa(rec.Crashes), TTL: crash.Retention,
	})
}

// Marked takes a mark of a peer; marks of other sorts and broken ones are
// passed over.
func (s *Publisher) Receive(m gossip.Mark) {
	if len(m.Key) < len(prefix) || m.Key[:len(prefix)] != prefix {
		return
	}
	print, err := strconv.ParseUint(m.Key[len(prefix):], 16, 64)
	if err != nil {
		return
	}
	crashes, err := strconv.Atoi(m.Data)
	if err != nil || crashes < 0 {
		return
	}
	s.Suspects.Merge([]crash.Record{{Fingerprint: print, Crashes: crashes, UpdatedAt: s.Suspects.Clock.Now()}})
}
