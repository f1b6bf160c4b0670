// Package ask sends grant requests for idempotency keys to the witnesses of other instances and
// handles those that arrive.
package ask

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/wire"
	"magnoliastall.example/magno/witns"
)

// Asker implements magno.WitnessClient and serves the witness of this process.
type Asker struct {
	Mesh    *wire.Mesh
	Fleet   *fleet.Fleet
	Witness *witns.Witness
}

// Register registers the handler on the mesh.
func (a *Asker) Register() {
	a.Mesh.Handle(magno.MethodGrant, func(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
		var call magno.GrantCall
		if err := json.Unmarshal(params, &call); err != nil {
			return nil, magno.Refuse(magno.KindMalformed, "%v", err)
		}
		return a.Witness.Grant(call), nil
	})
}

// Ask implements magno.WitnessClient. It calls the witness of this process directly.
func (a *Asker) Ask(ctx context.Context, member string, call magno.GrantCall) (magno.GrantReply, error) {
	if member == a.Witness.Self {
		return a.Witness.Grant(call), nil
	}
	in, ok := a.Fleet.Find(member)
	if !ok {
		return magno.GrantReply{}, errors.Newf("witness %s is not in the instance list", member)
	}
	var reply magno.GrantReply
	err := a.Mesh.Call(ctx, in.Address, magno.MethodGrant, call, &reply)
	return reply, err
}
