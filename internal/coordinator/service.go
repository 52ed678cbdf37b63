package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// knownService is a service of the configuration in force, or one that a newer
// configuration has removed and that requests in progress still need: a request is handled
// by the configuration in force when it arrived.
type knownService struct {
	// profile is the newest profile of the service.
	profile fuchsiapitch.ServiceProfile
	// isConfigured is true if the configuration in force has the service.
	isConfigured bool
	// neededUntil is the latest deadline of the requests for the service.
	neededUntil time.Duration
}

// configure puts a configuration in force.
func (c *Coordinator) configure(now time.Duration, routes *fuchsiapitch.RouteTable) {
	c.routes = routes
	for _, s := range c.services {
		s.isConfigured = false
	}
	for name, p := range routes.Services() {
		s, ok := c.services[name]
		if !ok {
			s = &knownService{}
			c.services[name] = s
		}
		s.profile, s.isConfigured = p, true
	}
	c.refreshReplicas(now)
	c.dispatchQueue(now)
}

// serviceProfile returns the profile of a known service.
func (c *Coordinator) serviceProfile(name fuchsiapitch.ServiceName) (fuchsiapitch.ServiceProfile, bool) {
	s, ok := c.services[name]
	if !ok {
		return fuchsiapitch.ServiceProfile{}, false
	}
	return s.profile, true
}

// retainService keeps the service of a request until the deadline of the request.
func (c *Coordinator) retainService(e RequestArrived) {
	if s, ok := c.services[e.Service]; ok {
		s.neededUntil = max(s.neededUntil, e.Deadline)
	}
}

// forgetServices forgets the removed services that no request needs any more.
func (c *Coordinator) forgetServices(now time.Duration) {
	for name, s := range c.services {
		if !s.isConfigured && now > s.neededUntil {
			delete(c.services, name)
		}
	}
}
