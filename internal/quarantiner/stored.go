package quarantiner

import "time"

// refreshInterval is how much longer ago the last request with a part may be by its stored quarantine, which ends by
// itself when there are none for idleLifetime.
const refreshInterval = idleLifetime / 4

// Quarantines returns all quarantines in ascending order of their parts, as they have to outlive the processes of the
// hosts. A permit that may still be used counts as used.
func (t *Table) Quarantines(now time.Duration) []Quarantine {
	var list []Quarantine
	for _, p := range t.QuarantinedParts() {
		q := t.quarantines[p].describe(now, p)
		if t.quarantines[p].isOutstanding(now) {
			q.Used, q.SinceUse = q.Used+1, 0
		}
		q.Holder, q.IsUsed = "", true
		list = append(list, q)
	}
	return list
}

// Restore adopts the quarantines that hosts have stored before this one started. It leaves out those that an answered
// request speaks against or that have ended by themselves.
func (t *Table) Restore(now time.Duration, stored []Quarantine) {
	for _, q := range stored {
		t.adoptQuarantine(now, q)
	}
}

// IsFull reports whether no further part can be quarantined.
func (t *Table) IsFull() bool { return len(t.quarantines) >= maxQuarantines }

// Differs reports whether a stored quarantine no longer tells what a host needs that restores it.
func (q Quarantine) Differs(stored Quarantine) bool {
	return q.Used != stored.Used || len(q.Rivals) != len(stored.Rivals) || stored.IdleFor-q.IdleFor >= refreshInterval
}
