package resume

import (
	"context"
	"slices"
	"sync"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/origin"
)

// defaultAskTimeout bounds the calls to other processes.
const defaultAskTimeout = 200 * magno.Millis(1)

// asked is what other processes answered. All builds that they have seen are joined in the history.
type asked struct {
	processes, answers int
	// watched is true if some of them know of the builds.
	watched bool
	origin  *origin.Origin
}

// question is where a stream began, zero if only the builds are asked for.
type question struct {
	stream uint64
	// answers has room for one answer of each process that is asked.
	answers chan answer
}

// answer is what one process answered, zero if it didn't.
type answer struct {
	answered, watched bool
	origin            *origin.Origin
}

// questions holds what is asked of each address after the call that runs. An address without one has no entry.
type questions struct {
	mu      sync.Mutex
	waiting map[string][]*question
}

// add adds a question, and reports whether no call to the address runs.
func (w *questions) add(addr string, q *question) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[string][]*question{}
	}
	list, running := w.waiting[addr]
	w.waiting[addr] = append(list, q)
	return !running
}

// take takes the questions for an address, none once there are none: no call to it runs then.
func (w *questions) take(addr string) []*question {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.waiting[addr]
	if len(list) == 0 {
		delete(w.waiting, addr)
		return nil
	}
	w.waiting[addr] = nil
	return list
}

// others returns the addresses of the other live entries.
func (m *Manager) others() []string {
	return slices.DeleteFunc(m.Entries(), func(addr string) bool { return addr == m.Self })
}

// ask asks processes where a stream began, zero if only for the builds that they have seen. It returns with
// the first answer that has the origin of the stream.
//
// Load pattern: the callers of all streams of a killed entry, or of all entries, ask at once. What is asked
// while a call to a process runs goes into one message after it.
func (m *Manager) ask(ctx context.Context, stream uint64, addrs []string, a *asked) {
	ctx, cancel := context.WithTimeout(ctx, m.AskTimeout.Duration())
	defer cancel()
	q := &question{stream: stream, answers: make(chan answer, len(addrs))}
	for _, addr := range addrs {
		if m.questions.add(addr, q) {
			go m.askInTurn(context.WithoutCancel(ctx), addr)
		}
	}
	a.processes += len(addrs)
	for range addrs {
		select {
		case <-ctx.Done():
			return
		case r := <-q.answers:
			if r.answered {
				a.answers++
			}
			a.watched = a.watched || r.watched
			if r.origin != nil {
				a.origin = r.origin
				return
			}
		}
	}
}

// askInTurn asks a process all that waits for that.
func (m *Manager) askInTurn(ctx context.Context, addr string) {
	for list := m.questions.take(addr); len(list) > 0; list = m.questions.take(addr) {
		m.askOnce(ctx, addr, list)
	}
}

// askOnce asks a process in one message.
func (m *Manager) askOnce(ctx context.Context, addr string, list []*question) {
	ctx, cancel := context.WithTimeout(ctx, m.AskTimeout.Duration())
	defer cancel()
	var c keeper.Call
	for _, q := range list {
		c.Add(q.stream)
	}
	var r keeper.Reply
	err := m.Mesh.Call(ctx, addr, keeper.MethodFind, &c, &r)
	if err != nil {
		m.Log.Debug("origin not asked", "addr", addr, "error", err)
	} else if r.Builds != nil {
		m.Builds.Merge(r.Builds)
	}
	origins := r.Origins(&c)
	for _, q := range list {
		q.answers <- answer{answered: err == nil, watched: r.Builds != nil, origin: origins[q.stream]}
	}
}
