package assembler

import "time"

// NewIncarnation returns a number that rises with each start of a host.
func NewIncarnation() uint64 {
	return uint64(time.Now().UnixMilli()) //nolint:gosec // the clock stands after 1970
}
