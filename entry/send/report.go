package send

import (
	"context"
	"encoding/json"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/wire"
)

// Register registers the handler of what agents report without a call. It is called before the
// mesh runs.
func (s *Sender) Register() { s.Mesh.Handle(magno.MethodBacklog, s.takeBacklog) }

// takeBacklog passes the backlog of a known agent to the router of its pool.
func (s *Sender) takeBacklog(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var report magno.BacklogReport
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	if in, ok := s.Fleet.Find(report.Agent); ok && in.Role == magno.RoleAgent {
		s.Router(in.Pool).Report(in.Name, report.Backlog)
	}
	return struct{}{}, nil
}
