package commander

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
)

const examples = "../../docs/examples/"

func assertContains(t *testing.T, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Errorf("got %q, want it to contain %q", got, want)
	}
}

func TestCheck(t *testing.T) {
	t.Run("the examples are sound", func(t *testing.T) {
		for _, e := range []string{"vidrio-claro", "valle-central"} {
			out, _ := assertRun(t, 0, "check", examples+e)
			assertContains(t, out, "15 documents are sound")
		}
	})
	t.Run("every problem is shown with its place", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "x.yaml")
		if err := os.WriteFile(path, []byte("kind: rank\nname: chat\nodrer: 1\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		_, errors := assertRun(t, 2, "check", path)
		assertContains(t, errors, path+":3:1: unknown-key: key odrer")
		assertContains(t, errors, path+":1:1: missing-key: key order")
	})
	t.Run("wrong arguments", func(t *testing.T) {
		assertRun(t, 2, "check")
		assertRun(t, 2, "publish", "--log", "127.0.0.1:1")
		assertRun(t, 2, "publish", "--log", "127.0.0.1:1", "--wait", examples)
	})
}

func TestPublish(t *testing.T) {
	const centre fuchsiapitch.DataCentreName = "gt-xela"
	fleet, stopFleet, err := standin.Start(standin.WithDataCentres(centre), standin.WithEngines(1, 4))
	if err != nil {
		t.Fatal(err)
	}
	defer stopFleet()
	deployment, stopHosts, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{centre}, launcher.WithHosts(2))
	if err != nil {
		t.Fatal(err)
	}
	defer stopHosts()
	var hosts []string
	for _, r := range deployment.Hosts() {
		hosts = append(hosts, r.Entry().OperatorURL())
	}
	arguments := func(more ...string) []string {
		return append([]string{"publish", "--log", fleet.LogAddress(centre), "--host-list", fleet.HostListAddress(), "--publisher", "ana"}, more...)
	}
	out, _ := assertRun(t, 0, arguments("--dry-run", examples+"vidrio-claro")...)
	assertContains(t, out, "15 documents would change")
	out, _ = assertRun(t, 0, arguments("--wait", "--hosts", strings.Join(hosts, ","), examples+"vidrio-claro")...)
	assertContains(t, out, "is accepted, in force from offset 1")
	assertContains(t, out, "host "+string(deployment.Hosts()[1].Entry().Self().ID())+" at "+hosts[1]+": in force, offset 1")
	out, _ = assertRun(t, 0, arguments(examples+"vidrio-claro")...)
	assertContains(t, out, "every document is in force already")
	_, errors := assertRun(t, 2, arguments(examples+"valle-central")...)
	assertContains(t, errors, "the floors of all ranks add up to")
	if _, ok := deployment.Hosts()[0].Entry().Runner().Configuration().Service("taller-app"); !ok {
		t.Error("got no service taller-app in force, want it")
	}
	if got := deployment.Violations(); got != 0 {
		t.Errorf("got %d violations, want 0", got)
	}
}
