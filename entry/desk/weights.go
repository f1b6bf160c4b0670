package desk

import "magnoliastall.example/magno"

// customerWeights returns the weights of the customers that weigh something other than 1, which
// is the default. Most configurations have none, and the specs of their engines stay as short.
func customerWeights(customers []magno.Customer) map[string]float64 {
	var weights map[string]float64
	for _, c := range customers {
		if c.Weight <= 0 || c.Weight == 1 {
			continue
		}
		if weights == nil {
			weights = map[string]float64{}
		}
		weights[c.Name] = c.Weight
	}
	return weights
}
