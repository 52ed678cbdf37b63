package evacuator

import (
	"slices"
	"strconv"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func request(name string, offset int64) News {
	return News{DataCentre: fuchsiapitch.DataCentreName(name), Evacuated: true, Version: Version{Offset: offset}}
}

func withdrawal(name string, offset int64) News {
	n := request(name, offset)
	n.Evacuated = false
	return n
}

// Guards against an evacuation that is missed, ends early or never ends, in whatever way a
// host learns of it.
func TestEvacuations(t *testing.T) {
	for name, c := range map[string]struct {
		steps func(e *Evacuator)
		want  []string
	}{
		"history":                            {func(e *Evacuator) { e.ReadHistory([]News{request("a", 3)}, Version{Offset: 3}) }, []string{"a"}},
		"two":                                {func(e *Evacuator) { e.ReadHistory([]News{request("a", 3), request("b", 4)}, Version{Offset: 4}) }, []string{"a", "b"}},
		"absent from history":                {func(e *Evacuator) { e.Hear([]News{request("a", 3)}); e.ReadHistory(nil, Version{Offset: 9}) }, []string{"a"}},
		"taken back in history":              {func(e *Evacuator) { e.ReadHistory([]News{request("a", 3), withdrawal("a", 4)}, Version{Offset: 4}) }, nil},
		"absent from a snapshot":             {func(e *Evacuator) { e.Hear([]News{request("a", 3)}); e.ReadSnapshot(nil, Version{Offset: 9}) }, nil},
		"absent from an earlier snapshot":    {func(e *Evacuator) { e.Hear([]News{request("a", 9)}); e.ReadSnapshot(nil, Version{Offset: 3}) }, []string{"a"}},
		"kept in a snapshot":                 {func(e *Evacuator) { e.ReadSnapshot([]News{request("a", 3)}, Version{Offset: 9}) }, []string{"a"}},
		"news in the wrong order":            {func(e *Evacuator) { e.Hear([]News{withdrawal("a", 4)}); e.Hear([]News{request("a", 3)}) }, nil},
		"requested again":                    {func(e *Evacuator) { e.Hear([]News{withdrawal("a", 4)}); e.Hear([]News{request("a", 5)}) }, []string{"a"}},
		"stale news after a snapshot":        {func(e *Evacuator) { e.ReadSnapshot(nil, Version{Offset: 9}); e.Hear([]News{request("a", 3)}) }, nil},
		"later news than the snapshot":       {func(e *Evacuator) { e.ReadSnapshot(nil, Version{Offset: 9}); e.Hear([]News{request("a", 10)}) }, []string{"a"}},
		"lost by a store that has gone back": {func(e *Evacuator) { e.Hear([]News{request("a", 9)}); e.ReadSnapshot(nil, Version{Era: 1, Offset: 20}) }, []string{"a"}},
		"retained while the store goes back, and released": {func(e *Evacuator) {
			e.ReadSnapshot([]News{request("a", 9)}, Version{Offset: 9})
			e.ReadSnapshot([]News{{DataCentre: "a", Evacuated: true, Version: Version{Era: 1, Offset: 9}}}, Version{Era: 1, Offset: 5})
			e.ReadHistory([]News{{DataCentre: "a", Version: Version{Era: 1}}}, Version{Era: 1, Offset: 5})
		}, nil},
		"retained, released and requested again": {func(e *Evacuator) {
			e.ReadSnapshot([]News{{DataCentre: "a", Evacuated: true, Version: Version{Era: 1, Offset: 9}}}, Version{Era: 1, Offset: 5})
			e.ReadHistory([]News{{DataCentre: "a", Version: Version{Era: 1}}}, Version{Era: 1, Offset: 5})
			e.ReadHistory([]News{{DataCentre: "a", Evacuated: true, Version: Version{Era: 1, Offset: 6}}}, Version{Era: 1, Offset: 6})
		}, []string{"a"}},
		"retained, and taken back at an earlier offset": {func(e *Evacuator) {
			e.ReadSnapshot([]News{{DataCentre: "a", Evacuated: true, Version: Version{Era: 1, Offset: 9}}}, Version{Era: 1, Offset: 5})
			e.ReadHistory([]News{{DataCentre: "a", Version: Version{Era: 1, Offset: 6}}}, Version{Era: 1, Offset: 6})
		}, nil},
		"heard from a host of the earlier era": {func(e *Evacuator) {
			e.ReadSnapshot(nil, Version{Era: 1, Offset: 20})
			e.Hear([]News{request("a", 9)})
		}, []string{"a"}},
		"taken back in the next era": {func(e *Evacuator) {
			e.Hear([]News{request("a", 9)})
			e.ReadHistory([]News{{DataCentre: "a", Version: Version{Era: 1, Offset: 5}}}, Version{Era: 1, Offset: 5})
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			e := New()
			c.steps(e)
			var got []string
			for _, name := range []fuchsiapitch.DataCentreName{"a", "b"} {
				if e.IsEvacuated(name) {
					got = append(got, string(name))
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v evacuated, want %v", got, c.want)
			}
		})
	}
}

// Guards against messages that grow with every data centre that was ever evacuated.
func TestAnnouncementIsBounded(t *testing.T) {
	e := New()
	for n := range 1000 {
		e.Hear([]News{withdrawal(strconv.Itoa(n), int64(n))})
	}
	e.Hear([]News{request("a", 1)})
	news := e.News()
	if got, want := len(news), maxAnnounced; got != want {
		t.Errorf("got %d data centres announced, want %d", got, want)
	}
	if !slices.Contains(news, request("a", 1)) {
		t.Errorf("got %v announced, want the evacuated data centre among them", news)
	}
}
