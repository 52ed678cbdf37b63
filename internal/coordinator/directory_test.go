package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newMember returns a host of a large cluster that outranks no other, and that a relay has
// sent a digest, at the given time.
func newMember(now time.Duration) *Coordinator {
	c := New(Peer{ID: "z", DataCentre: "dc"}, 1, WithDataCentre("dc"))
	var peers []Peer
	for n := range maxDirectPeers + 1 {
		peers = append(peers, Peer{ID: fuchsiapitch.HostID(fmt.Sprintf("p%02d", n)), Address: "p", DataCentre: "dc", Capacity: 100})
	}
	c.Apply(now, ConfigurationChanged{Routes: fuchsiapitch.NewRouteTable(1, nil, []fuchsiapitch.ServiceProfile{{Name: plainService}}, nil, false, fuchsiapitch.ClientLimits{})})
	c.Apply(now, PeersListed{Peers: peers})
	for _, p := range peers[:relaysPerDataCentre] {
		c.Apply(now, DigestReceived{Digest: Digest{Sender: Heartbeat{From: p, Incarnation: 1}, HostCount: 18}})
	}
	return c
}

// newDirectoryDigest returns a digest of a relay with a directory of one server.
func newDirectoryDigest(offset int64, leaving bool) Digest {
	directory := []DirectoryEntry{{Server: "app", Service: plainService, Address: "a", Slots: 6, Leaving: leaving}}
	return Digest{
		Sender:    Heartbeat{From: Peer{ID: "p00", Address: "p", DataCentre: "dc", Capacity: 100}, Incarnation: 1, DirectoryVersion: hashDirectory(directory)},
		HostCount: 18, ListOffset: offset, Directory: directory,
	}
}

// A read of the list that was under way when a directory arrived brings an older list. The
// host must not go on with it after the directory is confirmed.
func TestOlderListDoesNotOutliveDirectory(t *testing.T) {
	now := 5 * time.Second
	c := newMember(now)
	c.Apply(now, DigestReceived{Digest: newDirectoryDigest(10, true)})
	now += 10 * time.Millisecond
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "app", Service: plainService, Address: "a", Slots: 6}}, Offset: 9})
	now += 100 * time.Millisecond
	c.Apply(now, DigestReceived{Digest: newDirectoryDigest(10, true)})
	if got, want := c.servers["app"].report.Leaving, true; got != want {
		t.Errorf("got leaving %v, want %v", got, want)
	}
}

// A host whose relays have not read the list for some time reads it itself.
func TestStaleDirectoryIsNotUsedAlone(t *testing.T) {
	now := 5 * time.Second
	c := newMember(now)
	digest := newDirectoryDigest(10, false)
	c.Apply(now, DigestReceived{Digest: digest})
	if c.NeedsServerList(now) {
		t.Error("got NeedsServerList true with a fresh directory, want false")
	}
	now += directoryTimeout
	digest.ListAge = directoryTimeout
	for _, id := range []fuchsiapitch.HostID{"p00", "p01"} {
		digest.Sender.From.ID = id
		c.Apply(now, DigestReceived{Digest: digest})
	}
	if !c.NeedsServerList(now) {
		t.Error("got NeedsServerList false with a list as old as the timeout, want true")
	}
}

// A relay does not send a member the same directory again before the member can have
// answered.
func TestDirectoryIsNotRepeatedAtOnce(t *testing.T) {
	c := newMember(time.Second)
	p := c.peers["p05"]
	c.directoryVersion = 7
	send := func(now time.Duration) bool {
		r := DigestRecipient{NeedsDirectory: true}
		c.limitContents(now, p, &r)
		return r.NeedsDirectory
	}
	for _, step := range []struct {
		at   time.Duration
		want bool
	}{{time.Second, true}, {1100 * time.Millisecond, false}, {time.Second + contentsRepeatInterval, true}} {
		if got := send(step.at); got != step.want {
			t.Errorf("got sent %v at %v, want %v", got, step.at, step.want)
		}
	}
	c.directoryVersion = 8
	if !send(1500 * time.Millisecond) {
		t.Error("got a new directory held back, want it sent")
	}
}

// Guards against a server that joins a second group: its host has become the controller, and takes
// the leader of its open group for one that has left, because a directory, which has no groups,
// has replaced what the list had said of it.
func TestDirectoryKeepsMembershipOfLeaders(t *testing.T) {
	now := 5 * time.Second
	c := newMember(now)
	ref := fuchsiapitch.GroupRef{Name: "g", Epoch: 1}
	leader := fuchsiapitch.ServerReport{
		ID: "leader", Service: "llm", Address: "l", Slots: 6, StartedUnixMillis: 7, FabricDomain: "d", LoadedModels: []string{"m"},
		Membership: fuchsiapitch.Membership{Group: ref, State: fuchsiapitch.MemberOpen},
	}
	member := leader
	member.ID, member.Address, member.Membership.Rank = "member", "m", 1
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{leader, member}, Offset: 9})
	digest := newDirectoryDigest(10, false)
	digest.Directory = []DirectoryEntry{{Server: "leader", Service: "llm", Address: "l", Slots: 6, StartedUnixMillis: 7}}
	digest.Sender.DirectoryVersion = hashDirectory(digest.Directory)
	now += 2 * currentListAge
	c.Apply(now, DigestReceived{Digest: digest})
	// A later list has the member alone: the leader cannot reach the store.
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{member}, Offset: 11})
	if c.mayJoin(c.servers["member"]) {
		t.Error("got a member that may join another group, want it to stay in the group whose leader has not left")
	}
	if got, want := c.servers["leader"].report.Membership.Group, ref; got != want {
		t.Errorf("got group %v of the leader, want %v", got, want)
	}
	if !c.servers["leader"].needsProbe {
		t.Error("got a leader that is off the list and is not probed, want a probe")
	}
	t.Run("later incarnation", func(t *testing.T) {
		digest.Directory = []DirectoryEntry{{Server: "leader", Service: "llm", Address: "l", Slots: 6, StartedUnixMillis: 8}}
		digest.Sender.DirectoryVersion, digest.ListOffset = hashDirectory(digest.Directory), 12
		c.Apply(now+2*currentListAge, DigestReceived{Digest: digest})
		if got := c.servers["leader"].report.Membership.Group.Name; got != "" {
			t.Errorf("got group %q of a server that has started again, want none", got)
		}
	})
}

// Guards against requests to a server that has left: a host that was a relay and is one again, as
// the relays between have ended, announces the directory that it has from them. What it sends must
// be that directory, not the one that it made itself when it was a relay before.
func TestRelaySendsDirectoryThatItAnnounces(t *testing.T) {
	now := 5 * time.Second
	c := newMember(now)
	member := HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "zz", Address: "zz", DataCentre: "dc"}, Incarnation: 1, Sequence: 1}}
	c.Apply(now, member)
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "app", Service: plainService, Address: "a", Slots: 6}}, Offset: 9})
	c.Apply(now, Ticked{})
	if got, want := len(c.directory), 1; got != want {
		t.Fatalf("got %d servers in the directory of a relay, want %d", got, want)
	}
	now += 2 * currentListAge
	c.Apply(now, DigestReceived{Digest: newDirectoryDigest(10, true)})
	now += relayTimeout
	c.Apply(now, member)
	sent := false
	for _, e := range c.Apply(now, Ticked{}) {
		d, ok := e.(SendDigest)
		if !ok || d.Digest.IsDataCentreOnly {
			continue
		}
		sent = true
		if got, want := hashDirectory(d.Directory), d.Digest.Sender.DirectoryVersion; got != want {
			t.Errorf("got a directory of version %x from offset %d, want the announced version %x", got, d.Digest.ListOffset, want)
		}
	}
	if !sent {
		t.Error("got no digest for the member, want one")
	}
}
