package keep

// rateLogFactor is the factor by which the engine's prefill rate must have changed to be
// logged. Estimates of an engine that doesn't change stay within a quarter.
const rateLogFactor = 1.5

// recordRate records the engine's estimated prefill rate, and logs it if it has changed.
func (k *Controller) recordRate(rate float64) {
	k.stats.rate.Set(rate)
	if rate < k.rate*rateLogFactor && rate*rateLogFactor > k.rate {
		return
	}
	k.Log.Info("engine rate", "rate", int(rate), "before", int(k.rate))
	k.rate = rate
}
