package fuchsiapitch

import "time"

// HostID identifies one entry host by the name in its settings.
type HostID string

// ServerID identifies one backend server, as the platform's host list names it.
type ServerID string

// GroupID identifies one group of backend servers that serves one model replica.
type GroupID string

// ReplicaID identifies one routable replica: the identifier of its group for
// a model service, or of its backend server for an application service.
type ReplicaID string

// ServiceName is the configured name of a service.
type ServiceName string

// CustomerName is the configured name of a customer.
type CustomerName string

// RankName is the configured name of a rank.
type RankName string

// DataCentreName is the name of a data centre.
type DataCentreName string

// FabricDomainName is the name of a set of hosts joined by one fast fabric.
type FabricDomainName string

// RequestID identifies one request of a caller in the whole system. It is
// unique across hosts and restarts.
type RequestID string

// StreamName is the name of one stream of the platform's log.
type StreamName string

// RecordID identifies one log record. A record appended twice keeps its
// identifier, so that a reader folds it once.
type RecordID string

// Offset is the position of a record in a stream of the log. The first
// record of a stream has offset 1; 0 stands before every record.
type Offset uint64

// Term is the epoch of a controller: the offset of the log record that
// elected it.
type Term uint64

// Instant is one reading of both clocks of a process. The monotonic reading
// measures durations; the wall reading reveals pauses during which the
// monotonic clock stood still.
type Instant struct {
	monotonic time.Duration
	wall      time.Time
}

// NewInstant returns an instant from a monotonic reading since the start of
// the process and a wall-clock reading.
func NewInstant(monotonic time.Duration, wall time.Time) Instant {
	return Instant{monotonic: monotonic, wall: wall}
}

// Monotonic returns the time since the start of the process.
func (i Instant) Monotonic() time.Duration { return i.monotonic }

// Wall returns the wall-clock reading.
func (i Instant) Wall() time.Time { return i.wall }

// Sub returns the monotonic time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return i.monotonic - o.monotonic }

// Add returns the instant that follows i by d on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{monotonic: i.monotonic + d, wall: i.wall.Add(d)}
}

// Past reports whether a deadline is reached on either clock.
func (i Instant) Past(deadline Instant) bool {
	return i.monotonic >= deadline.monotonic || !i.wall.Before(deadline.wall)
}

// Clock reads the clocks of the process.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}
