package driver

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

const (
	// verificationAttempts is the number of calls by which a server is verified that resets
	// connections, verificationInterval the time between them.
	verificationAttempts = 3
	verificationInterval = 100 * time.Millisecond
)

// verifyServer asks a server that has broken off a response for its report. The server has
// ended if nobody listens at its address any more, or a later incarnation responds there. One
// that does not respond in time may be cut off, and one that resets the connection may have too
// many of them, or may be about to end.
func (d *Driver) verifyServer(e coordinator.VerifyServer) coordinator.ServerVerified {
	result := coordinator.ServerVerified{Server: e.Server, StartedUnixMillis: e.StartedUnixMillis}
	for n := range verificationAttempts {
		if n > 0 {
			select {
			case <-time.After(verificationInterval):
			case <-d.ctx.Done():
				return result
			}
		}
		started, err := d.requestStart(e)
		switch {
		case err == nil:
			result.Ended = started != 0 && e.StartedUnixMillis != 0 && started != e.StartedUnixMillis
			return result
		case errors.Is(err, syscall.ECONNREFUSED):
			result.Ended = true
			return result
		case errors.Is(err, context.DeadlineExceeded):
			return result
		}
	}
	return result
}

// HasServerEnded asks the server of the slot whether it runs on after it has ended the connection of
// a response that states neither a length nor chunks: the end of such a response looks the
// same if the server has crashed, or has left. It returns false if that is unknown.
func (s *Slot) HasServerEnded() bool {
	d := s.driver
	d.mutex.Lock()
	v, ok := d.coordinator.Verification(s.ticket)
	d.mutex.Unlock()
	if !ok || !d.verifyServer(v).Ended {
		return false
	}
	d.log.Info().Str("server", string(v.Server)).Msg("server has ended with a response that states no length")
	return true
}

// Quarantines returns the quarantines that have to be in the store.
func (d *Driver) Quarantines() []quarantiner.Quarantine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.Quarantines(d.now())
}

// HasRoomForQuarantines reports whether this host has all quarantines. Those that a full host has no room for have not
// ended.
func (d *Driver) HasRoomForQuarantines() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.HasRoomForQuarantines()
}

// ReadsQuarantines reports whether this host reads the quarantines in the store.
func (d *Driver) ReadsQuarantines() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.ReadsQuarantines(d.now())
}

// KeepsQuarantines reports whether this host is one of those that keep the quarantines in the store.
func (d *Driver) KeepsQuarantines() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.coordinator.KeepsQuarantines(d.now())
}

// RestoreQuarantines adopts the quarantines in the store.
func (d *Driver) RestoreQuarantines(stored []quarantiner.Quarantine) {
	d.Apply(coordinator.QuarantinesRead{Quarantines: stored})
}

// requestStart returns the incarnation of a server by its report.
func (d *Driver) requestStart(e coordinator.VerifyServer) (int64, error) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	r, err := d.servers.Report(ctx, e.Server, e.Address)
	d.meter.CountReportRequest(err == nil)
	if err != nil {
		d.log.Info().Str("server", string(e.Server)).Err(err).Msg("server that broke off a response does not report")
	}
	return r.StartedUnixMillis, err
}

// reportServerEnd counts and logs a server that has ended while it answered requests.
func (d *Driver) reportServerEnd(e coordinator.ServerEnded) {
	d.meter.CountServerEnd()
	d.log.Info().Str("server", string(e.Server)).Int64("started", e.StartedUnixMillis).Int("parts", e.Parts).Msg("server has ended while it answered")
}

// reportQuarantine counts and logs a changed quarantine.
func (d *Driver) reportQuarantine(e coordinator.QuarantineChanged) {
	d.meter.CountQuarantineChange(e.Quarantined)
	message := "part of prompts is free again"
	if e.Quarantined {
		message = "part of prompts is quarantined"
	}
	d.log.Warn().Stringer("part", e.Part).Msg(message)
}

// reportPermitUse counts and logs a request with quarantined parts that is sent.
func (d *Driver) reportPermitUse(e coordinator.PermitUsed) {
	d.meter.CountPermitUse(e.IsDiscriminating)
	parts := make([]fmt.Stringer, 0, len(e.Parts))
	for _, p := range e.Parts {
		parts = append(parts, p)
	}
	d.log.Info().Str("server", string(e.Server)).Stringers("parts", parts).Bool("discriminating", e.IsDiscriminating).Msg("request with quarantined parts is sent")
}
