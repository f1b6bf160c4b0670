// Package keeper holds for the entries what must outlive them: at which build each stream began, and which
// builds there were. Entries and agents run it.
//
//	entries --Records, builds--> Keeper: origin.Table, builds.History
//	entries <--origin, builds--  Keeper <--Call-- entries
//
// Load pattern: entries are killed at once, agents are killed at once, seldom both. So an entry tells
// processes of either kind. What they hold is lost only with all of them.
package keeper

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/builds"
	"magnoliastall.example/magno/origin"
	"magnoliastall.example/magno/wire"
)

// RPC methods of a keeper.
const (
	MethodRecord = "began"  // []Records, a notification
	MethodFind   = "origin" // Call, answered with a Reply
	MethodBuilds = "builds" // builds.Report, answered with a BuildsReply
)

// Records holds streams with the same origin.
type Records struct {
	origin.Origin
	// Streams holds their IDs, of origin.StreamIDBytes each.
	Streams []byte `json:"streams"`
}

// Append adds a stream to the records of its origin in a list.
func Append(list []Records, o origin.Origin, stream uint64) []Records {
	i := slices.IndexFunc(list, func(r Records) bool { return r.Origin == o })
	if i < 0 {
		i, list = len(list), append(list, Records{Origin: o})
	}
	list[i].Streams = appendID(list[i].Streams, stream)
	return list
}

// appendID adds the ID of a stream, of origin.StreamIDBytes.
func appendID(b []byte, stream uint64) []byte {
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], stream)
	return append(b, id[8-origin.StreamIDBytes:]...)
}

// parseIDs returns the IDs in b.
func parseIDs(b []byte) (list []uint64) {
	for ; len(b) >= origin.StreamIDBytes; b = b[origin.StreamIDBytes:] {
		var id [8]byte
		copy(id[8-origin.StreamIDBytes:], b)
		list = append(list, binary.BigEndian.Uint64(id[:]))
	}
	return list
}

// Call asks where streams began. Stream is zero if none is asked for.
type Call struct {
	Stream uint64 `json:"stream"`
	// Others holds the IDs of further streams, of origin.StreamIDBytes each.
	Others []byte `json:"others,omitempty"`
}

// Add adds a stream, unless it is zero.
func (c *Call) Add(stream uint64) {
	switch {
	case stream == 0:
	case c.Stream == 0:
		c.Stream = stream
	default:
		c.Others = appendID(c.Others, stream)
	}
}

// Reply is what a keeper knows. Each part is nil if that is nothing.
type Reply struct {
	// Origin is that of the first stream, Others those of the others that are known.
	Origin *origin.Origin `json:"origin,omitempty"`
	Others []Records      `json:"others,omitempty"`
	Builds *builds.Report `json:"builds,omitempty"`
}

// Origins returns the origins of the streams of a call that are known.
func (r *Reply) Origins(c *Call) map[uint64]*origin.Origin {
	known := map[uint64]*origin.Origin{}
	if r.Origin != nil && c.Stream != 0 {
		known[c.Stream] = r.Origin
	}
	for i := range r.Others {
		for _, stream := range parseIDs(r.Others[i].Streams) {
			known[stream] = &r.Others[i].Origin
		}
	}
	return known
}

// BuildsReply is what a keeper knew before the call.
type BuildsReply struct {
	// Life identifies the keeper's process: a later one holds no records of before.
	Life   uint64         `json:"life"`
	Builds *builds.Report `json:"builds,omitempty"`
}

// Keeper answers the calls of entries. Exported fields are set before Open.
type Keeper struct {
	Mesh   *wire.Mesh
	Table  *origin.Table
	Builds *builds.History
	Log    *slog.Logger

	life uint64
}

// Open registers the methods on the mesh. It must be called before the mesh runs.
func (k *Keeper) Open() {
	k.life = rand.Uint64() | 1
	k.Mesh.Handle(MethodRecord, k.handleRecord)
	k.Mesh.Handle(MethodFind, k.handleFind)
	k.Mesh.Handle(MethodBuilds, k.handleBuilds)
}

func (k *Keeper) handleRecord(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var list []Records
	if err := json.Unmarshal(params, &list); err != nil {
		k.Log.Warn("malformed origins", "error", err)
		return nil, err
	}
	for i := range list {
		for _, stream := range parseIDs(list[i].Streams) {
			k.Table.Record(stream, list[i].Origin)
		}
	}
	return nil, nil
}

func (k *Keeper) handleFind(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var c Call
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	r := Reply{Builds: k.Builds.Report()}
	if c.Stream != 0 {
		r.Origin = k.Table.Find(c.Stream)
	}
	for _, stream := range parseIDs(c.Others) {
		if o := k.Table.Find(stream); o != nil {
			r.Others = Append(r.Others, *o, stream)
		}
	}
	return r, nil
}

func (k *Keeper) handleBuilds(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var r builds.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	reply := BuildsReply{Life: k.life, Builds: k.Builds.Report()}
	k.Builds.Merge(&r)
	return reply, nil
}
