package forwarder

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
)

// endlessBody is a response body that never ends.
type endlessBody struct{}

// Next implements fuchsiapitch.ResponseBody.
func (endlessBody) Next() (fuchsiapitch.Chunk, error) {
	time.Sleep(time.Millisecond)
	return fuchsiapitch.NewChunk(make([]byte, 4<<10), 0), nil
}

// Close implements io.Closer.
func (endlessBody) Close() error { return nil }

// Guards against a host that runs out of memory because many replicas answer a request for a
// stream with bytes that are no stream and have no end.
func TestManyEndlessResponsesAreBounded(t *testing.T) {
	const responses, pool = 100, 4 << 20
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		f := &Forwarder{buffers: allocator.New(allocator.WithPool(pool))}
		request, call := newStreamRequest()
		results := make(chan error, responses)
		for range responses {
			go func() {
				h := &requestHandler{forwarder: f, request: request, call: call, sink: new(countingSink)}
				results <- h.copyBuffered(ctx, fuchsiapitch.NewBackendResponse(http.StatusOK, nil, endlessBody{}))
			}()
		}
		time.Sleep(500 * time.Millisecond)
		if got := f.buffers.UsedBytes(); got == 0 || got > pool/2 {
			t.Errorf("got %d bytes in use, want some and no more than %d", got, pool/2)
		}
		for range responses {
			err := <-results
			if _, ok := errors.AsType[*fuchsiapitch.ResponseTooLargeError](err); !ok && !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got error %v, want the deadline or a ResponseTooLargeError", err)
			}
		}
		if got := f.buffers.UsedBytes(); got != 0 {
			t.Errorf("got %d bytes in use after all responses, want none", got)
		}
	})
}
