package platform

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	// defaultZone is the zone of servers that are not placed elsewhere.
	defaultZone = "z1"
	// evacuationLimit is the time after which nothing more may reach the servers of an
	// evacuated zone.
	evacuationLimit = 2 * time.Second
	// ColdTime is how long servers become cold, and coldPerSecond, coldOver and coldSlack bound the
	// requests to a cold server in any second.
	ColdTime      = 3 * time.Second
	coldPerSecond = 14
	coldOver      = 1.5
	coldSlack     = 5
)

// SetColdLimits adds to the entry of a service in a configuration what its servers bear while
// they are cold.
func SetColdLimits(service map[string]any) {
	service["cold_s"], service["cold_per_s"] = ColdTime.Seconds(), coldPerSecond
}

// Place moves the server to a zone.
func (s *Server) Place(zone string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.zone = zone
}

// BecomeCold makes the server cold for ColdTime.
func (s *Server) BecomeCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.coldUntil = time.Now().Add(ColdTime)
}

// coldMillis returns how long the server remains cold. Callers hold the lock.
func (s *Server) coldMillis() int64 { return max(0, time.Until(s.coldUntil).Milliseconds()) }

// coldHeader returns the value of the field in which a health response says so.
func (s *Server) coldHeader() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strconv.FormatInt(s.coldMillis(), 10)
}

// Evacuate requests that nothing more be sent to the servers of a zone, until TakeBack.
func (f *Fleet) Evacuate(zone string) {
	f.store.put(operatorTopic, "evacuate/"+zone, []byte("{}"))
	f.operation.evacuate(zone, time.Now())
}

// TakeBack ends the evacuation of a zone. Its servers become cold.
func (f *Fleet) TakeBack(zone string) {
	for _, s := range f.allServers() {
		if s.place() == zone {
			s.BecomeCold()
		}
	}
	f.operation.takeBack(zone)
	f.store.put(operatorTopic, "evacuate/"+zone, nil)
}

func (s *Server) place() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.zone
}

// checkArrival records violations of EVAC and FAILBACK by a request that reaches the server.
func (s *Server) checkArrival(request string, now time.Time) {
	s.mutex.Lock()
	zone, isCold := s.zone, now.Before(s.coldUntil)
	s.mutex.Unlock()
	for _, v := range s.fleet.operation.recordArrival(request, s.id, zone, isCold, now) {
		s.fleet.recordViolation(v)
	}
}

// operationChecker checks that hosts heed evacuations and cold servers:
//
//   - EVAC: a request reaches a server later than the limit after its zone was evacuated and
//     before it is taken back.
//   - FAILBACK: more requests reach a cold server in one second than it bears.
type operationChecker struct {
	mutex     sync.Mutex
	evacuated map[string]time.Time
	// coldArrivals holds when requests reached each server in the last second of its cold time.
	coldArrivals map[string][]time.Time
}

func newOperationChecker() *operationChecker {
	return &operationChecker{evacuated: make(map[string]time.Time), coldArrivals: make(map[string][]time.Time)}
}

func (c *operationChecker) evacuate(zone string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuated[zone] = now
}

func (c *operationChecker) takeBack(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.evacuated, zone)
}

// recordArrival records that a request has reached a server and returns the violations.
func (c *operationChecker) recordArrival(request, server, zone string, isCold bool, now time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var violations []string
	if at, ok := c.evacuated[zone]; ok && now.Sub(at) > evacuationLimit {
		violations = append(violations, fmt.Sprintf("EVAC: request %s reaches %s %s after zone %s was evacuated", request, server, now.Sub(at), zone))
	}
	if !isCold {
		delete(c.coldArrivals, server)
		return violations
	}
	c.coldArrivals[server] = append(c.coldArrivals[server], now)
	for now.Sub(c.coldArrivals[server][0]) > time.Second {
		c.coldArrivals[server] = c.coldArrivals[server][1:]
	}
	arrivals := c.coldArrivals[server]
	if limit := coldPerSecond*coldOver + coldSlack; float64(len(arrivals)) > limit {
		violations = append(violations, fmt.Sprintf("FAILBACK: request %s is number %d to reach cold server %s in a second, which bears %g", request, len(arrivals), server, limit))
	}
	return violations
}
