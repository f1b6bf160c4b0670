package peers

import (
	"magnoliastall.example/magno"
)

// Stamp is a process's own time, which another one sends back to it.
type Stamp struct {
	// Incarnation is drawn at random at each start: a time of an earlier one is
	// meaningless.
	Incarnation uint64       `json:"life"`
	At          magno.Millis `json:"at"`
}

// Proof states a time at which the list held nothing newer than Revision, on the clock of
// the process that receives it: Offset after its own Stamp arrived at the sender.
//
// Load pattern: a message is delayed for seconds, by a partition that heals or a process
// that was paused. Its receiver can't tell how old it is, and would go on accepting keys
// that have been revoked. An answer to its own stamp, however, is younger than that stamp.
type Proof struct {
	Stamp Stamp `json:"stamp"`
	// Offset may be negative.
	Offset magno.Millis `json:"lead"`
	// Revision is at least the list's newest at that time.
	Revision magno.Revision `json:"rev"`
}

// receivedStamp is another process's stamp and the time of its arrival.
type receivedStamp struct {
	stamp      Stamp
	receivedAt magno.Millis
}

// stamp returns this process's current stamp.
func (p *Peers) stamp() Stamp { return Stamp{Incarnation: p.incarnation, At: p.Book.Clock.Now()} }

// freshnessProof returns a proof of how fresh this process's configuration is, for the
// sender of the stamp. It is nil if the freshness isn't known, or no stamp was received.
func (p *Peers) freshnessProof(s receivedStamp) *Proof {
	freshAt, revision := p.Book.FreshAt()
	if s.stamp.Incarnation == 0 || freshAt == 0 {
		return nil
	}
	return &Proof{Stamp: s.stamp, Offset: freshAt - s.receivedAt, Revision: revision}
}

// acceptProof applies the proof of a message, after the changes that came with it.
func (p *Peers) acceptProof(proof *Proof) {
	if proof != nil && proof.Stamp.Incarnation == p.incarnation {
		p.Book.RecordFreshness(proof.Revision, proof.Stamp.At+proof.Offset)
	}
}
