package bound

import "magnoliastall.example/drive/tally"

// Join returns the mean bound over runs of one length.
func Join(runs []*Bound) *Bound {
	sum := &Bound{}
	n := float64(len(runs))
	for _, b := range runs {
		sum.Batch += b.Batch / n
		sum.Good += b.Good / n
		sum.Goodput += b.Goodput / n
		sum.Stall += b.Stall / n
		sum.Requests += b.Requests
	}
	return sum
}

// Line returns the bound in the form of a run's results; what it doesn't bound
// is zero.
func (b *Bound) Line() tally.Line {
	return tally.Line{
		Customer: tally.Bounded, Offered: b.Requests, Admitted: b.Requests,
		Good: int(b.Good * float64(b.Requests)), Goodput: b.Goodput, Batch: b.Batch,
		Stall: tally.Spread{Mean: b.Stall},
	}
}
