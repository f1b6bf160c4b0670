package sched

import (
	"math"

	"magnoliastall.example/magno"
)

const (
	// longFactor is the multiple of the geometric mean run time above which a job
	// is long. Answers of one kind vary by a factor of two or three around their
	// median; timetable drafts take at least seven times as long.
	longFactor = 4
	// defaultStarvationHarm is the default of Tuning.StarvationHarm.
	defaultStarvationHarm = 0.4
)

// Next returns the orders to carry out now, each of them once. While jobs are
// queued it must be called about every 20 ms even if nothing happens, because
// deadlines pass and failed loads are due for a retry.
func (s *Sched) Next() []magno.Order {
	s.setup()
	now := s.Clock.Now()
	orders := s.refuseExpired(nil, now)
	orders = s.startJobs(orders, now)
	return s.orderLoad(orders, now)
}

// refuseExpired refuses queued jobs that can no longer end before their deadline, so
// that they take no place from jobs that can.
func (s *Sched) refuseExpired(orders []magno.Order, now magno.Millis) []magno.Order {
	for it := s.queue.Expired(now); it != nil; it = s.queue.Expired(now) {
		s.queue.Remove(it.Job.ID)
		if s.slots.Ready(it.Job.Ref) {
			s.gate.ObserveEnd(it.Job.Customer, false)
		} else {
			s.gate.ObserveLateLoad()
		}
		r := magno.Refuse(magno.KindDeadline, "it can't end before its deadline any more").
			WithRetryAfter(s.gate.EstimateWait(s.queue.ReadyRun(), 0, it.Run))
		orders = append(orders, magno.Order{Kind: magno.OrderRefuse, Job: it.Job, Ref: it.Job.Ref, Refusal: r})
	}
	return orders
}

// startJobs starts queued jobs while there are free places and the batch is open.
func (s *Sched) startJobs(orders []magno.Order, now magno.Millis) []magno.Order {
	for s.exclusive == "" && s.batcher.FreePlaces(len(s.runs)) > 0 && s.noticeDelay(1, now) == 0 {
		takesLong := s.batcher.AdmitsLong(s.longRunning)
		it := s.queue.Peek(takesLong)
		if it == nil {
			s.batcher.NoneReady(s.prefilling)
			return orders
		}
		if it.Exclusive && len(s.runs) > 0 {
			return orders // starts once all running jobs have ended
		}
		if !s.batcher.ShouldStart(now, &it.Job, s.queue.ReadyJobs()) {
			return orders
		}
		s.queue.Take(takesLong)
		s.limiter.Take(1)
		s.slots.Pin(it.Job.Ref, now, it.Run)
		s.runs[it.Job.ID] = &run{job: it.Job, started: now, long: it.Long}
		s.prefilling++
		if it.Long {
			s.longRunning++
		}
		if it.Exclusive {
			s.exclusive = it.Job.ID
		}
		orders = append(orders, magno.Order{Kind: magno.OrderStart, Job: it.Job, Ref: it.Job.Ref})
	}
	return orders
}

// isLong reports whether a run is long compared with those of earlier offers, and
// adds it to the averages.
func (s *Sched) isLong(expected magno.Millis) bool {
	x := float64(max(expected, 1))
	if s.meanRun == 0 {
		s.meanRun, s.meanLogRun = x, math.Log(x)
	}
	long := x > longFactor*math.Exp(s.meanLogRun)
	s.meanRun += meanGain * (x - s.meanRun)
	s.meanLogRun += meanGain * (math.Log(x) - s.meanLogRun)
	return long
}
