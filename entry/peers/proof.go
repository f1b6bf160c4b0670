package peers

import (
	"magnoliastall.example/magno"
)

// Stamp is a process's own time, which another one sends back to it.
type Stamp struct {
	// Life is drawn anew at each start: a time of an earlier one says nothing.
	Incarnation uint64       `json:"life"`
	At          magno.Millis `json:"at"`
}

// Proof states a time at which the list held nothing newer than Revision, on the clock of
// the process that receives it: Lead after its own Stamp arrived at the sender.
//
// Load pattern: a message is delayed for seconds, by a partition that heals or a process
// that was paused. Its receiver can't tell how old it is, and would go on accepting keys
// that were withdrawn meanwhile. But whatever answers its own stamp is younger than that.
type Proof struct {
	Stamp Stamp `json:"stamp"`
	// Lead may be negative.
	Offset magno.Millis `json:"lead"`
	// Revision is at least the list's newest at that time.
	Revision int64 `json:"rev"`
}

// stamped is another process's stamp, and when it came.
type stamped struct {
	stamp Stamp
	came  magno.Millis
}

// stamp is this process's own, now.
func (p *Peers) stamp() Stamp { return Stamp{Incarnation: p.life, At: p.Book.Clock.Now()} }

// prove tells a process up to when what this one knows was the newest. It is nil where
// nothing vouches for that, or no stamp came from there.
func (p *Peers) prove(s stamped) *Proof {
	vouched, revision := p.Book.FreshAt()
	if s.stamp.Incarnation == 0 || vouched == 0 {
		return nil
	}
	return &Proof{Stamp: s.stamp, Offset: vouched - s.came, Revision: revision}
}

// vouch takes the proof of a message, after what else it brings.
func (p *Peers) vouch(proof *Proof) {
	if proof != nil && proof.Stamp.Incarnation == p.life {
		p.Book.RecordFreshness(proof.Revision, proof.Stamp.At+proof.Offset)
	}
}
