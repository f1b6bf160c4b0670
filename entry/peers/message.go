package peers

import (
	"encoding/json"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/view"
)

// RPC methods between entries.
const (
	MethodHello  = "hello" // Hello, answered with a Hello
	MethodUpdate = "news"  // Update, a notification
	MethodItems  = "items" // Since, answered with an Update
	MethodEnds   = "ends"  // EndReport, a notification
)

// Hello describes an entry to another one.
type Hello struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Digest identifies its state, Age is the time since that was known to be the list's
	// newest.
	view.Digest
	Age magno.Millis `json:"age"`
	// ListReachable is true while the platform's list answers it.
	ListReachable bool `json:"able"`
	// Leaving is true while it is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// DataCentre is the data centre that it runs in.
	DataCentre string `json:"dc,omitempty"`
	// LinkMbps is its machine's bandwidth in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// Joined is true while it is in touch with the fleet, or knows how many entries that had. Uptime is
	// how long it has run, Total the number of entries that it counts, those out of reach included.
	Joined bool         `json:"joined,omitempty"`
	Uptime magno.Millis `json:"up,omitempty"`
	Total  int          `json:"total,omitempty"`
	// KnownCount is the number of addresses of other entries that it knows.
	KnownCount int `json:"known,omitempty"`
	// MemberHash is a hash of the addresses of all entries that are alive to it, its own
	// included. Peers lists those, or some of them. It is left out if both hashes are
	// equal: with a hundred entries, the addresses would be most of the message.
	MemberHash uint64   `json:"crowd"`
	Peers      []string `json:"peers,omitempty"`
	// EndReport has the ends of which the sender heard lately and, in a reply, those that the receiver may
	// lack by its EndDigest.
	EndReport
	EndDigest uint64 `json:"endsum,omitempty"`
	// Demand is how many requests per second callers send to the sender for each service that is
	// queued, nil if unknown.
	Demand map[string]float64 `json:"demand"`
	// Stamp is the sender's time. Proof is addressed to the receiver and may be nil.
	Stamp Stamp  `json:"stamp"`
	Proof *Proof `json:"proof,omitempty"`
}

// Update carries changes of the list, or confirms that there are none.
type Update struct {
	// Payload holds the encoded changes, which are the same for all receivers; Proof isn't.
	Payload json.RawMessage `json:"told"`
	From    string          `json:"from,omitempty"`
	// Proof is addressed to the receiver and may be nil.
	Proof *Proof `json:"proof,omitempty"`
}

// Since requests changes for a process at a revision.
type Since struct {
	Ask      view.Ask       `json:"ask"`
	Revision magno.Revision `json:"rev"`
	Stamp    Stamp          `json:"stamp"`
}
