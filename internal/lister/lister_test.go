package lister

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/hostlist"
)

func assertNoError(t *testing.T, err error, action string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", action, err)
	}
}

func assertEqual[T comparable](t *testing.T, got, want T, subject string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", subject, got, want)
	}
}

// The client decodes all fields, keeps a list that the platform reports as unchanged,
// and replaces it by a changed list. An unreachable list is reported as unavailable.
func TestBackendServers(t *testing.T) {
	hostList := hostlist.New(0)
	server, stopServer, err := hostList.Listen()
	assertNoError(t, err, "listen")
	t.Cleanup(stopServer)
	client, closeConnections := New(server.Address())
	t.Cleanup(closeConnections)
	engine := fuchsiapitch.NewBackendServer("e1", fuchsiapitch.EngineServer, "127.0.0.1:1", "dc-a",
		fuchsiapitch.WithFabricDomain("f1"))
	application := fuchsiapitch.NewBackendServer("a1", fuchsiapitch.ApplicationServer, "127.0.0.1:2", "dc-a",
		fuchsiapitch.WithApplicationService("taller-app"), fuchsiapitch.WithServerLeaving())
	hostList.Put(engine)
	hostList.Put(application)

	t.Run("entries have all fields", func(t *testing.T) {
		got, err := client.BackendServers(t.Context())
		assertNoError(t, err, "read")
		assertEqual(t, len(got), 2, "servers")
		assertEqual(t, got[0], application, "application server")
		assertEqual(t, got[1], engine, "engine")
	})
	t.Run("an unchanged list is kept", func(t *testing.T) {
		got, err := client.BackendServers(t.Context())
		assertNoError(t, err, "read")
		assertEqual(t, len(got), 2, "servers")
	})
	t.Run("a removed server is no longer listed", func(t *testing.T) {
		hostList.Remove("a1")
		got, err := client.BackendServers(t.Context())
		assertNoError(t, err, "read")
		assertEqual(t, len(got), 1, "servers")
	})
	t.Run("an unreachable list is reported as unavailable", func(t *testing.T) {
		server.Kill()
		_, err := client.BackendServers(t.Context())
		var unavailable *fuchsiapitch.UnavailableError
		assertEqual(t, errors.As(err, &unavailable), true, "UnavailableError")
	})
}

// Arbitrary input must either be rejected or yield servers with an identifier and a
// valid address.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`[{"id":"e1","kind":"engine","address":"127.0.0.1:1","data-centre":"a","leaving":true}]`,
		`[{"id":"e1","kind":"unknown"}]`, `[{"id":"","kind":"engine","address":"127.0.0.1:1"}]`,
		`[{"id":"e1","kind":"engine","address":"example"}]`, `null`, `{}`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		servers, err := decodeServers(data)
		if err != nil {
			return
		}
		for _, b := range servers {
			if _, err := netip.ParseAddrPort(b.Address()); err != nil || b.ID() == "" {
				t.Fatalf("server: got id %q and address %q, want both valid", b.ID(), b.Address())
			}
		}
	})
}
