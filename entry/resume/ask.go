package resume

import (
	"context"
	"slices"
	"time"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
)

const (
	defaultAskTimeout = 200 * magno.Millis(1)
	// askDelay is how long streams that are taken up are collected before others are asked for all of them.
	askDelay = 10 * magno.Millis(1)
	// maxRounds bounds the rounds at once: further streams are collected until one of them ends.
	maxRounds = 4
)

// round asks other processes where streams began.
type round struct {
	// streams are the IDs of the streams, zero for those whose callers don't state that.
	streams []uint64
	// found is set, and ended closed, once the round has ended.
	found map[uint64]*origin.Origin
	ended chan struct{}
	// processes and answers count those that were asked and those that answered.
	processes, answers int
	// watched is true if some of them know of the builds.
	watched bool
}

// others returns the addresses of the other live entries.
func (m *Manager) others() []string {
	return slices.DeleteFunc(m.Entries(), func(addr string) bool { return addr == m.Self })
}

// ask asks others where a stream began, zero if only for the builds that they have seen. It returns the round
// once that has ended, or nil if ctx ends before. All builds that others have seen are in the history then.
//
// Load pattern: hundreds of streams are taken up within the second after a kill.
func (m *Manager) ask(ctx context.Context, stream uint64) *round {
	m.mu.Lock()
	r := m.round
	if r == nil {
		r = &round{found: map[uint64]*origin.Origin{}, ended: make(chan struct{})}
		m.round = r
		go m.runRound(r)
	}
	r.streams = append(r.streams, stream)
	m.mu.Unlock()
	select {
	case <-r.ended:
		return r
	case <-ctx.Done():
		return nil
	}
}

// runRound collects the streams of a round and asks for them, agents first.
func (m *Manager) runRound(r *round) {
	defer close(r.ended)
	time.Sleep(askDelay.Duration())
	m.rounds <- struct{}{}
	defer func() { <-m.rounds }()
	m.mu.Lock()
	m.round = nil
	m.mu.Unlock()
	slices.Sort(r.streams)
	r.streams = slices.Compact(r.streams)
	m.askAll(r, m.holders.ofAll(m.Agents()))
	m.askAll(r, m.others())
}

// missing returns the streams of a round that aren't found yet.
func (r *round) missing() []uint64 {
	return slices.DeleteFunc(slices.Clone(r.streams), func(stream uint64) bool { return r.found[stream] != nil })
}

// askAll asks processes for what is missing, until nothing is.
func (m *Manager) askAll(r *round, addrs []string) {
	missing := r.missing()
	if len(missing) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.AskTimeout.Duration())
	defer cancel()
	call := keeper.Call{Streams: missing}
	answers := make(chan *keeper.Reply, len(addrs))
	for _, addr := range addrs {
		go func() {
			reply := &keeper.Reply{}
			if err := m.Mesh.Call(ctx, addr, keeper.MethodFind, call, reply); err != nil {
				m.Log.Debug("origins not asked", "addr", addr, "streams", len(missing), "error", err)
				reply = nil
			}
			answers <- reply
		}()
	}
	r.processes += len(addrs)
	for range addrs {
		reply := <-answers
		if reply == nil {
			continue
		}
		r.answers++
		if reply.Builds != nil {
			r.watched = true
			m.Builds.Merge(reply.Builds)
		}
		for i := range reply.Found {
			for _, stream := range reply.Found[i].IDs() {
				r.found[stream] = &reply.Found[i].Origin
			}
		}
		if len(r.missing()) == 0 {
			return
		}
	}
}
