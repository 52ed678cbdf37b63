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

// inMemoryLog is a log that never fails.
type inMemoryLog struct {
	mutex   sync.Mutex
	streams map[fuchsiapitch.StreamName][]fuchsiapitch.Record
}

// Append implements fuchsiapitch.Log.
func (l *inMemoryLog) Append(_ context.Context, stream fuchsiapitch.StreamName, record fuchsiapitch.Record) (fuchsiapitch.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	offset := fuchsiapitch.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], record.WithOffset(offset))
	return offset, nil
}

// Read implements fuchsiapitch.Log.
func (l *inMemoryLog) Read(ctx context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset, _ int) (fuchsiapitch.Batch, error) {
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

// blockingClient responds to all calls once release is closed.
type blockingClient struct {
	calls   chan fuchsiapitch.Call
	release chan struct{}
}

// Call implements fuchsiapitch.BackendClient.
func (c *blockingClient) Call(ctx context.Context, _ fuchsiapitch.BackendServer, call fuchsiapitch.Call) (fuchsiapitch.BackendResponse, error) {
	c.calls <- call
	select {
	case <-c.release:
	case <-ctx.Done():
		return fuchsiapitch.BackendResponse{}, &fuchsiapitch.AttemptError{Request: call.Request(), Outcome: fuchsiapitch.OutcomeUnknown, Err: ctx.Err()}
	}
	header := map[string][]string{"Content-Type": {"text/plain"}}
	return fuchsiapitch.NewBackendResponse(http.StatusCreated, header, &textBody{data: []byte("booked")}), nil
}

// textBody is a response body of one chunk.
type textBody struct{ data []byte }

// Next returns the text once and then io.EOF.
func (t *textBody) Next() (fuchsiapitch.Chunk, error) {
	if t.data == nil {
		return fuchsiapitch.Chunk{}, io.EOF
	}
	chunk := fuchsiapitch.NewChunk(t.data, 0)
	t.data = nil
	return chunk, nil
}

// Close implements io.Closer.
func (t *textBody) Close() error { return nil }

// clientSink records a response and fails once the client's context has ended.
type clientSink struct {
	clientContext context.Context
	status        int
	body          []byte
}

// Start implements Sink.
func (s *clientSink) Start(status int, _ map[string][]string) error {
	s.status = status
	return s.clientContext.Err()
}

// Write implements Sink.
func (s *clientSink) Write(chunk fuchsiapitch.Chunk) error {
	s.body = append(s.body, chunk.Data()...)
	return s.clientContext.Err()
}

func newTestForwarder(t *testing.T) (*Forwarder, *blockingClient) {
	t.Helper()
	client := &blockingClient{calls: make(chan fuchsiapitch.Call, 8), release: make(chan struct{})}
	return newForwarderOf(t, client, "127.0.0.1:2"), client
}

// newForwarderOf returns a forwarder with one replica, at an address.
func newForwarderOf(t *testing.T, client fuchsiapitch.BackendClient, address string, options ...Option) *Forwarder {
	t.Helper()
	localHost := fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "heredia", 1)
	log := &inMemoryLog{streams: make(map[fuchsiapitch.StreamName][]fuchsiapitch.Record)}
	r := runner.New(reducer.New(localHost), runner.Dependencies{Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- r.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-serveEnded
	})
	service := fuchsiapitch.NewService("mostrador", fuchsiapitch.ApplicationService, "counter")
	rank := fuchsiapitch.NewRank("counter", 0, time.Second, time.Second, 1, 0)
	server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.ApplicationServer, address, "heredia")
	r.Submit(ctx, reducer.FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank}),
		Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("a1", "mostrador", server, 8, "")},
	})
	return New(r, client, nil, options...)
}

func newKeyedRequest(id fuchsiapitch.RequestID, key string) (fuchsiapitch.Request, fuchsiapitch.Call) {
	request := fuchsiapitch.NewRequest(id, "mostrador", "family", "counter",
		fuchsiapitch.WithTimeLimit(time.Minute), fuchsiapitch.WithIdempotencyKey(key, 1))
	return request, fuchsiapitch.NewCall(id, http.MethodPost, "/deposits", nil)
}

// TestCallerGone guards against a lost response: a request with an idempotency key
// completes after its client has disconnected, and a retry with the same key gets
// the stored response without a second call.
func TestCallerGone(t *testing.T) {
	f, client := newTestForwarder(t)
	clientCtx, disconnect := context.WithCancel(context.Background())
	request, call := newKeyedRequest("r1", "k")
	firstResult := make(chan Result, 1)
	go func() { firstResult <- f.Receive(clientCtx, request, call, &clientSink{clientContext: clientCtx}) }()
	<-client.calls
	disconnect()
	close(client.release)
	// The client has disconnected, so the result is not checked.
	<-firstResult
	request, call = newKeyedRequest("r2", "k")
	retrySink := &clientSink{clientContext: context.Background()}
	if got := f.Receive(context.Background(), request, call, retrySink).Outcome; got != fuchsiapitch.OutcomeSucceeded {
		t.Errorf("got outcome %s of the second call, want succeeded", got)
	}
	if retrySink.status != http.StatusCreated || string(retrySink.body) != "booked" {
		t.Errorf("got response %d %q, want the stored one", retrySink.status, retrySink.body)
	}
	if len(client.calls) != 0 {
		t.Error("got a second call to the application")
	}
}

// Guards against requests without a result after an abort: one at a server that does not
// respond, and one that arrives later.
func TestAbort(t *testing.T) {
	f, client := newTestForwarder(t)
	results := make(chan Result)
	receive := func(id fuchsiapitch.RequestID) {
		request := fuchsiapitch.NewRequest(id, "mostrador", "family", "counter", fuchsiapitch.WithTimeLimit(time.Minute))
		results <- f.Receive(t.Context(), request, fuchsiapitch.NewCall(id, http.MethodPost, "/deposits", nil), &clientSink{clientContext: t.Context()})
	}
	go receive("r1")
	<-client.calls
	f.Abort()
	if got, want := (<-results).Outcome, fuchsiapitch.OutcomeUnknown; got != want {
		t.Errorf("got outcome %s of the request in flight, want %s", got, want)
	}
	go receive("r2")
	if got, want := <-results, abortedResult; got != want {
		t.Errorf("got result %+v of the later request, want %+v", got, want)
	}
}
