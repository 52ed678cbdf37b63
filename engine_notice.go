package fuchsiapitch

import "time"

// ServerNotice is what a backend server states about itself beside a response, whatever the
// status of the response is. The zero value states nothing.
type ServerNotice struct {
	// Leaving reports that the server leaves and wants no further requests.
	Leaving bool
	// Pause is how long the server wants no further requests from this host. It is set only
	// beside a refusal.
	Pause time.Duration
	// ColdFor is how long the server remains cold.
	ColdFor time.Duration
}

// IsZero reports whether the notice states nothing.
func (n ServerNotice) IsZero() bool { return n == ServerNotice{} }
