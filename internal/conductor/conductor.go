// Package conductor decides which server answers a request and when, and which
// servers form groups. It is a reducer: it takes one event after the other and
// returns the effects as data. It reads no clock and starts no goroutine.
package conductor

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// beatInterval is the time between heartbeats to a handful of hosts.
	beatInterval = 100 * time.Millisecond
	// beatsPerSecond bounds the heartbeats that a host sends in all, for large
	// numbers of hosts.
	beatsPerSecond = 150
	// earlyBeatsPerSecond bounds them where loads have changed: about half a percent
	// of a core.
	earlyBeatsPerSecond = 500
	// newsTokens is the change in unread prompt tokens that other hosts hear of
	// early: a prompt of usual length. A pass that reads takes as long as the usual
	// time between heartbeats.
	newsTokens = 1000
	// peerTimeout is the silence after which a host counts as gone: several
	// heartbeats, and longer than a short stall of a slow host.
	peerTimeout = 800 * time.Millisecond
	// probeGoneInterval is the time between heartbeats to a host that is gone.
	probeGoneInterval = time.Second
	// rereadInterval is the time between two calls for a later configuration.
	rereadInterval = 300 * time.Millisecond
	// suspectTime is how long a server named in a refusal is suspected.
	suspectTime = time.Second
)

// Conductor holds the decisions of one host. It is not safe for concurrent use.
type Conductor struct {
	self       Peer
	dataCentre fuchsiapitch.DataCentreName
	started    int64
	stall      time.Duration

	table   *fuchsiapitch.RouteTable
	now     time.Duration
	effects []Effect
	busy    bool
	stops   bool
	// violations counts the invariants that were found broken.
	violations int

	peers    map[fuchsiapitch.HostID]*peer
	nextBeat time.Duration
	lastBeat time.Duration
	// news is the change in unread prompt tokens since the last heartbeat.
	news     int
	reread   time.Duration
	suspects map[fuchsiapitch.ServerID]time.Duration

	lead
	fleet
	admission
	budget
}

// peer is what is known of another host.
type peer struct {
	Peer
	heard    bool
	last     time.Duration
	lastSent time.Duration
	beat     Beat
}

// Option sets one optional property of a conductor.
type Option func(*Conductor)

// WithStall sets the time after which an engine gives up on a lost member.
func WithStall(stall time.Duration) Option { return func(c *Conductor) { c.stall = stall } }

// WithDataCentre sets the data centre of the host.
func WithDataCentre(name fuchsiapitch.DataCentreName) Option {
	return func(c *Conductor) { c.dataCentre = name }
}

// defaultStall is the time after which an engine gives up on a lost member if
// the settings do not say it.
const defaultStall = 4 * time.Second

// New returns the conductor of a host that was started at an incarnation.
func New(self Peer, started int64, options ...Option) *Conductor {
	c := &Conductor{
		self: self, started: started, stall: defaultStall,
		peers:    make(map[fuchsiapitch.HostID]*peer),
		suspects: make(map[fuchsiapitch.ServerID]time.Duration),
		lead:     lead{lastTry: -claimInterval},
		fleet:    newFleet(), admission: newAdmission(), budget: newBudget(),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Violations returns the number of invariants that were found broken.
func (c *Conductor) Violations() int { return c.violations }

// Apply takes in one event at a time since the start of the process and returns
// what is to be done.
func (c *Conductor) Apply(now time.Duration, event Event) []Effect {
	c.now, c.effects = now, nil
	switch e := event.(type) {
	case Arrived:
		c.busy = true
		c.arrive(now, e)
	case Began:
		c.begin(now, e.Ticket)
	case Ended:
		c.finish(now, e)
	case Configured:
		c.table = e.Table
	case ServersListed:
		c.takeList(now, e.Servers)
		c.refreshStations(now)
	case StoreFailed:
		c.listStale = true
	case Reported:
		c.takeReport(now, e)
	case Ordered:
		c.takeAnswer(now, e)
	case BeatHeard:
		c.hear(now, e.Beat)
	case PeersListed:
		c.takePeers(e.Peers)
	case ClaimRead:
		c.readClaim(now, e)
	case Tuned:
		c.stall = e.Stall
		c.ratio, c.slack, c.window = e.RetryRatio, e.RetrySlack, e.RetryWindow
	case Stopping:
		c.stops = true
	case Ticked:
		c.tick(now, e)
	}
	if c.news >= newsTokens {
		c.nextBeat = min(c.nextBeat, c.lastBeat+time.Duration(len(c.peers))*time.Second/earlyBeatsPerSecond)
		c.beat(now)
	}
	return c.effects
}

func (c *Conductor) emit(e Effect) { c.effects = append(c.effects, e) }

// fieldServer names the server in the fields of a note.
const fieldServer = "server"

func (c *Conductor) note(message string, fields map[string]any) {
	c.emit(Note{Message: message, Fields: fields})
}

func (c *Conductor) tick(now time.Duration, e Ticked) {
	if e.Suspended {
		c.resume(now)
	}
	c.takeActivity(e.LastBytes)
	c.elect(now)
	if c.leads(now) {
		c.plan(now)
	}
	c.refreshStations(now)
	c.withdrawSilent(now)
	c.serveQueue(now)
	c.beat(now)
}

// takePeers learns of hosts that the store names.
func (c *Conductor) takePeers(list []Peer) {
	for _, p := range list {
		if p.ID == c.self.ID {
			continue
		}
		if known, ok := c.peers[p.ID]; ok {
			if !known.heard {
				known.Address = p.Address
			}
			continue
		}
		c.peers[p.ID] = &peer{Peer: p}
	}
}

// hear takes in the heartbeat of another host.
func (c *Conductor) hear(now time.Duration, b Beat) {
	if b.From.ID == c.self.ID {
		return
	}
	p, ok := c.peers[b.From.ID]
	if !ok {
		p = &peer{}
		c.peers[b.From.ID] = p
	}
	if p.heard && b.Started < p.beat.Started {
		return
	}
	p.Peer, p.heard, p.last, p.beat = b.From, true, now, b
	for _, s := range b.Suspects {
		c.suspects[s] = now + suspectTime
	}
	c.hearClaim(now, b)
	c.takeRemoteLoads()
	c.serveQueue(now)
	if b.Version > c.version() && now-c.reread > rereadInterval {
		c.reread = now
		c.emit(Reread{})
	}
}

// version returns the version of the configuration, 0 for none.
func (c *Conductor) version() int64 {
	if c.table == nil {
		return 0
	}
	return c.table.Version()
}

// isLive reports whether a host was heard a short time ago.
func (p *peer) isLive(now time.Duration) bool { return p.heard && now-p.last < peerTimeout }

// LiveHosts returns the number of live hosts, this one included.
func (c *Conductor) LiveHosts(now time.Duration) int {
	n := 1
	for _, p := range c.peers {
		if p.isLive(now) {
			n++
		}
	}
	return n
}

// beat sends heartbeats to the other hosts.
func (c *Conductor) beat(now time.Duration) {
	if now < c.nextBeat {
		return
	}
	c.lastBeat, c.news = now, 0
	c.nextBeat = now + max(beatInterval, time.Duration(len(c.peers))*time.Second/beatsPerSecond)
	var to []string
	for _, p := range c.peers {
		if !p.isLive(now) && now-p.lastSent < probeGoneInterval && p.lastSent > 0 {
			continue
		}
		p.lastSent = now
		to = append(to, p.Address)
	}
	if len(to) == 0 {
		return
	}
	b := Beat{
		From: c.self, Started: c.started, Claim: c.activeClaim(now), KnownClaim: c.knownClaim,
		Version: c.version(), Eligible: c.isEligible(now), Busy: c.isBusy(now), Stopping: c.stops, Loads: c.loads(now), Queues: c.queues(),
	}
	if c.stops && c.claim != 0 && c.claim == c.knownClaim && c.holder == c.self.ID {
		b.Heir, b.HandedClaim, b.Formations = c.heir(now), c.claim, c.formations
	}
	for s, until := range c.suspects {
		if now < until && c.suspectedHere[s] {
			b.Suspects = append(b.Suspects, s)
		}
		if now >= until {
			delete(c.suspects, s)
			delete(c.suspectedHere, s)
		}
	}
	if b.Claim > 0 && c.isSurveyed() {
		b.Groups = c.groupLines()
	}
	c.emit(SendBeat{Beat: b, To: to})
}

// isBusy reports whether any live host has had requests.
func (c *Conductor) isBusy(now time.Duration) bool {
	if c.busy {
		return true
	}
	for _, p := range c.peers {
		if p.isLive(now) && p.beat.Busy {
			c.busy = true
		}
	}
	return c.busy
}
