// Package proof tests the real programs against stand-ins on loopback, under the failures
// that the system is guaranteed to survive: killed and frozen processes, network cuts,
// outages, restarts and conflicting operations. Results are verified by the execution
// counts of the stand-ins and by what callers received, not by timing.
package proof
