package soak

import (
	"fmt"
	"testing"
	"time"

	"magnoliastall.example/platform/fake"
)

// soundObserver knows of no fault.
func soundObserver(sentAt time.Time) *observer {
	return &observer{
		entry:     func(string) int { return 0 },
		sentAt:    func(string) time.Time { return sentAt },
		disturbed: func(int, *fake.Worker, time.Time, time.Time) bool { return false },
		lost:      func(*fake.Worker, time.Time, time.Time) bool { return false },
	}
}

// startWorkers returns n workers.
func startWorkers(n int) []*fake.Worker {
	var list []*fake.Worker
	for i := range n {
		w := &fake.Worker{ID: fmt.Sprint(i)}
		w.Start()
		list = append(list, w)
	}
	return list
}

// Guards against a check that can't fail: requests that run on more upstreams than their route allows.
func TestAttemptCheckFindsFurtherRuns(t *testing.T) {
	workers := startWorkers(3)
	o := soundObserver(time.Now())
	for n := range attemptSlack + 1 {
		id := fmt.Sprint(n)
		for _, w := range workers[:2] {
			w.Run(id, fake.PathRepeat+"x", time.Second)
		}
		if broken := o.checkAttempts(workers); len(broken) != 0 {
			t.Errorf("allowed runs: %q", broken)
		}
	}
	for n := range attemptSlack + 1 {
		workers[2].Run(fmt.Sprint(n), fake.PathRepeat+"x", time.Second)
	}
	if broken := o.checkAttempts(workers); len(broken) != 1 {
		t.Errorf("got %q, want one", broken)
	}
	o.lost = func(w *fake.Worker, _, _ time.Time) bool { return w == workers[0] }
	if broken := o.checkAttempts(workers); len(broken) != 0 {
		t.Errorf("counted an upstream that was lost: %q", broken)
	}
}

// Guards against a check that can't fail: requests handed on with too much time, or none stated.
func TestTimeCheckFindsTooMuchTime(t *testing.T) {
	for name, left := range map[string]time.Duration{"none": -1, "too much": callerDeadline + 2*timeMargin} {
		t.Run(name, func(t *testing.T) {
			workers := startWorkers(1)
			o := soundObserver(time.Now())
			for n := range timeSlack + 1 {
				if broken := o.checkTimes(workers); len(broken) != 0 {
					t.Fatalf("%d such requests: %q", n, broken)
				}
				workers[0].Run(fmt.Sprint(n), fake.PathOnce+"x", left)
			}
			if broken := o.checkTimes(workers); len(broken) != 1 {
				t.Errorf("got %q, want one", broken)
			}
		})
	}
	t.Run("sent once more", func(t *testing.T) {
		workers := startWorkers(2)
		o := soundObserver(time.Now().Add(-callerDeadline))
		for n := range timeSlack + 1 {
			workers[0].Run(fmt.Sprint(n), fake.PathRepeat+"x", time.Second)
		}
		time.Sleep(timeMargin + 10*time.Millisecond)
		for n := range timeSlack + 1 {
			workers[1].Run(fmt.Sprint(n), fake.PathRepeat+"x", time.Second)
		}
		if broken := o.checkTimes(workers); len(broken) != 1 {
			t.Errorf("got %q, want one", broken)
		}
	})
}
