// Package rewinder decides what a host believes after the platform's store has gone back: in a
// drill it returns from a copy some seconds old, and the era that it states rises. What the hosts
// wrote since the copy is gone, offsets are given out again, and what others wrote is written
// again within seconds. The package is pure: it reads no clock and calls no store.
package rewinder

const (
	// offsetBits is the number of low bits of a position, which hold the offset.
	offsetBits = 40
	// claimBits is the same for the number of a claim.
	claimBits = 20
	// maxClaimOffset is the highest offset of a claim that has a number.
	maxClaimOffset = 1<<claimBits - 2
	// maxEra is the highest era for which claims, shifted by as many bits again for the epochs
	// under them, fit into 63 bits.
	maxEra = 1<<22 - 1
)

// Position returns a number for an offset of an era that orders offsets over all eras: those of a
// later era are later. Without eras, it is the offset.
func Position(era, offset int64) int64 { return min(era, maxEra)<<offsetBits | offset }

// ClaimNumber returns the number of a claim that was appended at an offset in an era. No two
// claims have the same number, since within an era no offset is given out twice, and claims of a
// later era have higher numbers. Numbers start at 1, because 0 stands for no claim. The result is
// 0 for an offset or an era out of range, since the number would not be unique.
func ClaimNumber(era, offset int64) int64 {
	if era < 0 || era > maxEra || offset < 0 || era > 0 && offset > maxClaimOffset {
		return 0
	}
	return era<<claimBits | (offset + 1)
}

// IsConfirmed reports whether a claim that states the era of its writer, and that was read or
// acknowledged in another one, belongs to its writer beyond doubt. A record that was sent in one
// era may be appended in the next, at an offset that had been given out to another host.
func IsConfirmed(statedEra, readEra int64) bool { return statedEra == readEra }

// Watch follows the era of the store over all calls of a host. The zero value has seen none.
type Watch struct {
	era   int64
	rises int
}

// Era returns the latest era, 0 if the store states none.
func (w *Watch) Era() int64 { return w.era }

// Rises returns how often the store has gone back since the start.
func (w *Watch) Rises() int { return w.rises }

// Observe processes the era of an answer. It returns true if the store has gone back since the
// previous answer. Answers may arrive out of order, so that an earlier era says nothing.
func (w *Watch) Observe(era int64) bool {
	if era <= w.era {
		return false
	}
	hasRisen := w.era > 0
	w.era = era
	if hasRisen {
		w.rises++
	}
	return hasRisen
}
