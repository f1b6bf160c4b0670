package peers

import (
	"encoding/json"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
)

// Methods between entries.
const (
	MethodHello  = "hello" // Hello, answered by one
	MethodUpdate = "news"  // News, a notification
	MethodItems  = "items" // Since, answered by News
)

// Hello is what an entry tells of itself.
type Hello struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Revision is the newest that it knows, Age how long ago that was the
	// list's newest.
	Revision int64        `json:"rev"`
	Age      magno.Millis `json:"age"`
	// Able is true while the platform's list answers it.
	ListReachable bool `json:"able"`
	// Leaving is true once it is to stop.
	Leaving bool `json:"leaving,omitempty"`
	// DataCentre is where it runs.
	DataCentre string `json:"dc,omitempty"`
	// Link is its machine's bandwidth in megabits a second.
	LinkMbps float64 `json:"link,omitempty"`
	// Known counts the addresses of other entries that it knows.
	KnownCount int `json:"known,omitempty"`
	// Crowd stands for the addresses of all entries that are alive to it, its
	// own included. Peers are those, or some of them, unless the other's Crowd is
	// the same: with a hundred entries the addresses would be most of what they tell.
	MemberHash uint64   `json:"crowd"`
	Peers      []string `json:"peers,omitempty"`
	// Suspects are requests that crashed upstreams, as far as they are news.
	Suspects []crash.Record `json:"suspects,omitempty"`
	// Stamp is its time. Proof is for whom this is sent to, and may be nil.
	Stamp Stamp  `json:"stamp"`
	Proof *Proof `json:"proof,omitempty"`
}

// News are what a process tells of the list, and its address.
type Update struct {
	// Told is a view.News, encoded: the same for all who are told, where Proof isn't.
	Payload json.RawMessage `json:"told"`
	From    string          `json:"from,omitempty"`
	// Proof is for whom this is sent to, and may be nil.
	Proof *Proof `json:"proof,omitempty"`
}

// Since asks for the changes after a revision.
type Since struct {
	Revision int64 `json:"rev"`
	Stamp    Stamp `json:"stamp"`
}
