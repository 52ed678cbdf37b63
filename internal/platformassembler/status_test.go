package platformassembler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// Guards against operators who cannot see why a server gets no requests.
func TestStatusShowsNotices(t *testing.T) {
	for want, v := range map[string]coordinator.ServerView{
		`{"id":"s","service":"app","condition":"leaving","says-leaving":true}`: {ID: "s", Service: "app", Condition: "leaving", SaysLeaving: true},
		`{"id":"s","service":"app","condition":"usable","paused-ms":1500}`:     {ID: "s", Service: "app", Condition: "usable", PausedFor: 1500 * time.Millisecond},
		`{"id":"s","service":"app","condition":"usable"}`:                      {ID: "s", Service: "app", Condition: "usable"},
	} {
		got, err := json.Marshal(newServerStatus(v))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
