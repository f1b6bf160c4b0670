package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"magnoliastall.example/platform/fake"
)

// injectFaults injects faults until ctx ends. The seed determines all of them.
func (s *Soak) injectFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 0)) //nolint:gosec // not used as a secret
	var ending sync.WaitGroup
	defer ending.Wait()
	for ctx.Err() == nil {
		pause := time.Duration(rnd.Int64N(int64(maxFaultInterval)))
		last := time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		name, undo := s.startFault(rnd)
		s.faults[name]++
		ending.Add(1)
		go func() {
			defer ending.Done()
			time.Sleep(last)
			undo()
		}()
		time.Sleep(pause)
	}
}

// startFault starts a random fault and returns its name and the function that ends it.
func (s *Soak) startFault(rnd *rand.Rand) (string, func()) {
	f := s.fleet
	p := f.procs[rnd.IntN(len(f.procs))]
	x := f.proxies[rnd.IntN(len(f.proxies))]
	u := f.upstreams()[rnd.IntN(len(f.upstreams()))]
	none := func() {}
	switch n := rnd.IntN(28); n {
	case 0, 1:
		p.signal(syscall.SIGKILL)
		return "kill " + p.kind, none
	case 2:
		p.signal(syscall.SIGSTOP)
		return "pause " + p.kind, func() { p.signal(syscall.SIGCONT) }
	case 3:
		p.signal(syscall.SIGTERM)
		return "term " + p.kind, none
	case 4:
		p.signal(syscall.SIGHUP)
		return "hup " + p.kind, none
	case 5, 6, 7, 8, 9:
		m := mode(1 + rnd.IntN(len(modeNames)-1))
		x.set(m)
		return "path " + modeNames[m], func() { x.set(modePass) }
	case 10:
		f.store.Down.Store(true)
		f.disturbList()
		return "list down", func() {
			f.store.Down.Store(false)
			f.disturbList()
		}
	case 11:
		f.disturbList()
		f.store.Compact()
		return "list compacted", none
	case 12:
		f.publish()
		return "configuration", none
	case 18:
		return "list restored", f.restoreList(rnd)
	case 21:
		return "fatal request", s.startFatal(rnd)
	case 25:
		return "fatal part", s.startFatalPart(rnd)
	case 22:
		return "failures around kills", s.startBurst(rnd)
	default:
		return f.startUpstreamFault(n, u, rnd)
	}
}

// startUpstreamFault is startFault for the faults of upstreams.
func (f *fleet) startUpstreamFault(n int, u *upstream, rnd *rand.Rand) (string, func()) {
	none := func() {}
	switch n {
	case 13:
		f.replace(u)
		return "upstream replaced", none
	case 14:
		f.restart(u)
		return "upstream restarted", none
	case 15:
		return "upstream limited", f.state(u, fake.Notice{Limited: true, Limit: float64(1+rnd.IntN(8)) / 2})
	case 16:
		f.current(u).SetNotice(fake.Notice{Leaving: true})
		return "upstream leaving", func() {
			time.Sleep(noticeTime)
			f.replace(u)
		}
	case 17:
		return "upstream turns away", f.state(u, fake.Notice{Rest: time.Duration(1+rnd.IntN(3)) * time.Second})
	case 19:
		f.drain(u)
		return "upstream drains", func() {
			time.Sleep(noticeTime)
			f.replace(u)
		}
	case 23:
		go f.end(u, f.current(u), "", minAway)
		return "upstream crashes", none
	case 26:
		thaw := u.handler.freeze()
		u.proxy.disturb() // what waits there was sent before it arrives, and its answers may reach nobody
		return "upstream frozen", func() {
			thaw()
			u.proxy.disturb()
		}
	case 24:
		go f.endUntil(u, f.current(u), "", minAway, f.rebuild)
		return "upstream comes back with another build", none
	case 27:
		return f.startEndless(u, rnd)
	default:
		f.current(u).AbortNext(1 + rnd.IntN(4))
		return "answers broken", none
	}
}

// state sets what the upstream states, and returns the function that ends it.
func (f *fleet) state(u *upstream, n fake.Notice) func() {
	w := f.current(u)
	w.SetNotice(n)
	return func() {
		time.Sleep(noticeTime)
		w.SetNotice(fake.Notice{})
	}
}

// clearFaults ends all faults that may remain.
func (s *Soak) clearFaults() {
	for _, x := range s.fleet.proxies {
		x.set(modePass)
	}
	for _, p := range s.fleet.procs {
		p.signal(syscall.SIGCONT)
	}
	s.fleet.store.Down.Store(false)
	for _, u := range append(s.fleet.engines, s.fleet.plains...) {
		w := s.fleet.current(u)
		w.AbortNext(0)
		w.FailWith(0)
		w.SetNotice(fake.Notice{})
	}
}

// losePower kills all processes and empties all upstreams at once. With every other seed
// the instance list also becomes unavailable and returns later than the processes.
func (s *Soak) losePower() {
	listDown := s.Seed%2 == 1
	s.fleet.store.Down.Store(listDown)
	for _, p := range s.fleet.procs {
		p.signal(syscall.SIGKILL)
	}
	for _, u := range append(s.fleet.engines, s.fleet.plains...) {
		s.fleet.restart(u)
	}
	if listDown {
		time.Sleep(listOutage)
		s.fleet.store.Down.Store(false)
	}
}
