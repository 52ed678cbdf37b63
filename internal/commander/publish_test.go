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

const examplesFolder = "../../docs/examples/"

func assertContains(t *testing.T, got, want string) {
	t.Helper()
	if !strings.Contains(got, want) {
		t.Errorf("got %q, want it to contain %q", got, want)
	}
}

func TestCheck(t *testing.T) {
	t.Run("the examples are valid", func(t *testing.T) {
		for _, e := range []string{"vidrio-claro", "valle-central"} {
			out, _ := assertExitCode(t, 0, "check", examplesFolder+e)
			assertContains(t, out, "15 documents are valid")
		}
	})
	t.Run("every problem is shown with its position", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "x.yaml")
		if err := os.WriteFile(path, []byte("kind: rank\nname: chat\nodrer: 1\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		_, errorOutput := assertExitCode(t, 2, "check", path)
		assertContains(t, errorOutput, path+":3:1: unknown-key: key odrer")
		assertContains(t, errorOutput, path+":1:1: missing-key: key order")
	})
	t.Run("wrong arguments", func(t *testing.T) {
		assertExitCode(t, 2, "check")
		assertExitCode(t, 2, "publish", "--log", "127.0.0.1:1")
		assertExitCode(t, 2, "publish", "--log", "127.0.0.1:1", "--wait", examplesFolder)
	})
}

func TestPublish(t *testing.T) {
	const dataCentre fuchsiapitch.DataCentreName = "gt-xela"
	fleet, stopFleet, err := standin.Start(standin.WithDataCentres(dataCentre), standin.WithEngines(1, 4))
	if err != nil {
		t.Fatal(err)
	}
	defer stopFleet()
	cluster, stopHosts, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{dataCentre}, launcher.WithHostsPerDataCentre(2))
	if err != nil {
		t.Fatal(err)
	}
	defer stopHosts()
	var operatorURLs []string
	for _, h := range cluster.Hosts() {
		operatorURLs = append(operatorURLs, h.EntryHost().OperatorURL())
	}
	arguments := func(more ...string) []string {
		return append([]string{"publish", "--log", fleet.LogAddress(dataCentre), "--host-list", fleet.HostListAddress(), "--publisher", "ana"}, more...)
	}
	out, _ := assertExitCode(t, 0, arguments("--dry-run", examplesFolder+"vidrio-claro")...)
	assertContains(t, out, "15 documents would change")
	out, _ = assertExitCode(t, 0, arguments("--wait", "--hosts", strings.Join(operatorURLs, ","), examplesFolder+"vidrio-claro")...)
	assertContains(t, out, "is accepted, in force from offset 1")
	assertContains(t, out, "host "+string(cluster.Hosts()[1].EntryHost().Self().ID())+" at "+operatorURLs[1]+": in force, offset 1")
	out, _ = assertExitCode(t, 0, arguments(examplesFolder+"vidrio-claro")...)
	assertContains(t, out, "every document is in force already")
	_, errorOutput := assertExitCode(t, 2, arguments(examplesFolder+"valle-central")...)
	assertContains(t, errorOutput, "the floors of all ranks add up to")
	if _, ok := cluster.Hosts()[0].EntryHost().Runner().Configuration().Service("taller-app"); !ok {
		t.Error("service taller-app is not in force")
	}
	if got := cluster.Violations(); got != 0 {
		t.Errorf("got %d invariant violations, want 0", got)
	}
}
