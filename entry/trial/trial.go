// Package trial lets a request that is refused as the cause of upstreams' ends run once more, alone, and those run one
// at a time that may be the cause.
//
//	relay: refused --Ask--> home of the request (this or another entry): Suspects --> granted or not
//	  in doubt --AskUnproven--^   '--one send--> completes: cleared at all entries, or ends one more upstream
//
// Load pattern: copies of the request reach many entries at the same time. If each decided by itself,
// a request that does end upstreams would end one for each entry. So one entry decides for all, the
// request's home. While it can't be reached the request stays refused.
package trial

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/crash"
	"magnoliastall.example/magno/wire"
)

// MethodTrial asks a request's home for a trial. It takes a call and returns a reply.
const MethodTrial = "trial"

const (
	// callTimeout bounds a call to a home.
	callTimeout = 150 * magno.Millis(1)
	// askInterval is the least time between two calls for the same request, of which there may be
	// many copies.
	askInterval = magno.Second
)

type call struct {
	Fingerprint uint64 `json:"print"`
	// Unproven is true if it isn't proven that the request ends upstreams.
	Unproven bool `json:"unproven,omitempty"`
}

type reply struct {
	Granted bool `json:"granted"`
}

// Manager asks the homes of requests for trials, and is the home of some. Exported fields are set
// before Open.
type Manager struct {
	// Self is this entry's address.
	Self string
	Mesh *wire.Mesh
	// Homes lists the addresses of the homes of a key in order of preference.
	Homes    func(key string) []string
	Suspects *crash.Suspects
	Clock    *magno.Clock
	Log      *slog.Logger

	mu sync.Mutex
	// askedAt holds when this process last asked for a request.
	askedAt *simplelru.LRU[uint64, magno.Millis]
}

// Open registers the method on the mesh. It must be called before the mesh runs.
func (m *Manager) Open() {
	m.askedAt, _ = simplelru.NewLRU[uint64, magno.Millis](crash.MaxRecords, nil)
	m.Mesh.Handle(MethodTrial, m.handleTrial)
}

// Ask reports whether a request that is refused because of these fingerprints may be sent once.
func (m *Manager) Ask(ctx context.Context, prints []uint64) bool {
	return m.isDue(prints) && m.askAll(ctx, prints, false)
}

// MayTry reports whether Ask would ask now.
func (m *Manager) MayTry(prints []uint64) bool { return m.isDue(prints) && m.MayAsk(prints) }

// isDue reports whether trials of all fingerprints are due.
func (m *Manager) isDue(prints []uint64) bool {
	return !slices.ContainsFunc(prints, func(print uint64) bool { return !m.Suspects.TrialDue(print) })
}

// AskUnproven reports whether a request may be sent now with fingerprints that may be the cause.
func (m *Manager) AskUnproven(ctx context.Context, prints []uint64) bool {
	return m.askAll(ctx, prints, true)
}

// askAll asks the homes of all fingerprints, those of the last parts first. Sound requests have the first ones in common
// with the others, which would use their trials up.
func (m *Manager) askAll(ctx context.Context, prints []uint64, unproven bool) bool {
	for _, print := range slices.Backward(prints) {
		if !m.ask(ctx, call{Fingerprint: print, Unproven: unproven}) {
			return false
		}
	}
	return true
}

// MayAsk reports whether AskUnproven would ask now.
func (m *Manager) MayAsk(prints []uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(prints, func(print uint64) bool { return m.askedLately(print, m.Clock.Now()) })
}

// ask asks the home, unless it was asked a moment ago.
func (m *Manager) ask(ctx context.Context, c call) bool {
	if !m.recordAsk(c.Fingerprint) {
		return false
	}
	homes := m.Homes(strconv.FormatUint(c.Fingerprint, 16))
	if len(homes) == 0 {
		return false
	}
	granted, err := m.callHome(ctx, homes[0], c)
	m.Log.Info("trial", "print", c.Fingerprint, "unproven", c.Unproven, "home", homes[0], "granted", granted, "error", err)
	return granted
}

// recordAsk reports whether the home may be asked now, and records that it is.
func (m *Manager) recordAsk(fingerprint uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.askedLately(fingerprint, now) {
		return false
	}
	m.askedAt.Add(fingerprint, now)
	return true
}

// askedLately reports whether the home was asked within askInterval. The caller holds mu.
func (m *Manager) askedLately(fingerprint uint64, now magno.Millis) bool {
	at, ok := m.askedAt.Get(fingerprint)
	return ok && now-at < askInterval
}

func (m *Manager) callHome(ctx context.Context, addr string, c call) (bool, error) {
	if addr == m.Self {
		return m.grant(c), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var r reply
	err := m.Mesh.Call(ctx, addr, MethodTrial, c, &r)
	return r.Granted, err
}

// grant decides as the home.
func (m *Manager) grant(c call) bool {
	if c.Unproven {
		return m.Suspects.GrantUnproven(c.Fingerprint)
	}
	return m.Suspects.GrantTrial(c.Fingerprint)
}

func (m *Manager) handleTrial(_ context.Context, _ *wire.Peer, params json.RawMessage) (any, error) {
	var c call
	if err := json.Unmarshal(params, &c); err != nil {
		return nil, magno.Refuse(magno.KindMalformed, "%v", err)
	}
	return reply{m.grant(c)}, nil
}
