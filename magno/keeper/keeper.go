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

// add adds a stream.
func (r *Records) add(stream uint64) {
	var id [8]byte
	binary.BigEndian.PutUint64(id[:], stream)
	r.Streams = append(r.Streams, id[8-origin.StreamIDBytes:]...)
}

// Append adds a stream to the records with its origin.
func Append(list []Records, stream uint64, o origin.Origin) []Records {
	i := slices.IndexFunc(list, func(r Records) bool { return r.Origin == o })
	if i < 0 {
		i, list = len(list), append(list, Records{Origin: o})
	}
	list[i].add(stream)
	return list
}

// IDs returns the IDs of the streams.
func (r *Records) IDs() (list []uint64) {
	for rest := r.Streams; len(rest) >= origin.StreamIDBytes; rest = rest[origin.StreamIDBytes:] {
		var id [8]byte
		copy(id[8-origin.StreamIDBytes:], rest)
		list = append(list, binary.BigEndian.Uint64(id[:]))
	}
	return list
}

// Call asks where streams began.
type Call struct {
	Streams []uint64 `json:"streams"`
}

// Reply is what a keeper knows: those of the streams that it has records of, and the builds that it has seen, nil
// if there are none.
type Reply struct {
	Found  []Records      `json:"found,omitempty"`
	Builds *builds.Report `json:"builds,omitempty"`
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
		for _, stream := range list[i].IDs() {
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
	for _, stream := range c.Streams {
		if o := k.Table.Find(stream); o != nil {
			r.Found = Append(r.Found, stream, *o)
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
