package once

// Has reports whether the call's key is recorded. An agent that is shutting down takes
// no new keys but must still answer for those it ran, because no other process can.
func (l *Ledger) Has(call Call) bool {
	l.setup()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.table.records.Get(call.scopedKey())
	return ok
}

// Len returns the number of recorded keys.
func (l *Ledger) Len() int {
	l.setup()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.records.Len()
}
