package keeper

import (
	"context"
	"encoding/json"
	"log/slog"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/wire"
)

// MethodEnds tells a process []crash.Record, and is answered with those that it holds.
const MethodEnds = "ended"

const (
	// MaxEnds bounds the records in an answer: requests under which several upstreams ended.
	MaxEnds = 16
	// MaxTold bounds those in a call, which has what changed besides.
	MaxTold = 64
)

// Ends holds under which requests upstreams ended, for entries that start. Agents run it. Exported fields are
// set before Open.
type Ends struct {
	Mesh     *wire.Mesh
	Suspects *crash.Suspects
	Log      *slog.Logger
}

// Open registers the method on the mesh. It must be called before the mesh runs.
func (e *Ends) Open() { e.Mesh.Handle(MethodEnds, e.handle) }

// handle joins what an entry knows with what is held, and returns what was held before.
func (e *Ends) handle(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var list []crash.Record
	if err := json.Unmarshal(params, &list); err != nil {
		e.Log.Warn("malformed records of ends", "error", err)
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	held := e.Suspects.Serious(MaxEnds)
	e.Suspects.Merge(list[:min(len(list), MaxTold)])
	return held, nil
}
