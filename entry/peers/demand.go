package peers

// idleDemand is added to each entry's demand, in requests per second: an entry with hardly any may
// have its next request at any time, and just after a start nobody has measured any.
const idleDemand = 1

// DemandShare returns this entry's share of the demand for a service, given its own. A peer that
// doesn't tell its demand counts as the average of those that do.
func (p *Peers) DemandShare(service string, own float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	own += idleDemand
	sum, told, silent := own, 1, 0
	for _, k := range p.known {
		switch {
		case !k.alive:
		case k.hello.Demand == nil:
			silent++
		default:
			sum += max(k.hello.Demand[service], 0) + idleDemand
			told++
		}
	}
	sum += sum / float64(told) * float64(silent)
	return own / sum
}
