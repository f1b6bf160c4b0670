package once

// Has tells whether the call's key is recorded here. An agent that leaves
// takes no new keys, yet must answer for those it ran: nobody else can.
func (l *Ledger) Has(call Call) bool {
	l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.book.records.Get(call.name())
	return ok
}

// Len returns how many keys are recorded.
func (l *Ledger) Len() int {
	l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.records.Len()
}
