// Package alert shares records of requests under which upstreams ended between processes.
//
//	crash.Suspects --OnChange--> Publisher --SetMark--> spread.Node --gossip--> peers
//	               <--Merge----- Publisher <--Receive-- spread.Node
//
// Without it, each process would need ends of its own to detect such a request, and a caller that
// repeats it through one entry after another would cause them all.
package alert

import (
	"strconv"
	"strings"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/gossip"
)

// keyPrefix distinguishes the marks of this package from others. A fingerprint and an upstream
// follow, each in base numberBase.
const (
	keyPrefix  = "crash/"
	numberBase = 36
)

// Sequence numbers of a mark: an end is recorded first, and may be cleared later.
const (
	seqRecorded = 1
	seqCleared  = 2
)

// Publisher converts ends of upstreams to gossip marks and back. Suspects must be set before use,
// SetMark before the first change.
type Publisher struct {
	Suspects *crash.Suspects
	// SetMark sends a mark to the peers.
	SetMark func(gossip.Mark)
}

// Publish sends an end that this process recorded or cleared to the peers.
func (s *Publisher) Publish(fingerprint uint64, e magno.UpstreamEnd) {
	seq := int64(seqRecorded)
	if e.Cleared {
		seq = seqCleared
	}
	s.SetMark(gossip.Mark{
		Key: keyPrefix + strconv.FormatUint(fingerprint, numberBase) + "/" + strconv.FormatUint(e.Upstream, numberBase), Seq: seq,
		Data: strconv.FormatUint(e.Pool, numberBase), TTL: crash.Retention - e.Age,
	})
}

// Receive merges a mark from a peer. Marks of other types and malformed ones are ignored.
func (s *Publisher) Receive(m gossip.Mark) {
	key, ok := strings.CutPrefix(m.Key, keyPrefix)
	if !ok {
		return
	}
	print, up, _ := strings.Cut(key, "/")
	fingerprint, errPrint := strconv.ParseUint(print, numberBase, 64)
	upstream, errUpstream := strconv.ParseUint(up, numberBase, 64)
	pool, errPool := strconv.ParseUint(m.Data, numberBase, 64)
	if errPrint != nil || errUpstream != nil || errPool != nil {
		return
	}
	e := magno.UpstreamEnd{Upstream: upstream, Pool: pool, Cleared: m.Seq >= seqCleared, Age: crash.Retention - m.TTL}
	s.Suspects.MergeEnds(fingerprint, []magno.UpstreamEnd{e})
}
