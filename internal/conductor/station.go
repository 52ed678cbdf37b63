package conductor

import (
	"math"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// station is one server that takes requests: the leader of an open group, or an
// application server.
type station struct {
	server  fuchsiapitch.ServerID
	address string
	service fuchsiapitch.ServiceName
	model   string
	near    bool
	slots   int
	// pace multiplies the times of the engine, readPerSecond is its reading speed.
	pace, readPerSecond float64
	// step and stepPerRequest are the time of a step and what each request adds to
	// it, stride the number of steps between two events.
	step, stepPerRequest time.Duration
	stride               int
	// running and unread are the requests of this host and their unread prompt
	// tokens; remoteRunning and remoteUnread those of the others.
	running, unread             int
	remoteRunning, remoteUnread int
	// lastByte is when the server last sent a byte to this host, lastSent when it
	// last got a request, and firstDue when the oldest request was sent that has
	// no answer yet.
	lastByte, lastSent, firstDue time.Duration
	// open states that the station takes new requests.
	open bool
	// shunned is until when the station gets no requests, since it could not be
	// connected to, and unreached the last time of that kind.
	shunned, unreached time.Duration
	// backOff is until when the station is avoided after a refusal, and failures the
	// number of its failures in a row.
	backOff  time.Duration
	failures int
}

// serves reports whether a station takes requests of a pool.
func (s *station) serves(p pool) bool {
	return s.open && s.service == p.service && s.model == p.model
}

// isOnTrial reports whether one request of this host shows whether a station can be
// connected to again: others would wait for the same time limit.
func (s *station) isOnTrial() bool { return s.unreached > 0 && s.running > 0 }

// load returns the requests of all hosts at a station.
func (s *station) load() int { return s.running + s.remoteRunning }

// readTime returns the time to read all unread prompts and one more.
func (s *station) readTime(prompt int) time.Duration {
	return s.ownReadTime(s.unread + s.remoteUnread + prompt)
}

// ownReadTime returns the time to read a number of tokens.
func (s *station) ownReadTime(tokens int) time.Duration {
	if s.readPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.readPerSecond * max(s.pace, 0.1) * float64(time.Second))
}

// pauseMargin is the part of the longest pause that a pass may take. The rest is for
// prompts of other hosts that are not heard of yet, and for the way of an event.
const pauseMargin = 0.9

// readLimit returns the number of prompt tokens that may be unread at a station
// while its streams keep to a pause. An engine reads in every step of a pass, so
// that all streams wait for the prompts that it takes in.
func (s *station) readLimit(pause time.Duration) int {
	if pause <= 0 || s.readPerSecond <= 0 || s.stride <= 0 {
		return math.MaxInt
	}
	pace := max(s.pace, 0.1)
	pass := float64(s.stride) * float64(s.step+time.Duration(s.load())*s.stepPerRequest) * pace
	left := time.Duration(pauseMargin*float64(pause) - pass)
	return int(max(0, left).Seconds() / pace * s.readPerSecond)
}

// mayRead reports whether a station may get one more prompt while its streams keep
// to a pause. One that has nothing to read may get any.
func (s *station) mayRead(prompt int, pause time.Duration) bool {
	unread := s.unread + s.remoteUnread
	return unread == 0 || unread+prompt <= s.readLimit(pause)
}

// silence returns how long no byte has come though one was due.
func (s *station) silence(now time.Duration) time.Duration {
	if s.running == 0 {
		return 0
	}
	return now - max(s.lastByte, min(s.lastSent, s.firstDue))
}

// refreshStations brings the stations in line with the list of servers and the
// groups that the leader tells of.
func (c *Conductor) refreshStations(now time.Duration) {
	for _, s := range c.stations {
		s.open = false
	}
	if c.table == nil {
		return
	}
	for name, p := range c.table.Services() {
		if p.Engine != nil {
			continue
		}
		for id, s := range c.servers {
			if s.report.Service == name && s.listed && !s.report.Leaving {
				c.setStation(id, s, p, "")
			}
		}
	}
	lines, known := c.openGroups(now)
	for _, l := range lines {
		s, ok := c.servers[l.Head]
		if !ok || !l.Open || s.report.Leaving || !s.listed && !c.listStale {
			continue
		}
		if p, ok := c.table.Service(s.report.Service); ok && p.Engine != nil {
			c.setStation(l.Head, s, p, l.Model)
		}
	}
	if known {
		c.withdrawLost(now, lines)
	}
}

// openGroups returns the groups that take requests: as this host leads, as the
// leader says, or as the list shows. The second result states that a leader
// tells it.
func (c *Conductor) openGroups(now time.Duration) ([]GroupLine, bool) {
	if c.leads(now) && c.isSurveyed() {
		return c.groupLines(), true
	}
	for _, p := range c.peers {
		if p.isLive(now) && p.beat.Claim != 0 && p.beat.Claim == c.knownClaim && len(p.beat.Groups) > 0 {
			return p.beat.Groups, true
		}
	}
	var lines []GroupLine
	for id, s := range c.servers {
		m := s.report.Membership
		if m.State != fuchsiapitch.MemberOpen || m.Rank != 0 || len(s.report.Loaded) == 0 {
			continue
		}
		lines = append(lines, GroupLine{Ref: m.Group, Model: s.report.Loaded[0], Head: id, Open: true})
	}
	return lines, false
}

func (c *Conductor) setStation(id fuchsiapitch.ServerID, s *server, p fuchsiapitch.ServiceProfile, model string) {
	t, ok := c.stations[id]
	if !ok {
		t = &station{server: id}
		c.stations[id] = t
		c.takeRemoteLoads()
	}
	t.address, t.service, t.model, t.open = s.report.Address, s.report.Service, model, true
	t.near = s.report.DataCentre == c.dataCentre
	t.slots, t.pace = s.report.Slots, 1
	if p.Engine != nil {
		t.slots, t.readPerSecond = p.Engine.Slots, p.Engine.ReadPerSecond
		t.step, t.stepPerRequest, t.stride = p.Engine.Step, p.Engine.StepPerSequence, p.Engine.Stride
		if m, ok := p.Engine.Model(model); ok && m.Pace > 0 {
			t.pace = m.Pace
		}
	}
}

// withdrawLost takes the requests of this host off groups that the leader has
// taken apart.
func (c *Conductor) withdrawLost(now time.Duration, lines []GroupLine) {
	listed := make(map[fuchsiapitch.ServerID]bool, len(lines))
	for _, l := range lines {
		listed[l.Head] = true
	}
	for id, t := range c.stations {
		if t.open || listed[id] || t.model == "" || t.running == 0 || t.silence(now) < silentTime {
			continue
		}
		for _, k := range sortedKeys(c.places) {
			if pl := c.places[k]; pl.station == t && !pl.withdrawn {
				pl.withdrawn = true
				c.emit(Withdraw{Ticket: k})
			}
		}
	}
}

// withdrawSilent takes the requests of this host off the engines that no byte
// reaches it from, as far as the budget for repeats goes. The way to them may be
// cut for this host alone.
func (c *Conductor) withdrawSilent(now time.Duration) {
	for _, k := range sortedKeys(c.places) {
		p := c.places[k]
		s := p.station
		if p.withdrawn || s.model == "" || s.silence(now) < cutSilence || now-p.since < cutSilence {
			continue
		}
		if !c.mayRepeat(now, s.service) {
			return
		}
		p.withdrawn = true
		s.shunned = now + cutSilence
		c.emit(Withdraw{Ticket: k})
	}
}

// takeActivity takes in when servers last sent a byte.
func (c *Conductor) takeActivity(lastBytes map[fuchsiapitch.ServerID]time.Duration) {
	for id, at := range lastBytes {
		if s, ok := c.stations[id]; ok {
			s.lastByte = max(s.lastByte, at)
		}
	}
}

// takeRemoteLoads adds up the loads that the other hosts tell of.
func (c *Conductor) takeRemoteLoads() {
	for _, s := range c.stations {
		s.remoteRunning, s.remoteUnread = 0, 0
	}
	for _, p := range c.peers {
		if !p.isLive(c.now) {
			continue
		}
		for _, l := range p.beat.Loads {
			if s, ok := c.stations[l.Server]; ok {
				s.remoteRunning += l.Running
				s.remoteUnread += l.Unread
			}
		}
	}
}

// loads returns what this host has at each server.
func (c *Conductor) loads(now time.Duration) []Load {
	var loads []Load
	for _, id := range sortedKeys(c.stations) {
		if s := c.stations[id]; s.running > 0 {
			loads = append(loads, Load{Server: id, Running: s.running, Unread: s.unread, Silent: s.silence(now)})
		}
	}
	return loads
}

// isSilent reports whether no host gets a byte from a server that owes some.
func (c *Conductor) isSilent(now time.Duration, id fuchsiapitch.ServerID) bool {
	owing := false
	if s, ok := c.stations[id]; ok && s.running > 0 {
		owing = true
		if s.silence(now) < silentTime {
			return false
		}
	}
	for _, p := range c.peers {
		if !p.isLive(now) {
			continue
		}
		for _, l := range p.beat.Loads {
			if l.Server != id || l.Running == 0 {
				continue
			}
			owing = true
			if l.Silent+now-p.last < silentTime {
				return false
			}
		}
	}
	return owing
}
