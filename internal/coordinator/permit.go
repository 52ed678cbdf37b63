package coordinator

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// passesQuarantine reports whether a request may be admitted. Else it is refused, or waits for a
// permit. One request of this host waits for the permit of a part.
func (c *Coordinator) passesQuarantine(now time.Duration, w *queuedRequest) bool {
	switch c.parts.Check(now, w.Parts) {
	case quarantiner.Refused:
		c.refuseQuarantined(w)
		return false
	case quarantiner.Awaiting:
		if slices.ContainsFunc(c.awaitingPermits, func(o *queuedRequest) bool { return c.parts.ShareQuarantined(o.Parts, w.Parts) }) {
			c.refuseQuarantined(w)
			return false
		}
		c.awaitPermit(now, w)
		c.announceParts()
		return false
	case quarantiner.Permitted:
		w.isPermitted = true
	case quarantiner.Admitted:
	}
	return true
}

// awaitPermit lets a request wait for permits.
func (c *Coordinator) awaitPermit(now time.Duration, w *queuedRequest) {
	c.parts.Claim(now, w.Parts)
	c.awaitingPermits = append(c.awaitingPermits, w)
}

// stopAwaitingPermit removes a request that its client has abandoned.
func (c *Coordinator) stopAwaitingPermit(t Ticket) {
	c.awaitingPermits = slices.DeleteFunc(c.awaitingPermits, func(w *queuedRequest) bool {
		isAbandoned := w.Ticket == t
		if isAbandoned {
			c.parts.Withdraw(w.Parts)
		}
		return isAbandoned
	})
}

func (c *Coordinator) refuseQuarantined(w *queuedRequest) {
	retryAfter := quarantineRetryAfter
	if c.parts.IsDiscriminating(w.Parts) {
		retryAfter = discriminatingRetryAfter
	}
	c.emit(Refuse{Ticket: w.Ticket, Reason: Quarantined, RetryAfter: retryAfter})
}

// admitPermitted admits the requests that have got permits or whose parts are free again, and
// refuses those that have waited for too long.
func (c *Coordinator) admitPermitted(now time.Duration) {
	waiting := c.awaitingPermits
	c.awaitingPermits = nil
	for _, w := range waiting {
		switch c.parts.Check(now, w.Parts) {
		case quarantiner.Refused, quarantiner.Awaiting:
			if now >= min(w.arrivedAt+permitWait, w.Deadline) {
				c.parts.Withdraw(w.Parts)
				c.refuseQuarantined(w)
				continue
			}
			c.awaitPermit(now, w)
		case quarantiner.Permitted:
			w.isPermitted = true
			c.parts.Withdraw(w.Parts)
			c.admitChecked(now, w)
		case quarantiner.Admitted:
			c.admitChecked(now, w)
		}
	}
}

// usePermits records that a request is sent to a server by the permits for its quarantined parts.
func (c *Coordinator) usePermits(now time.Duration, parts []quarantiner.Part, server fuchsiapitch.ServerID) {
	c.emit(PermitUsed{Server: server, Parts: c.parts.Quarantined(parts), IsDiscriminating: c.parts.IsDiscriminating(parts)})
	c.parts.Use(now, parts)
}

// returnPermit returns the permit of a request that is not sent.
func (c *Coordinator) returnPermit(w *queuedRequest) {
	if w.isPermitted {
		c.parts.Cancel(w.Parts)
		w.isPermitted = false
	}
}
