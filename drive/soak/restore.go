package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"magnoliastall.example/platform/fake"
)

const (
	// maxCopyAge limits the age of the copy from which the list comes back.
	maxCopyAge = 4 * time.Second
	// maxRewriteDelay limits the time until lost changes are written again.
	maxRewriteDelay = 2 * time.Second
	// entryTTL is the time after which the entry of an upstream that is gone expires.
	entryTTL = 3 * time.Second
	keyPlan  = "op/config"
	prefix   = "servers/"
)

// restoreList takes the list away. The returned function brings it back from an older copy, after
// which the writers of the lost changes write them again at drawn times.
func (f *fleet) restoreList(rnd *rand.Rand) func() {
	age := time.Duration(rnd.Int64N(int64(maxCopyAge)))
	seed := rnd.Uint64()
	f.store.Down.Store(true)
	f.disturbList()
	return func() {
		rnd := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // not used as a secret
		f.mu.Lock()
		copiedAt := time.Now().Add(-age)
		lost := f.store.Restore(f.store.WrittenSince(copiedAt))
		keysLost := f.loseWithdrawals(copiedAt)
		f.mu.Unlock()
		f.store.Down.Store(false)
		f.disturbList()
		var keys []string
		for _, it := range lost {
			if !slices.Contains(keys, it.Key) {
				keys = append(keys, it.Key)
			}
		}
		var rewriting sync.WaitGroup
		for _, key := range keys {
			delay := time.Duration(rnd.Int64N(int64(maxRewriteDelay)))
			rewriting.Go(func() {
				time.Sleep(delay)
				f.rewrite(key, entryTTL-delay, keysLost)
			})
		}
		rewriting.Wait()
	}
}

// rewrite writes an item as its writer knows it. The entry of an upstream that is gone expires
// after a while. The configuration withdraws the given keys again.
func (f *fleet) rewrite(key string, ttl time.Duration, keys []string) {
	if key == keyPlan {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.putPlan()
		for _, k := range keys {
			f.withdrawn[k] = time.Now()
		}
		return
	}
	if f.rewriteEntry(key) {
		return
	}
	time.Sleep(ttl)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Delete(key)
}

// rewriteEntry writes the entry of an upstream that runs, and reports whether there is one.
func (f *fleet) rewriteEntry(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams() {
		if prefix+u.worker.ID == key {
			f.list(u)
			return true
		}
	}
	return false
}

// drain makes an upstream state in the list that it leaves.
func (f *fleet) drain(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.listState = stateDraining
	f.list(u)
}

// disturbList records that the list is disturbed now.
func (f *fleet) disturbList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listDisturbedAt = append(f.listDisturbedAt, time.Now())
}

// calm reports whether the list and all entries were undisturbed in a period.
func (f *fleet) calm(from, to time.Time) bool {
	f.mu.Lock()
	list := slices.Clone(f.listDisturbedAt)
	f.mu.Unlock()
	if slices.ContainsFunc(list, func(at time.Time) bool { return at.After(from) && at.Before(to) }) {
		return false
	}
	for i := range f.entries {
		if f.disturbed(i, from, to) {
			return false
		}
	}
	return !slices.ContainsFunc(f.proxies, func(p *proxy) bool { return p.listen == f.address(5, 2, 30) && p.faultyIn(from, to) })
}

// checkDraining returns the requests that were sent to an upstream, and reached it, too long after
// the list had stated that it leaves.
func (o *observer) checkDraining(w *fake.Worker) []string {
	drainedAt := o.drainedAt(w)
	if drainedAt.IsZero() {
		return nil
	}
	var broken []string
	for _, a := range w.Arrivals() {
		sentAt := o.sentAt(a.ID)
		if sentAt.Sub(drainedAt) > drainDelay && o.calm(drainedAt, a.At) {
			broken = append(broken, fmt.Sprintf("upstream %s got request %s from entry %d, sent %d ms after the list had it as leaving",
				w.ID, a.ID, o.entry(a.ID), sentAt.Sub(drainedAt).Milliseconds()))
		}
	}
	return broken
}

// keyUse is what a caller saw of a key that was withdrawn, at one entry.
type keyUse struct {
	acceptedAt, refusedAt time.Time
}

// checkKeys returns the keys that an entry accepted again after it had refused them as withdrawn:
// it went back to an older configuration.
func (s *Soak) checkKeys() []string {
	type use struct{ entry, key string }
	uses := map[use]*keyUse{}
	var broken []string
	for _, r := range s.requestsInOrder() {
		withdrawn, gone := s.fleet.withdrawnAt(r.key)
		if !gone || r.at.Before(withdrawn) {
			continue
		}
		u := uses[use{r.entry, r.key}]
		if u == nil {
			u = &keyUse{}
			uses[use{r.entry, r.key}] = u
		}
		switch {
		case r.outcome.Status == http.StatusUnauthorized && !u.acceptedAt.IsZero():
			u.refusedAt = r.doneAt
		case r.outcome.Status == http.StatusOK && u.refusedAt.IsZero():
			u.acceptedAt = r.at
		case r.outcome.Status == http.StatusOK && r.at.After(u.refusedAt) && !s.fleet.disturbed(slices.Index(s.fleet.entries, r.entry), u.acceptedAt, r.doneAt):
			broken = append(broken, fmt.Sprintf("entry %s accepted key %s again %d ms after it had refused it as withdrawn",
				r.entry, strings.TrimSpace(r.key), r.at.Sub(u.refusedAt).Milliseconds()))
		}
	}
	return broken
}
