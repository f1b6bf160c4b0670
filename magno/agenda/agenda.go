// Package agenda spreads the callers that were refused over the time in which there is capacity
// for them.
//
//	refusal --Promise--> reservation in a time slot --> Retry-After
//	                          ^
//	answer --Served--> forecast capacity per time slot
//
// Load pattern: in an overloaded second, hundreds of callers are refused with about the same
// Retry-After. Without this package all of them return together: most are refused once more, and
// have used up their retry, while the capacity of the following seconds is idle.
//
// Each entry plans with the rate of its own completions, its share of the pool, less those of its
// usual demand, so entries need no messages. Reservations are soft: a caller that returns is served if
// there is capacity, and one that doesn't leaves its reservation to others.
package agenda

import "magnoliastall.example/magno"

const (
	// slotTime is the length of a time slot. Callers' round trips vary by about as much, so
	// shorter ones would not separate them.
	slotTime = 50 * magno.Millis(1)
	// slotCount is the number of time slots: 5 s, since callers wait for a third of the time
	// that they have left, and seldom have more than 15 s.
	slotCount = 100
	// refusalSlots is the time over which refusals are counted, one second.
	refusalSlots = 20
	// minRefusals is the number of refusals in that time up to which callers may return together.
	minRefusals = 3
	// rankCount is the number of ranks that are distinguished; lower priorities share the last one.
	rankCount = 8
	// capacityError is the tolerance for the rounding of capacities that aren't whole numbers.
	capacityError = 1e-9
)

// Agenda holds the reservations of returning callers for one service. It is not safe for
// concurrent use. Clock must be set before the first call.
type Agenda struct {
	Clock *magno.Clock

	// slot is the number of the current time slot since the epoch. The slot with number n is at
	// index n modulo the length of the following arrays.
	slot     int64
	reserved [rankCount][slotCount]int
	refused  [refusalSlots]int
	capacity capacity
}

// Served counts a request of the service that was answered.
func (a *Agenda) Served() {
	a.advance(a.Clock.Now())
	a.capacity.served++
}

// Promise reserves a time at which a caller that is refused now should return, and returns it. It
// is the first time from earliest on at which forecast capacity isn't reserved by callers of the
// same or a more urgent rank, at the latest latest. It is earliest if few callers were refused in
// the last second, while the capacity isn't known, and if earliest is after latest.
//
// Reservations of less urgent ranks are ignored: their callers get what is left when both return.
func (a *Agenda) Promise(rank int, earliest, latest magno.Millis) magno.Millis {
	now := a.Clock.Now()
	a.advance(now)
	a.refused[a.slot%refusalSlots]++
	perSlot, known := a.capacity.perSlot()
	overloaded := a.recentRefusals() > max(minRefusals, int(perSlot))
	a.capacity.overloaded = a.capacity.overloaded || overloaded
	latest = min(latest, now+(slotCount-1)*slotTime)
	earliest = max(earliest, now)
	if earliest >= latest {
		return earliest
	}
	rank = min(max(rank, 0), rankCount-1)
	first, last := slotOf(earliest), slotOf(latest)
	if !known || !overloaded {
		a.reserve(rank, first)
		return earliest
	}
	n, ok := a.freeSlot(rank, first, last, perSlot)
	switch {
	case !ok:
		a.reserve(rank, last)
		return latest
	case n == first:
		a.reserve(rank, first)
		return earliest
	}
	a.reserve(rank, n)
	return magno.Millis(n) * slotTime
}

// Reset drops all reservations and forgets the capacity. It is called when the pool has changed
// by so much that both are wrong.
func (a *Agenda) Reset() {
	a.reserved, a.capacity = [rankCount][slotCount]int{}, capacity{windowStart: a.capacity.windowStart}
}

func slotOf(t magno.Millis) int64 { return int64(t / slotTime) }

func (a *Agenda) reserve(rank int, slot int64) { a.reserved[rank][slot%slotCount]++ }

// freeSlot returns the first time slot in a range that can take one more caller. Reservations beyond
// a slot's capacity use that of the following ones, which may be reserved already: one more caller
// must not exceed the capacity of any stretch of time by more than one.
func (a *Agenda) freeSlot(rank int, first, last int64, perSlot float64) (int64, bool) {
	var loads [slotCount]float64
	carried := 0.0
	for i := range loads {
		loads[i] = carried
		for r := 0; r <= rank; r++ {
			loads[i] += float64(a.reserved[r][(a.slot+int64(i))%slotCount])
		}
		carried = max(loads[i]-perSlot, 0)
	}
	// room is how many more callers the time slots from i on can take, if they return in slot i.
	free, found, room := int64(0), false, 1.0
	for i := slotCount - 1; int64(i) >= first-a.slot; i-- {
		room = min(max(perSlot+1-loads[i], 0), room+max(perSlot-loads[i], 0))
		if n := a.slot + int64(i); n <= last && room > 1+capacityError {
			free, found = n, true
		}
	}
	return free, found
}

func (a *Agenda) recentRefusals() int {
	n := 0
	for _, refused := range a.refused {
		n += refused
	}
	return n
}

// advance drops the time slots that have passed.
func (a *Agenda) advance(now magno.Millis) {
	a.capacity.advance(now)
	current := slotOf(now)
	if current-a.slot >= slotCount {
		a.reserved, a.refused = [rankCount][slotCount]int{}, [refusalSlots]int{}
		a.slot = current
	}
	for a.slot < current {
		for r := range a.reserved {
			a.reserved[r][a.slot%slotCount] = 0
		}
		a.slot++
		a.refused[a.slot%refusalSlots] = 0
	}
}
