// Package ended has agents hold under which requests upstreams ended, and asks them at a start.
//
//	Suspects <--records-- Manager --records--> keeper.Ends of a few agents
//
// Load pattern: all entries are killed at once, and requests that end upstreams come again. Entries learn from each
// other which ones these are. With all of them that is lost, and each request ends as many upstreams as the first time.
package ended

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/keeper"
	"magnoliastall.example/magno/wire"
)

const (
	// keepers is the number of agents that hold the records, the same ones for all entries.
	keepers = 3
	// tellers is the number of entries that tell them, the first in the order of readers.
	tellers = 2
	// startInterval is the time between two calls until one was answered. It doubles up to repeatInterval.
	// tellInterval is the least time between two while records change. Otherwise they are told every
	// repeatInterval: an agent that starts knows nothing.
	startInterval  = 100 * magno.Millis(1)
	tellInterval   = 500 * magno.Millis(1)
	repeatInterval = 5 * magno.Second
	callTimeout    = 300 * magno.Millis(1)
)

// Manager exchanges records with agents. It implements magno.Task. Exported fields are set before Run.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Entries lists the addresses of all live entries in the order of readers, Agents those of all agents.
	Entries, Agents func() []string
	Suspects        *crash.Suspects
	Clock           *magno.Clock
	Log             *slog.Logger

	// asked is true once a call was answered, retryAfter the time until the next one before that.
	asked      bool
	retryAfter magno.Millis
	// digest is that of what was told last, at toldAt.
	digest uint64
	toldAt magno.Millis
}

// Name implements magno.Task.
func (m *Manager) Name() string { return "ended" }

// Run exchanges records until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for magno.Sleep(ctx, startInterval) {
		if m.isDue() {
			m.exchange(ctx)
		}
	}
	return nil
}

// isDue reports whether records are to be exchanged now.
func (m *Manager) isDue() bool {
	age := m.Clock.Now() - m.toldAt
	if !m.asked {
		return age >= m.retryAfter && len(m.Agents()) > 0
	}
	changed := m.Suspects.Digest() != m.digest
	if age < tellInterval || (!changed && (age < repeatInterval || len(m.Suspects.Serious(1)) == 0)) {
		return false
	}
	entries := m.Entries()
	return slices.Contains(entries[:min(len(entries), tellers)], m.Self)
}

// toTell returns the records to tell: those that changed since the last call, and all with several ends if that was
// long ago. Single ends aren't told, but what was cleared of its ends is.
func (m *Manager) toTell() (list []crash.Record) {
	if !m.asked || m.Clock.Now()-m.toldAt >= repeatInterval {
		list = m.Suspects.Serious(keeper.MaxEnds)
	}
	told := map[uint64]bool{}
	for i := range list {
		told[list[i].Fingerprint] = true
	}
	for _, rec := range m.Suspects.UpdatedSince(m.toldAt-tellInterval, keeper.MaxTold) {
		if len(list) < keeper.MaxTold && !told[rec.Fingerprint] && (len(rec.Ends) > 1 || rec.Generation > 0) {
			list = append(list, rec)
		}
	}
	return list
}

// exchange tells the keepers what this process knows and takes what they hold.
func (m *Manager) exchange(ctx context.Context) {
	mine := m.toTell()
	m.digest, m.toldAt = m.Suspects.Digest(), m.Clock.Now()
	m.retryAfter = min(max(2*m.retryAfter, startInterval), repeatInterval)
	var answered atomic.Bool
	var calls sync.WaitGroup
	for _, addr := range chooseKeepers(m.Agents()) {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			defer cancel()
			var held []crash.Record
			if err := m.Mesh.Call(ctx, addr, keeper.MethodEnds, mine, &held); err != nil {
				m.Log.Info("cannot exchange records of ends", "addr", addr, "error", err)
				return
			}
			answered.Store(true)
			m.Suspects.Merge(held)
		})
	}
	calls.Wait()
	if !m.asked && answered.Load() {
		m.asked = true
		m.Log.Info("records of ends", "known", len(m.Suspects.Serious(keeper.MaxEnds)))
	}
}

// chooseKeepers returns the same few agents at all entries, which change least as agents come and go.
func chooseKeepers(agents []string) []string {
	list := slices.Clone(agents)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return list[:min(len(list), keepers)]
}
