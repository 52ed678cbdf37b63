package adopter

import (
	"slices"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func sizeOf(model string) int { return map[string]int{"large": 3, "small": 2}[model] }

func newReport(server fuchsiapitch.ServerID, epoch int64, rank int, state fuchsiapitch.MemberState, model string) Report {
	ref := fuchsiapitch.GroupRef{Name: "g", Epoch: epoch}
	return Report{Server: server, Model: model, Membership: fuchsiapitch.Membership{Group: ref, Rank: rank, State: state}}
}

// Load: a controller starts while a quarter of the servers cannot reach the store, so that nearly
// every formation lacks a member on the list.
func TestAdopt(t *testing.T) {
	const open, ready, joining = fuchsiapitch.MemberOpen, fuchsiapitch.MemberReady, fuchsiapitch.MemberJoining
	for name, c := range map[string]struct {
		reports []Report
		members []fuchsiapitch.ServerID
		kept    bool
	}{
		"whole and open":            {[]Report{newReport("c", 1, 2, ready, "large"), newReport("a", 1, 0, open, "large"), newReport("b", 1, 1, ready, "large")}, []fuchsiapitch.ServerID{"a", "b", "c"}, true},
		"whole and not open":        {[]Report{newReport("a", 1, 0, joining, "small"), newReport("b", 1, 1, ready, "small")}, []fuchsiapitch.ServerID{"a", "b"}, true},
		"open, a member unknown":    {[]Report{newReport("a", 1, 0, open, "large"), newReport("c", 1, 2, ready, "large")}, []fuchsiapitch.ServerID{"a", "", "c"}, true},
		"open, the last unknown":    {[]Report{newReport("a", 1, 0, open, "large"), newReport("b", 1, 1, ready, "large")}, []fuchsiapitch.ServerID{"a", "b", ""}, true},
		"open, the leader alone":    {[]Report{newReport("a", 1, 0, open, "large")}, []fuchsiapitch.ServerID{"a", "", ""}, true},
		"closing, a member unknown": {[]Report{newReport("a", 1, 0, fuchsiapitch.MemberClosing, "small")}, []fuchsiapitch.ServerID{"a", ""}, false},
		"ready, a member unknown":   {[]Report{newReport("a", 1, 0, ready, "small")}, []fuchsiapitch.ServerID{"a", ""}, false},
		"the leader unknown":        {[]Report{newReport("b", 1, 1, ready, "small")}, []fuchsiapitch.ServerID{"", "b"}, false},
		"more ranks than its size":  {[]Report{newReport("a", 1, 0, open, "small"), newReport("c", 1, 2, ready, "small")}, []fuchsiapitch.ServerID{"a", "", "c"}, false},
		"a model that is gone":      {[]Report{newReport("a", 1, 0, open, "former")}, []fuchsiapitch.ServerID{"a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			formations := Adopt(c.reports, sizeOf)
			if got, want := len(formations), 1; got != want {
				t.Fatalf("got %d formations, want %d", got, want)
			}
			if got, want := formations[0].Members, c.members; !slices.Equal(got, want) {
				t.Errorf("got members %q, want %q", got, want)
			}
			if got, want := formations[0].MayServe(true), c.kept; got != want {
				t.Errorf("got kept %v, want %v", got, want)
			}
			if got, want := formations[0].MayServe(false), c.kept && !slices.Contains(c.members, ""); got != want {
				t.Errorf("got kept %v though its members are elsewhere, want %v", got, want)
			}
		})
	}
	t.Run("formations in the order of their epochs", func(t *testing.T) {
		formations := Adopt([]Report{newReport("a", 2, 0, open, "small"), newReport("b", 1, 0, open, "small"), newReport("c", 2, 1, ready, "small")}, sizeOf)
		if got, want := len(formations), 2; got != want {
			t.Fatalf("got %d formations, want %d", got, want)
		}
		if got, want := formations[0].Members[0], fuchsiapitch.ServerID("b"); got != want {
			t.Errorf("got leader %q first, want %q", got, want)
		}
	})
	t.Run("no formation without a group or a model", func(t *testing.T) {
		if got, want := len(Adopt([]Report{{Server: "a", Model: "small"}, newReport("b", 1, 0, joining, "")}, sizeOf)), 0; got != want {
			t.Errorf("got %d formations, want %d", got, want)
		}
	})
}
