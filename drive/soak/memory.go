package soak

import (
	"fmt"
	"os"
)

// maxEntryMemory is the resident memory, in bytes, that a daemon may have at the users' target size.
const maxEntryMemory = 128 << 20

// checkMemory checks the entries' memory while upstreams answer without end. The caller holds mu.
func (s *Soak) checkMemory() {
	if s.fleet.endless.Load() == 0 {
		return
	}
	for i := range s.fleet.entries {
		name := entryName(i)
		resident, ok := s.fleet.process(name).resident()
		if !ok {
			continue // it is being restarted
		}
		s.largest = max(s.largest, resident)
		if resident > maxEntryMemory {
			s.violation("%s takes more than %d bytes beside answers without end", name, maxEntryMemory)
		}
	}
}

// resident returns the process's resident memory in bytes, and false if it doesn't run.
func (p *process) resident() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0, false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	var total, pages int64
	if _, err := fmt.Sscan(string(text), &total, &pages); err != nil {
		return 0, false
	}
	return pages * int64(os.Getpagesize()), true
}
