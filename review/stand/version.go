package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["version"] = versionCase
	cases["freeze"] = freezeCase
}

const (
	// versionBound is the platform's version_ms.
	versionBound = 5 * time.Second
	// freezeTime is how long the process beside the worker stands still.
	freezeTime = 3500 * time.Millisecond
	// seriesPause is the time between two versions of a series of seriesLength.
	seriesPause  = 1500 * time.Millisecond
	seriesLength = 6
)

// versions runs two model workers and two entries, with clients that use many adapters all the time.
type versions struct {
	world   *world
	engines []*engine
	agents  []*proc

	mu sync.Mutex
	// acked holds when the version 2, 3, ... of each adapter was acknowledged.
	acked       map[string][]time.Time
	late, begun int
	stop        chan struct{}
	senders     sync.WaitGroup
}

const versionedAdapters = 30

func (w *world) startVersions() (*versions, error) {
	const workers, slots = 2, 36
	v := &versions{world: w, acked: map[string][]time.Time{}, stop: make(chan struct{})}
	w.store.Put("op/config", plan(7, slots, nil, nil))
	for i := range workers {
		e := newEngine(w, fmt.Sprintf("i-%d", i+1), "base", slots)
		e.onRun = func(id, name string, version int64) { v.run(e.id, id, name, version) }
		v.engines = append(v.engines, e)
		if err := w.serve(w.worker(i+1), e); err != nil {
			return nil, err
		}
		w.store.Put("servers/"+e.id, e.entry("reader-pool", w.worker(i+1), "ready"))
		a, err := w.agent(i+1, "reader-pool")
		if err != nil {
			return nil, err
		}
		v.agents = append(v.agents, a)
	}
	for i := 1; i <= 2; i++ {
		if _, err := w.entry(i); err != nil {
			return nil, err
		}
	}
	if !w.waitReady(2) {
		return nil, errors.New("the entries aren't ready")
	}
	for n := range 2 * versionedAdapters {
		v.senders.Add(1)
		go func() {
			defer v.senders.Done()
			for k := 0; ; k++ {
				select {
				case <-v.stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				w.send(1+n%2, fmt.Sprintf("%08x%08x", n+1, k+1), adapterName(n%versionedAdapters))
			}
		}()
	}
	time.Sleep(10 * time.Second)
	return v, nil
}

// run records that a request begins, and whether that is too late for the version.
func (v *versions) run(worker, id, name string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun++
	list := v.acked[name]
	next := int(version) - 1 // the index of the ack of the version after this one
	if next >= len(list) {
		v.world.logf("run %s at %s on %s@%d", id, worker, name, version)
		return
	}
	after, note := time.Since(list[next]), ""
	if after > versionBound {
		v.late++
		note = " BROKEN"
	}
	v.world.logf("run %s at %s on %s@%d, %v after the ack of @%d%s", id, worker, name, version, after.Round(time.Millisecond), version+1, note)
}

// declare declares the next version of all adapters.
func (v *versions) declare(version int64) {
	for i := range versionedAdapters {
		name := adapterName(i)
		for _, e := range v.engines {
			e.declare(name, version)
		}
		v.world.store.Put("op/version/base."+name, map[string]any{"model": "base", "adapter": name, "version": version})
		v.mu.Lock()
		v.acked[name] = append(v.acked[name], time.Now())
		v.mu.Unlock()
	}
	v.world.logf("ack of version %d of all adapters", version)
}

// finish reports whether the rule held.
func (v *versions) finish() (held bool, err error) {
	close(v.stop)
	v.senders.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.world.logf("%d runs, %d of them began on an older version more than %v after the ack of a newer one", v.begun, v.late, versionBound)
	fmt.Printf("%d runs, %d late\n", v.begun, v.late)
	if v.begun < 500 {
		return false, errors.New("too few requests ran")
	}
	return v.late == 0, nil
}

// versionCase declares new versions of adapters in use: with trouble a series of them, else one.
func versionCase(w *world, trouble bool) (held bool, err error) {
	v, err := w.startVersions()
	if err != nil {
		return false, err
	}
	v.declare(2)
	for n := range int64(seriesLength - 1) {
		time.Sleep(seriesPause)
		if trouble {
			v.declare(3 + n)
		}
	}
	time.Sleep(10 * time.Second)
	return v.finish()
}

// freezeCase declares one new version. With trouble, the agent beside one worker stands still from just before that.
func freezeCase(w *world, trouble bool) (held bool, err error) {
	v, err := w.startVersions()
	if err != nil {
		return false, err
	}
	if trouble {
		v.agents[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { v.agents[0].signal(syscall.SIGCONT) })
	}
	time.Sleep(100 * time.Millisecond)
	v.declare(2)
	time.Sleep(12 * time.Second)
	return v.finish()
}
