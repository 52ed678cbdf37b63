package assembler

import "time"

// NewIncarnation returns an incarnation number that increases with each start of a
// host: the wall clock in milliseconds.
func NewIncarnation() uint64 {
	return uint64(time.Now().UnixMilli()) //nolint:gosec // the wall clock is after 1970
}
