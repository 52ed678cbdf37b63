package application

import "sync"

// Ledger counts how often each booking was run by all servers of a service together.
type Ledger struct {
	mu        sync.Mutex
	runCounts map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runCounts: make(map[string]int)} }

// RunCount returns how often a booking was run.
func (l *Ledger) RunCount(reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runCounts[reference]
}

// RepeatedBookings returns the references of bookings that were run more than once.
func (l *Ledger) RepeatedBookings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var repeated []string
	for reference, n := range l.runCounts {
		if n > 1 {
			repeated = append(repeated, reference)
		}
	}
	return repeated
}

// BookingCount returns the number of distinct bookings.
func (l *Ledger) BookingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runCounts)
}

// RecordRun counts one run of a booking and returns how often it has been run.
func (l *Ledger) RecordRun(reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runCounts[reference]++
	return l.runCounts[reference]
}
