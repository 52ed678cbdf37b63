package quarantiner

import (
	"slices"
	"time"
)

// refreshInterval is how much longer ago the last request with a part may be by its stored quarantine, which ends by
// itself when there are none for idleLifetime.
const refreshInterval = idleLifetime / 4

// Quarantines returns all quarantines as they have to outlive the processes of the hosts, and those that are imposed
// after the settle time unless another host tells of an answer. A permit that may still be used counts as used.
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
	return append(list, t.impending(now)...)
}

// impending returns the quarantines for which only the settle time has to pass.
func (t *Table) impending(now time.Duration) []Quarantine {
	best := t.bestSuspect(now, 0)
	if best == nil {
		return nil
	}
	parts := t.rivals(now, 0, best)
	slices.Sort(parts)
	var list []Quarantine
	for _, p := range parts {
		q := Quarantine{Part: p, IsUsed: true}
		for _, rival := range parts {
			if rival != p {
				q.Rivals = append(q.Rivals, rival)
			}
		}
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
