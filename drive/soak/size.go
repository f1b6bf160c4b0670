package soak

import "fmt"

// Size is how large a soak is, and the terms that go with it. A field that is zero has its usual value.
type Size struct {
	Entries, Engines, Plains int
	// DataCentres is the number of data centres over which all of them are spread.
	DataCentres int
	// RetrySlack is the part of the retry budget that doesn't depend on the requests.
	RetrySlack int
	// Memory is the limit of each process's memory in megabytes, zero for none.
	Memory int
	// Network is the second byte of all addresses. Soaks of different networks can run at once.
	Network int
	// Share is the share of the time for which each process runs, as on a small part of a processor; zero for all
	// of it.
	Share float64
}

// The usual size. Each machine has its own address in 127.0.0.0/8, so that all of them can use the same ports, as on
// the platform.
const (
	entryCount  = 3
	engineCount = 4
	plainCount  = 2
)

// fill sets the fields that are zero.
func (z *Size) fill() {
	for _, f := range []struct {
		value *int
		usual int
	}{{&z.Entries, entryCount}, {&z.Engines, engineCount}, {&z.Plains, plainCount}, {&z.DataCentres, 1}, {&z.RetrySlack, retrySlack}} {
		if *f.value == 0 {
			*f.value = f.usual
		}
	}
}

// dataCentre names that of the nth machine of a kind.
func (z *Size) dataCentre(n int) string { return fmt.Sprintf("z%d", n%z.DataCentres) }
