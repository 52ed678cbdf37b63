package grouper

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func newModelService(name fuchsiapitch.ServiceName, replicas, size int, options ...fuchsiapitch.ServiceOption) fuchsiapitch.Service {
	options = append(options, fuchsiapitch.WithModel("m", "1"), fuchsiapitch.WithReplicas(replicas, size))
	return fuchsiapitch.NewService(name, fuchsiapitch.ModelService, "counter", options...)
}

func newSpares(domain fuchsiapitch.FabricDomainName, count int) []Spare {
	var list []Spare
	for n := range count {
		list = append(list, Spare{ID: fuchsiapitch.ServerID(fmt.Sprintf("%s-%d", domain, n)), Domain: domain})
	}
	return list
}

func placeGroups(demands []Demand, spares []Spare) []Change {
	n := 0
	return PlaceGroups(demands, spares, func() fuchsiapitch.GroupID {
		n++
		return fuchsiapitch.GroupID(fmt.Sprintf("new-%d", n))
	})
}

func assertServices(t *testing.T, changes []Change, want map[fuchsiapitch.ServiceName]int) {
	t.Helper()
	got := make(map[fuchsiapitch.ServiceName]int)
	for _, c := range changes {
		if c.Kind == Assign {
			got[c.Group.Service]++
		}
	}
	assertEqual(t, got, want, "groups of each service")
}

func TestPlaceGroups(t *testing.T) {
	t.Run("every domain is used up to a remainder", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			size := rapid.IntRange(1, 4).Draw(t, "size")
			var spares []Spare
			want := 0
			for d := range rapid.IntRange(1, 4).Draw(t, "domains") {
				count := rapid.IntRange(0, 9).Draw(t, "servers")
				spares = append(spares, newSpares(fuchsiapitch.FabricDomainName(fmt.Sprintf("d%d", d)), count)...)
				want += count / size
			}
			got := placeGroups([]Demand{{Service: newModelService("a", 100, size), Version: "1"}}, spares)
			if len(got) != want {
				t.Fatalf("got %d groups, want %d", len(got), want)
			}
		})
	})
	t.Run("a broken group keeps the member indices of its survivors", func(t *testing.T) {
		broken := Group{ID: "g", Service: "a", Members: []fuchsiapitch.ServerID{"d-0", "lost", "d-1"}}
		got := placeGroups([]Demand{{Service: newModelService("a", 1, 3), BrokenGroups: []Group{broken}, Version: "1"}}, newSpares("d", 4))
		assertEqual(t, got[0].Group.ID, "g", "group")
		assertEqual(t, got[0].Group.Members, []fuchsiapitch.ServerID{"d-0", "d-2", "d-1"}, "members")
	})
	t.Run("a group that loses a survivor to another is disbanded first", func(t *testing.T) {
		broken := []Group{
			{ID: "g", Service: "a", Members: []fuchsiapitch.ServerID{"d-0", "lost-1"}},
			{ID: "h", Service: "a", Members: []fuchsiapitch.ServerID{"d-1", "lost-2"}},
		}
		got := placeGroups([]Demand{{Service: newModelService("a", 2, 2), BrokenGroups: broken, Version: "1"}}, newSpares("d", 2))
		assertEqual(t, len(got), 2, "changes")
		assertEqual(t, got[0], Change{Kind: Disband, Group: Group{ID: "h"}}, "first change")
	})
	t.Run("placement weights divide scarce servers among services", func(t *testing.T) {
		demands := []Demand{
			{Service: newModelService("cheap", 9, 2), Version: "1"},
			{Service: newModelService("dear", 9, 2, fuchsiapitch.WithPlacementWeight(3)), Version: "1"},
		}
		assertServices(t, placeGroups(demands, newSpares("d", 8)), map[fuchsiapitch.ServiceName]int{"dear": 3, "cheap": 1})
	})
	t.Run("a group spans domains only where its service allows it", func(t *testing.T) {
		spares := append(newSpares("d", 1), newSpares("e", 1)...)
		assertServices(t, placeGroups([]Demand{{Service: newModelService("a", 1, 2), Version: "1"}}, spares), map[fuchsiapitch.ServiceName]int{})
		across := []Demand{{Service: newModelService("a", 1, 2, fuchsiapitch.WithCrossDomain()), Version: "1"}}
		assertServices(t, placeGroups(across, spares), map[fuchsiapitch.ServiceName]int{"a": 1})
	})
	t.Run("a server gets the member index whose weights it has loaded", func(t *testing.T) {
		spares := newSpares("d", 2)
		spares[0].Model, spares[0].Version, spares[0].MemberIndex, spares[0].LoadedGroupSize = "m", "1", 1, 2
		got := placeGroups([]Demand{{Service: newModelService("a", 1, 2), Version: "1"}}, spares)
		assertEqual(t, got[0].Group.Members, []fuchsiapitch.ServerID{"d-1", "d-0"}, "members")
	})
	t.Run("servers with the model loaded come first", func(t *testing.T) {
		spares := newSpares("d", 3)
		spares[2].Model, spares[2].Version = "m", "1"
		got := placeGroups([]Demand{{Service: newModelService("a", 1, 1), Version: "1"}}, spares)
		assertEqual(t, got[0].Group.Members, []fuchsiapitch.ServerID{"d-2"}, "members")
	})
}
