package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/runner"
)

// memoryLog is a log without faults.
type memoryLog struct {
	mutex   sync.Mutex
	streams map[fuchsiapitch.StreamName][]fuchsiapitch.Record
}

// Append implements fuchsiapitch.Log.
func (l *memoryLog) Append(_ context.Context, stream fuchsiapitch.StreamName, record fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	offset := fuchsiapitch.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], record.WithOffset(offset))
	return offset, nil
}

// Read implements fuchsiapitch.Log.
func (l *memoryLog) Read(ctx context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, _ int) (fuchsiapitch.Batch, error) {
	for ctx.Err() == nil {
		l.mutex.Lock()
		records := l.streams[stream][min(int(from-1), len(l.streams[stream])):]
		l.mutex.Unlock()
		if len(records) > 0 {
			return fuchsiapitch.NewBatch(records, 1, from+fuchsiapitch.Offset(len(records))), nil
		}
		time.Sleep(time.Millisecond)
	}
	return fuchsiapitch.NewBatch(nil, 1, from), nil
}

// desk answers every call, once it is let go.
type desk struct {
	calls chan fuchsiapitch.Call
	let   chan struct{}
}

// Call implements fuchsiapitch.Caller.
func (d *desk) Call(ctx context.Context, _ fuchsiapitch.BackendServer, call fuchsiapitch.Call) (fuchsiapitch.BackendResponse, error) {
	d.calls <- call
	select {
	case <-d.let:
	case <-ctx.Done():
		return fuchsiapitch.BackendResponse{}, &fuchsiapitch.AttemptError{Request: call.Request(), Outcome: fuchsiapitch.OutcomeUnknown, Err: ctx.Err()}
	}
	header := map[string][]string{"Content-Type": {"text/plain"}}
	return fuchsiapitch.NewBackendResponse(http.StatusCreated, header, &text{data: []byte("booked")}), nil
}

// text is the body of a plain answer.
type text struct{ data []byte }

// Next implements fuchsiapitch.AnswerBody.
func (t *text) Next() (fuchsiapitch.Chunk, error) {
	if t.data == nil {
		return fuchsiapitch.Chunk{}, io.EOF
	}
	chunk := fuchsiapitch.NewChunk(t.data, 0)
	t.data = nil
	return chunk, nil
}

// Close implements io.Closer.
func (t *text) Close() error { return nil }

// callerSink is a caller, which may have gone.
type callerSink struct {
	gone   context.Context
	status int
	body   []byte
}

// Start implements Sink.
func (s *callerSink) Start(status int, _ map[string][]string) error {
	s.status = status
	return s.gone.Err()
}

// Write implements Sink.
func (s *callerSink) Write(chunk fuchsiapitch.Chunk) error {
	s.body = append(s.body, chunk.Data()...)
	return s.gone.Err()
}

func newTestForwarder(t *testing.T) (*Forwarder, *desk) {
	t.Helper()
	self := fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "heredia", 1)
	log := &memoryLog{streams: make(map[fuchsiapitch.StreamName][]fuchsiapitch.Record)}
	r := runner.New(reducer.New(self), runner.Dependencies{Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	service := fuchsiapitch.NewService("mostrador", fuchsiapitch.ApplicationService, "counter")
	rank := fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)
	server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.ApplicationServer, "127.0.0.1:2", "heredia")
	r.Submit(ctx, reducer.FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank}),
		Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("a1", "mostrador", server, 8, "")},
	})
	d := &desk{calls: make(chan fuchsiapitch.Call, 8), let: make(chan struct{})}
	return New(r, d, nil), d
}

func deposit(id fuchsiapitch.RequestID, key string) (fuchsiapitch.Request, fuchsiapitch.Call) {
	request := fuchsiapitch.NewRequest(id, "mostrador", "family", "counter",
		fuchsiapitch.WithTimeLimit(time.Minute), fuchsiapitch.WithIdempotencyKey(key, 1))
	return request, fuchsiapitch.NewCall(id, http.MethodPost, "/deposits", nil)
}

func TestCallerGone(t *testing.T) {
	f, d := newTestForwarder(t)
	caller, leave := context.WithCancel(context.Background())
	request, call := deposit("r1", "k")
	first := make(chan Result, 1)
	go func() { first <- f.Receive(caller, request, call, &callerSink{gone: caller}) }()
	<-d.calls
	leave()
	close(d.let)
	// Nobody is told this result.
	<-first
	request, call = deposit("r2", "k")
	again := &callerSink{gone: context.Background()}
	if got := f.Receive(context.Background(), request, call, again).Outcome; got != fuchsiapitch.OutcomeSucceeded {
		t.Errorf("got outcome %s of the second call, want succeeded", got)
	}
	if again.status != http.StatusCreated || string(again.body) != "booked" {
		t.Errorf("got answer %d %q, want the stored one", again.status, again.body)
	}
	if len(d.calls) != 0 {
		t.Error("got a second call at the application")
	}
}
