package bound

import "magnoliastall.example/drive/tally"

// Mean returns the mean of the bounds of runs of equal length; Requests is their sum.
func Mean(runs []*Bound) *Bound {
	sum := &Bound{}
	n := float64(len(runs))
	for _, b := range runs {
		sum.BatchEfficiency += b.BatchEfficiency / n
		sum.GoodShare += b.GoodShare / n
		sum.Goodput += b.Goodput / n
		sum.MeanStall += b.MeanStall / n
		sum.Requests += b.Requests
	}
	return sum
}

// Line returns the bound in the form of a run's results, with zeros for what it doesn't
// bound.
func (b *Bound) Line() tally.Line {
	return tally.Line{
		Customer: tally.BoundCustomer, Offered: b.Requests, Admitted: b.Requests,
		InTime: int(b.GoodShare * float64(b.Requests)), Goodput: b.Goodput, BatchEfficiency: b.BatchEfficiency,
		Stall: tally.Distribution{Mean: b.MeanStall},
	}
}
