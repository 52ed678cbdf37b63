package fuchsiapitch

import "time"

// HostID identifies an entry host by the name in its settings.
type HostID string

// ServerID identifies a backend server by its name in the platform's host list.
type ServerID string

// GroupID identifies a group of backend servers that together serve one replica of a
// model.
type GroupID string

// ReplicaID identifies a routable replica. It equals the identifier of the group for a
// model service and that of the backend server for an application service.
type ReplicaID string

// ServiceName is the configured name of a service.
type ServiceName string

// CustomerName is the configured name of a customer.
type CustomerName string

// RankName is the configured name of a rank.
type RankName string

// DataCentreName is the name of a data centre.
type DataCentreName string

// RegionName is the name of a region, a set of data centres.
type RegionName string

// FabricDomainName is the name of a set of hosts that are connected by the same fast
// network fabric.
type FabricDomainName string

// RequestID identifies a client request. It is unique across hosts and restarts.
type RequestID string

// StreamName is the name of a stream in the platform's log.
type StreamName string

// RecordID identifies a log record. A record that is appended twice keeps its
// identifier, so that readers apply it once.
type RecordID string

// Offset is the position of a record in a stream of the log. The first record has
// offset 1; 0 is the position before it.
type Offset uint64

// Term is the epoch of a controller. It is the offset of the log record by which the
// controller was elected.
type Term uint64

// Instant is a simultaneous reading of the monotonic clock and the wall clock. The
// monotonic reading measures durations. The wall-clock reading detects suspensions
// of the process during which the monotonic clock stood still.
type Instant struct {
	monotonic time.Duration
	wall      time.Time
}

// NewInstant returns an instant. The monotonic reading is the time since the start of
// the process.
func NewInstant(monotonic time.Duration, wall time.Time) Instant {
	return Instant{monotonic: monotonic, wall: wall}
}

// Monotonic returns the monotonic time since the start of the process.
func (i Instant) Monotonic() time.Duration { return i.monotonic }

// Wall returns the wall-clock reading.
func (i Instant) Wall() time.Time { return i.wall }

// Sub returns the monotonic time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return i.monotonic - o.monotonic }

// Add returns i advanced by d on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{monotonic: i.monotonic + d, wall: i.wall.Add(d)}
}

// HasReached reports whether i is at or after a deadline on either clock.
func (i Instant) HasReached(deadline Instant) bool {
	return i.monotonic >= deadline.monotonic || !i.wall.Before(deadline.wall)
}

// Clock reads the clocks of the process.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}
