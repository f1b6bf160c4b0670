package sched

import (
	"math"

	"magnoliastall.example/magno"
)

const (
	// longFactor is how many times the geometric mean of runs a long job
	// takes. Answers of one kind spread by a factor of two or three around
	// their median, drafts are at seven times and more.
	longFactor = 4
	// defaultStarve is Tuning.Starve's default.
	defaultStarve = 0.4
)

// Next returns what is to be done now. Each order is returned once. It also
// has to be called while nothing happens, about each 20 ms with jobs queued,
// for deadlines pass and failed loads are tried again.
func (s *Sched) Next() []magno.Order {
	s.setup()
	now := s.Clock.Now()
	orders := s.expire(nil, now)
	orders = s.starts(orders, now)
	return s.loads(orders, now)
}

// expire refuses queued jobs that can't end in time any more: a place given
// to one is lost for a job that can.
func (s *Sched) expire(orders []magno.Order, now magno.Millis) []magno.Order {
	for it := s.queue.Expired(now); it != nil; it = s.queue.Expired(now) {
		s.queue.Remove(it.Job.ID)
		if s.slots.Ready(it.Job.Ref) {
			s.gate.Ended(it.Job.Customer, false)
		} else {
			s.gate.LoadLate()
		}
		r := magno.Refuse(magno.KindDeadline, "it can't end before its deadline any more").
			Later(s.gate.Wait(s.queue.ReadyRun(), 0, it.Run))
		orders = append(orders, magno.Order{Kind: magno.OrderRefuse, Job: it.Job, Ref: it.Job.Ref, Refusal: r})
	}
	return orders
}

func (s *Sched) starts(orders []magno.Order, now magno.Millis) []magno.Order {
	for s.alone == "" && s.former.Free(len(s.runs)) > 0 {
		takesLong := s.former.TakesLong(s.long)
		it := s.queue.Peek(takesLong)
		if it == nil {
			s.former.Empty(s.reading)
			return orders
		}
		if it.Exclusive && len(s.runs) > 0 {
			return orders // what runs comes to its end first
		}
		if !s.former.Starts(now, &it.Job, s.queue.ReadyJobs()) {
			return orders
		}
		s.queue.Take(takesLong)
		s.slots.Pin(it.Job.Ref, now, it.Run)
		s.runs[it.Job.ID] = &run{job: it.Job, started: now, long: it.Long}
		s.reading++
		if it.Long {
			s.long++
		}
		if it.Exclusive {
			s.alone = it.Job.ID
		}
		orders = append(orders, magno.Order{Kind: magno.OrderStart, Job: it.Job, Ref: it.Job.Ref})
	}
	return orders
}

// isLong compares a run with those of the jobs offered before.
func (s *Sched) isLong(expected magno.Millis) bool {
	x := float64(max(expected, 1))
	if s.mean == 0 {
		s.mean, s.logMean = x, math.Log(x)
	}
	long := x > longFactor*math.Exp(s.logMean)
	s.mean += meanGain * (x - s.mean)
	s.logMean += meanGain * (math.Log(x) - s.logMean)
	return long
}
