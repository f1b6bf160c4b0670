package peers

// idleDemand is added to each entry's demand, in requests per second: an entry with hardly any may
// have its next request at any time, and just after a start nobody has measured any.
const idleDemand = 1

// DemandShare returns this entry's share of the demand for a service, given its own. A peer that
// doesn't state its demand counts as the average of those that do.
func (p *Peers) DemandShare(service string, own float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	own += idleDemand
	sum, stated, unknown := own, 1, 0
	for _, k := range p.known {
		switch {
		case !k.alive:
		case k.hello.Demand == nil:
			unknown++
		default:
			sum += max(k.hello.Demand[service], 0) + idleDemand
			stated++
		}
	}
	sum += sum / float64(stated) * float64(unknown)
	return own / sum
}
