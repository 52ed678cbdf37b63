package coordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// listedServers returns the servers that are on the list, sorted.
func listedServers(c *Coordinator) []fuchsiapitch.ServerID {
	var ids []fuchsiapitch.ServerID
	for id, s := range c.servers {
		if s.listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func assertListed(t *testing.T, c *Coordinator, want ...fuchsiapitch.ServerID) {
	t.Helper()
	if got := listedServers(c); !slices.Equal(got, want) {
		t.Errorf("got servers %v on the list, want %v", got, want)
	}
}

func plainEntries(ids ...fuchsiapitch.ServerID) []fuchsiapitch.ServerReport {
	var list []fuchsiapitch.ServerReport
	for _, id := range ids {
		list = append(list, plainEntry(id, 1))
	}
	return list
}

// Guards against a host that the store refuses and that goes on with servers that are gone, or goes back to
// them while it reads what it has missed.
func TestListOfAnotherHost(t *testing.T) {
	const now = 10 * time.Second
	// newRefused returns a host that has read a list, cannot read it again and hears a later one.
	newRefused := func() *Coordinator {
		c := newNoticeCoordinator(now)
		c.Apply(now, ServersListed{Servers: plainEntries("a0", "a1"), Offset: 5})
		c.Apply(now, StoreReadFailed{})
		c.Apply(now, ServersHeard{Servers: plainEntries("a1", "a2"), Offset: 9})
		return c
	}
	t.Run("later", func(t *testing.T) {
		c := newRefused()
		assertListed(t, c, "a1", "a2")
		if !c.listStale {
			t.Error("got the own list as current, want it stale")
		}
	})
	t.Run("as late as the known one", func(t *testing.T) {
		c := newRefused()
		c.Apply(now, ServersHeard{Servers: plainEntries("a0"), Offset: 9})
		assertListed(t, c, "a1", "a2")
	})
	t.Run("earlier than the own one", func(t *testing.T) {
		c := newRefused()
		c.Apply(now, ServersListed{Servers: plainEntries("a3"), Offset: 12})
		c.Apply(now, ServersHeard{Servers: plainEntries("a1", "a2"), Offset: 11})
		assertListed(t, c, "a3")
	})
	t.Run("own reads that catch up", func(t *testing.T) {
		c := newRefused()
		c.Apply(now+time.Second, ServersListed{Servers: plainEntries("a0", "a1"), Offset: 7})
		assertListed(t, c, "a1", "a2")
		if c.listStale {
			t.Error("got the own list as stale, want it current")
		}
		c.Apply(now+time.Second, ServersListed{Servers: plainEntries("a2"), Offset: 10})
		assertListed(t, c, "a2")
	})
	t.Run("own reads that stay behind", func(t *testing.T) {
		c := newRefused()
		c.Apply(now+listLag, ServersListed{Servers: plainEntries("a0"), Offset: 7})
		assertListed(t, c, "a0")
	})
}

// Guards against members that the store refuses and that know no new server, because it refuses their
// relays as well.
func TestRelayThatStoreRefusesSendsDirectoryOfHeardList(t *testing.T) {
	const now = 10 * time.Second
	c := New(Peer{ID: "a", DataCentre: "dc", Capacity: 100}, 1, WithDataCentre("dc"))
	c.Apply(0, ConfigurationChanged{Routes: newPlainRoutes(1, plainService)})
	c.Apply(now, ServersListed{Servers: plainEntries("a0"), Offset: 5})
	c.makeDirectory(now)
	earlier := c.directoryVersion
	later := now + currentListAge + time.Second
	c.Apply(later, StoreReadFailed{})
	c.makeDirectory(later)
	if c.directoryVersion != earlier {
		t.Error("got another directory from an old list, want the same")
	}
	c.Apply(later, ServersHeard{Servers: plainEntries("a1"), Offset: 9})
	c.makeDirectory(later)
	if len(c.directory) != 1 || c.directory[0].Server != "a1" || c.directoryOffset != 9 {
		t.Errorf("got directory %v up to %d, want that of the heard list", c.directory, c.directoryOffset)
	}
	if got := later - c.directoryConfirmedAt; got < directoryTimeout {
		t.Errorf("got a directory that is %s old, want one that members who can read the list do not rely on", got)
	}
	c.Apply(later+time.Second, ServersListed{Servers: plainEntries("a2"), Offset: 12})
	c.makeDirectory(later + time.Second)
	if c.directory[0].Server != "a2" || c.directoryOffset != 12 || c.directoryConfirmedAt != later+time.Second {
		t.Errorf("got directory %v up to %d of %s, want that of the own list", c.directory, c.directoryOffset, c.directoryConfirmedAt)
	}
}
