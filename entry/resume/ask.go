package resume

import (
	"context"
	"slices"

	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
)

// asked is what other processes answered. All builds that they have seen are joined in the history.
type asked struct {
	processes, answers int
	// watched is true if some of them know of the builds.
	watched bool
	origin  *origin.Origin
}

// others returns the addresses of the other live entries.
func (m *Manager) others() []string {
	return slices.DeleteFunc(m.Entries(), func(addr string) bool { return addr == m.Self })
}

// ask asks processes where a stream began, zero if only for the builds that they have seen. It returns with
// the first answer that has the origin of the stream.
func (m *Manager) ask(ctx context.Context, stream uint64, addrs []string, a *asked) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	answers := make(chan *keeper.Reply, len(addrs))
	for _, addr := range addrs {
		go func() {
			r := &keeper.Reply{}
			if err := m.Mesh.Call(ctx, addr, keeper.MethodFind, keeper.Call{Stream: stream}, r); err != nil {
				m.Log.Debug("origin not asked", "addr", addr, "error", err)
				r = nil
			}
			answers <- r
		}()
	}
	a.processes += len(addrs)
	for range addrs {
		r := <-answers
		if r == nil {
			continue
		}
		a.answers++
		if r.Builds != nil {
			a.watched = true
			m.Builds.Merge(r.Builds)
		}
		if r.Origin != nil {
			a.origin = r.Origin
			return
		}
	}
}
