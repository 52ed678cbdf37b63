package coordinator

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/spreader"
)

const (
	// directoryTimeout is the age of the list behind the newest directory from which on a
	// host reads the list itself. Relays read it every 0.8 s. A shorter timeout lets all
	// hosts read the list, and with it the store's bandwidth, whenever relays are late.
	directoryTimeout = 2 * time.Second
	// hostListTimeout is how long a starting host waits for the registered hosts before it reads the
	// server list without them.
	hostListTimeout = 300 * time.Millisecond
	// currentListAge is the age up to which the own list is current.
	currentListAge = 3 * time.Second
)

// In a large cluster only relays and the controller read the platform's server list. They
// send the other hosts a directory of the servers that accept requests: the leaders of the
// announced groups and the servers of plain services.

// DirectoryEntry is one server of a directory. It is a plain record.
type DirectoryEntry struct {
	Server            fuchsiapitch.ServerID
	Service           fuchsiapitch.ServiceName
	Address           string
	DataCentre        fuchsiapitch.DataCentreName
	Slots             int
	Leaving           bool
	StartedUnixMillis int64
}

// directoryState is the newest directory that this host has made or received.
type directoryState struct {
	// peersListed is true once the registered hosts have been read.
	peersListed bool
	// listOffset is the end of the own server list.
	listOffset int64
	// directory is the newest known directory, which this host sends as a relay.
	directory []DirectoryEntry
	// directoryVersion is a hash of that directory, directoryOffset the end of the list
	// that it is made from, and directoryConfirmedAt when that was current.
	directoryVersion     uint64
	directoryOffset      int64
	directoryConfirmedAt time.Duration
}

// NeedsServerList reports whether this host has to read the platform's server list and claims
// itself: in a small cluster, as a relay or the controller, and as long as no relay sends it a
// current directory. A host that starts first learns which hosts there are.
func (c *Coordinator) NeedsServerList(now time.Duration) bool {
	switch {
	case !c.peersListed && now < hostListTimeout:
		return false
	case c.servesList(now):
		return true
	case c.directoryVersion == 0:
		return now >= c.firstReadAt()
	}
	return now-c.directoryConfirmedAt >= directoryTimeout
}

// NeedsHostList reports whether this host has to read the registered hosts itself.
func (c *Coordinator) NeedsHostList(now time.Duration) bool {
	return !c.peersListed || c.NeedsServerList(now)
}

// KnowsServers reports whether this host has a list or a directory of the backend servers.
func (c *Coordinator) KnowsServers() bool { return c.listReadAt > 0 || c.directoryVersion != 0 }

// firstReadAt returns when a host that no relay has sent a directory reads the list itself.
func (c *Coordinator) firstReadAt() time.Duration {
	rank := 0
	for _, p := range c.ranked(c.dataCentre) {
		if outranks(p.Peer, c.self) {
			rank++
		}
	}
	return spreader.Delay(len(c.peers)+1, len(c.rankedPeers), rank)
}

// mergeDirectoryEntry returns the report of a server with what a directory says of it. What only
// the list and the server itself say of the same incarnation, such as its group, stays.
func (c *Coordinator) mergeDirectoryEntry(e DirectoryEntry) fuchsiapitch.ServerReport {
	r := fuchsiapitch.ServerReport{ID: e.Server, StartedUnixMillis: e.StartedUnixMillis}
	if s, ok := c.servers[e.Server]; ok && s.report.StartedUnixMillis == e.StartedUnixMillis {
		r = s.report
	}
	r.Service, r.Address, r.DataCentre, r.Slots, r.Leaving = e.Service, e.Address, e.DataCentre, e.Slots, e.Leaving
	return r
}

// servesList reports whether this host reads the server list for others: in a small
// cluster, as the controller, or as a relay.
func (c *Coordinator) servesList(now time.Duration) bool {
	if !c.usesRelays() || c.ownClaim != 0 && c.ownClaim == c.knownClaim || len(c.members(now)) > 0 {
		return true
	}
	_, isRelay := c.relayTargets(now, c.dataCentre)
	return isRelay
}

// ServesServerList reports whether this host reads the server list for others, or in a small cluster for
// itself.
func (c *Coordinator) ServesServerList(now time.Duration) bool { return c.servesList(now) }

// UsesRelays reports whether the cluster is so large that hosts send heartbeats to relays.
func (c *Coordinator) UsesRelays() bool { return c.usesRelays() }

// hasCurrentList reports whether this host reads the server list itself.
func (c *Coordinator) hasCurrentList(now time.Duration) bool {
	return c.listReadAt > 0 && now-c.listReadAt < currentListAge
}

// usesHeardList reports whether the list of another host is in use, as it is later than the own one.
func (c *Coordinator) usesHeardList(now time.Duration) bool {
	return c.listOffset < c.heardOffset && now-c.heardAt < listLag
}

// makeDirectory makes the directory that this host sends as a relay. If that is made from the list of
// another host, it is as old as the own list, so that members who can read the list go on to do so.
func (c *Coordinator) makeDirectory(now time.Duration) {
	offset := c.listOffset
	if c.usesHeardList(now) {
		offset = c.heardOffset
	}
	if !c.hasCurrentList(now) && offset == c.listOffset || c.routes == nil {
		return
	}
	directory := make([]DirectoryEntry, 0, len(c.announcedGroups))
	add := func(s *server) {
		r := s.report
		directory = append(directory, DirectoryEntry{
			Server: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre, Slots: r.Slots, Leaving: r.Leaving, StartedUnixMillis: r.StartedUnixMillis,
		})
	}
	for _, g := range c.announcedGroups {
		if s, ok := c.servers[g.Leader]; ok && (s.listed || c.listStale) {
			add(s)
		}
	}
	c.indexDomains()
	for key, servers := range c.domains {
		if p, ok := c.serviceProfile(key.service); !ok || p.Engine != nil {
			continue
		}
		for _, s := range servers {
			if s.listed {
				add(s)
			}
		}
	}
	slices.SortFunc(directory, func(a, b DirectoryEntry) int { return cmp.Compare(a.Server, b.Server) })
	c.directory = directory
	c.directoryVersion, c.directoryOffset, c.directoryConfirmedAt = hashDirectory(c.directory), offset, c.listReadAt
}

// hashDirectory returns the version of a directory, which is never 0.
func hashDirectory(directory []DirectoryEntry) uint64 {
	h := fnv.New64a()
	write := func(text string) {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	for _, e := range directory {
		write(string(e.Server))
		write(string(e.Service))
		write(e.Address)
		write(string(e.DataCentre))
		leaving := byte(0)
		if e.Leaving {
			leaving = 1
		}
		h.Write(append(binary.AppendVarint(binary.AppendVarint(nil, int64(e.Slots)), e.StartedUnixMillis), leaving))
	}
	return max(h.Sum64(), 1)
}

// adoptDirectory uses the directory of a relay, unless this host reads the list for others
// or knows a later one.
func (c *Coordinator) adoptDirectory(now time.Duration, d Digest) {
	if d.Sender.DirectoryVersion == 0 || d.IsDataCentreOnly || c.servesList(now) {
		return
	}
	confirmedAt := now - d.ListAge
	switch {
	case d.Sender.DirectoryVersion == c.directoryVersion:
		c.directoryConfirmedAt = max(c.directoryConfirmedAt, confirmedAt)
		c.directoryOffset = max(c.directoryOffset, d.ListOffset)
		return
	case d.Directory == nil, d.ListOffset < c.directoryOffset:
		return
	}
	// A host that becomes a relay hands on this directory until it has read the list.
	c.directory = d.Directory
	c.directoryVersion, c.directoryOffset, c.directoryConfirmedAt = d.Sender.DirectoryVersion, d.ListOffset, confirmedAt
	if c.hasCurrentList(now) && c.listOffset >= d.ListOffset {
		return
	}
	list := make([]fuchsiapitch.ServerReport, 0, len(d.Directory))
	for _, e := range d.Directory {
		list = append(list, c.mergeDirectoryEntry(e))
	}
	c.listStale = false
	c.mergeServerList(now, list, d.ListOffset)
	c.refreshReplicas(now)
}
