package send

import (
	"context"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/ticket"
)

// ticketTimeout bounds the request for a ticket to one agent.
const ticketTimeout = magno.Second

// Ticket returns a new ticket from the first agent of the pool that issues one.
func (s *Sender) Ticket(ctx context.Context, pool string, ref magno.Ref) (ticket.Ticket, *magno.Refusal) {
	last := magno.Refuse(magno.KindNoUpstream, "no upstream of pool %s is known", pool)
	for _, name := range s.Router(pool).Route(magno.Query{Ref: ref, DataCentre: s.DataCentre, Work: 1}) {
		in, ok := s.Fleet.Find(name)
		if !ok {
			continue
		}
		var t ticket.Ticket
		// A hung agent would otherwise block the caller until its own timeout.
		call, cancel := context.WithTimeout(ctx, ticketTimeout.Duration())
		err := s.Mesh.Call(call, in.Address, magno.MethodTicket, struct{}{}, &t)
		cancel()
		if err == nil {
			return t, nil
		}
		last = magno.Refuse(magno.KindNoUpstream, "no ticket from %s: %v", name, err)
	}
	return ticket.Ticket{}, last
}

// ticketAgent returns the only agent that may run the key, if it is a ticket.
func ticketAgent(key string) (string, bool) {
	t, ok := ticket.Parse(key)
	return t.Agent, ok
}
