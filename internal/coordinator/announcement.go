package coordinator

import (
	"cmp"
	"slices"
)

// GroupsVersion orders the group tables of all controllers. It is a plain record.
type GroupsVersion struct {
	// Claim is the claim of the controller that has made the table.
	Claim int64
	// Revision grows with each change of the table, also across claims.
	Revision int64
}

// compare orders versions by claim and revision.
func (v GroupsVersion) compare(o GroupsVersion) int {
	return cmp.Or(cmp.Compare(v.Claim, o.Claim), cmp.Compare(v.Revision, o.Revision))
}

// publishGroups makes the plan of this host, the controller, the newest group table if it
// has changed.
func (c *Coordinator) publishGroups() {
	statuses := c.groupStatuses()
	if c.announcedVersion.Claim == c.ownClaim && slices.Equal(statuses, c.announcedGroups) {
		return
	}
	c.announcedGroups = statuses
	c.announcedVersion = GroupsVersion{Claim: c.ownClaim, Revision: c.announcedVersion.Revision + 1}
	c.nextHeartbeatAt, c.nextDigestAt = min(c.nextHeartbeatAt, c.now), min(c.nextDigestAt, c.now)
}

// adoptGroups uses the group table of a message if it is newer than the known one.
func (c *Coordinator) adoptGroups(b Heartbeat) {
	if b.Groups != nil && b.GroupsVersion.compare(c.announcedVersion) > 0 {
		c.announcedGroups, c.announcedVersion = b.Groups, b.GroupsVersion
		c.nextDigestAt = min(c.nextDigestAt, c.now)
	}
}

// lacksGroups reports whether a host with a version of the group table needs the one that
// this host knows.
func (c *Coordinator) lacksGroups(v GroupsVersion) bool {
	return len(c.announcedGroups) > 0 && v.compare(c.announcedVersion) < 0
}

// emitHeartbeat sends a heartbeat to peers, with the group table to those that lack it.
func (c *Coordinator) emitHeartbeat(b Heartbeat, recipients []*peer) {
	var plain, withGroups []string
	for _, p := range recipients {
		known := p.lastHeartbeat.GroupsVersion
		if p.hasDigest && p.lastDigestReceivedAt >= p.lastHeartbeatReceivedAt {
			known = p.lastDigest.Sender.GroupsVersion
		}
		if b.Claim != 0 && c.lacksGroups(known) {
			withGroups = append(withGroups, p.Address)
			continue
		}
		plain = append(plain, p.Address)
	}
	if len(plain) > 0 {
		c.emit(SendHeartbeat{Heartbeat: b, Addresses: plain})
	}
	if len(withGroups) > 0 {
		b.Groups = c.announcedGroups
		c.emit(SendHeartbeat{Heartbeat: b, Addresses: withGroups})
	}
}
