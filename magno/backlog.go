package magno

import "maps"

// Aged returns the backlog as it is once age has passed: a rest gets shorter by that, and so do
// the waits that contain it.
func (b Backlog) Aged(age Millis) Backlog {
	passed := max(min(age, b.Rest), 0)
	if passed == 0 {
		return b
	}
	b.Rest -= passed
	b.Wait = max(b.Wait-passed, 0)
	b.Waits = maps.Clone(b.Waits)
	for customer, wait := range b.Waits {
		b.Waits[customer] = max(wait-passed, 0)
	}
	return b
}
