package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
)

// recordingAdmitter is an Admitter that records what it is asked for and refuses it.
type recordingAdmitter struct{ arrivals []coordinator.RequestArrived }

func (r *recordingAdmitter) Acquire(_ context.Context, e coordinator.RequestArrived) (*driver.Slot, error) {
	r.arrivals = append(r.arrivals, e)
	return nil, &driver.AdmissionError{Reason: coordinator.Overloaded}
}

func (*recordingAdmitter) SinceStart(time.Time) time.Duration { return 0 }

// newTableOf returns a configuration with one route to a model service.
func newTableOf(version int64, bodyBytes int64, services ...fuchsiapitch.ServiceProfile) *fuchsiapitch.RouteTable {
	return fuchsiapitch.NewRouteTable(version, []fuchsiapitch.HostRoute{{
		Name: "desk", Host: "host.example", Prefix: "/", Services: []fuchsiapitch.WeightedService{{Service: "desk", Weight: 1}},
		Kind: fuchsiapitch.IdempotentRoute, AttemptLimit: 1, Timeout: time.Second, LatencyTarget: time.Second,
	}}, services, nil, false, fuchsiapitch.ClientLimits{BodyBytes: bodyBytes})
}

// Guards against a request that is handled by two configurations: it was matched by one,
// and refused with 413 or "no replica" by the next.
func TestRequestKeepsItsConfiguration(t *testing.T) {
	admitter := &recordingAdmitter{}
	r := New(admitter, nil, fakeHeaderCodec{})
	r.Configure(newTableOf(1, 100, fuchsiapitch.ServiceProfile{Name: "desk", Engine: &fuchsiapitch.EngineProfile{}}))
	request := httptest.NewRequest(http.MethodPost, "/a", strings.NewReader(strings.Repeat("x", 60)))
	request.Host = "host.example"
	request.Header.Set("Model", "large")
	writer := httptest.NewRecorder()
	x := &exchange{relayer: r, writer: writer, request: request, receivedAt: time.Now(), metadata: r.codec.ParseRequest(request.Header), ctx: t.Context()}
	if !x.matchRoute() {
		t.Fatalf("got status %d, want the route", writer.Code)
	}
	r.Configure(newTableOf(2, 50))
	if !x.readBody() {
		t.Errorf("got status %d for a body that the configuration of the request allows, want the body", writer.Code)
	}
	if _, err := x.acquireSlot(false); err == nil {
		t.Fatal("got a slot, want the refusal of the admitter")
	}
	if got, want := admitter.arrivals[0].Model, "large"; got != want {
		t.Errorf("got a slot requested for model %q, want %q", got, want)
	}
}
