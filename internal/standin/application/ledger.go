package application

import "sync"

// Ledger counts the runs of each booking, for all servers of a service.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Runs returns how often a booking was run.
func (l *Ledger) Runs(reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[reference]
}

// Doubled returns the references of bookings that were run more than once.
func (l *Ledger) Doubled() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var doubled []string
	for reference, n := range l.runs {
		if n > 1 {
			doubled = append(doubled, reference)
		}
	}
	return doubled
}

// Len returns the number of different bookings.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// Run counts a run of a booking and returns how often it was run.
func (l *Ledger) Run(reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[reference]++
	return l.runs[reference]
}
