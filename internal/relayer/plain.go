package relayer

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

// maxNotRunAttempts is the number of attempts beyond the limit of the route that may
// end without a run: before any byte of the request is sent, or with a refusal.
const maxNotRunAttempts = 3

// serveBuffered serves a request whose response is read completely before it is
// forwarded. An idempotent request is retried at another server after any failure,
// other requests only if the server did not run them. A 5xx response to an idempotent
// request is forwarded only if no attempt succeeds.
func (x *exchange) serveBuffered() {
	var lastErr error
	var serverErrorResponse *bufferedResponse
	for x.hasAttemptLeft() {
		buffered, outcome, err := x.attemptBuffered()
		if err == nil {
			defer buffered.release()
			if buffered.status < http.StatusInternalServerError || x.route.Kind != fuchsiapitch.IdempotentRoute {
				x.deliver(buffered)
				return
			}
			serverErrorResponse = buffered
			continue
		}
		lastErr = err
		x.logIfTooLarge(err)
		if outcome != fuchsiapitch.OutcomeNotRun && x.route.Kind != fuchsiapitch.IdempotentRoute {
			break
		}
		if x.ctx.Err() != nil || isFinalRefusal(err) {
			break
		}
	}
	if serverErrorResponse != nil && x.request.Context().Err() == nil {
		x.deliver(serverErrorResponse)
		return
	}
	x.fail(lastErr)
}

// bufferedResponse is the complete response of a server. Its body may be used until release is
// called.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    [][]byte
	release func()
}

// length returns the size of the body in bytes.
func (b *bufferedResponse) length() int {
	n := 0
	for _, block := range b.body {
		n += len(block)
	}
	return n
}

// attemptBuffered sends the request to one server and reads the complete response.
func (x *exchange) attemptBuffered() (*bufferedResponse, fuchsiapitch.Outcome, error) {
	slot, err := x.acquireSlot(false)
	if err != nil {
		return nil, fuchsiapitch.OutcomeNotRun, err
	}
	response, outcome, err := x.send(x.ctx, slot, "")
	if err != nil {
		x.releaseFailed(slot, response, outcome, err)
		x.logConnectionEnd(slot, time.Time{}, err)
		return nil, outcome, err
	}
	defer response.Body.Close()
	body, release, err := x.readVerifiedBody(slot, response)
	switch {
	case isConnectionEnd(err):
		slot.ReleaseEnded(true)
	case err == nil && response.StatusCode < http.StatusInternalServerError:
		slot.ReleaseComplete()
	default:
		slot.Release(err != nil, "")
	}
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		x.failedServers = append(x.failedServers, slot.Server())
	}
	if err != nil {
		x.logConnectionEnd(slot, time.Time{}, err)
		return nil, fuchsiapitch.OutcomeUnknown, err
	}
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body, release: release}, fuchsiapitch.OutcomeSucceeded, nil
}

// bodyBlockBytes is the size of the first block of a response body, maxBodyBlockBytes that of the
// largest. Blocks grow with the body.
const (
	bodyBlockBytes    = 4 << 10
	maxBodyBlockBytes = 256 << 10
)

// readResponseBody reads the complete body of a response in blocks and closes it. Its error is a
// fuchsiapitch.ResponseTooLargeError if the body exceeds maxBufferedBytes. It waits while the
// responses that this host buffers have used up the memory for them. The blocks may be used until
// release is called.
func (x *exchange) readResponseBody(response *http.Response) (blocks [][]byte, release func(), err error) {
	defer response.Body.Close()
	memory, release := x.relayer.buffers.Open(string(x.service))
	blocks, err = x.readBlocks(response, memory)
	if err != nil {
		release()
		return nil, func() {}, err
	}
	// From now on it is the client for whom the body is held.
	memory.Transfer(x.unreadOwner())
	return blocks, release, nil
}

// readVerifiedBody is readResponseBody. Its error is a ServerEndedError if the response may be cut off
// because its server has ended.
func (x *exchange) readVerifiedBody(slot *driver.Slot, response *http.Response) (blocks [][]byte, release func(), err error) {
	blocks, release, err = x.readResponseBody(response)
	if err == nil && sender.IsCloseDelimited(response) && slot.HasServerEnded() {
		release()
		return nil, func() {}, &ServerEndedError{Server: slot.Server()}
	}
	return blocks, release, err
}

func (x *exchange) readBlocks(response *http.Response, memory *allocator.Response) ([][]byte, error) {
	tooLarge := &fuchsiapitch.ResponseTooLargeError{Part: "body", LimitBytes: maxBufferedBytes}
	if response.ContentLength > maxBufferedBytes && response.Body != http.NoBody {
		return nil, tooLarge
	}
	var blocks [][]byte
	total, size := 0, bodyBlockBytes
	if n := response.ContentLength; n >= 0 && n < bodyBlockBytes {
		// One byte more shows the end of the body.
		size = int(n) + 1
	}
	for {
		if err := memory.Grow(x.ctx, size); err != nil {
			return nil, err
		}
		block, err := readBlock(response.Body, size)
		total += len(block)
		blocks = append(blocks, block)
		switch {
		case total > maxBufferedBytes:
			return nil, tooLarge
		case errors.Is(err, io.EOF):
			return blocks, nil
		case err != nil:
			return nil, err
		}
		size = min(max(bodyBlockBytes, total), maxBodyBlockBytes)
	}
}

// readBlock reads a number of bytes, fewer if the error is not nil.
func readBlock(body io.Reader, size int) ([]byte, error) {
	block, read := make([]byte, size), 0
	for read < size {
		n, err := body.Read(block[read:])
		read += n
		if err != nil {
			return block[:read], err
		}
	}
	return block, nil
}

// deliver forwards a complete response to the client. A status from which the client
// would conclude that the request was not run is replaced by 502, because the server
// has not confirmed that.
func (x *exchange) deliver(b *bufferedResponse) {
	if impliesNotRun(b.status) {
		x.writeError(http.StatusBadGateway, 0, "server answered "+strconv.Itoa(b.status))
		return
	}
	h := x.writer.Header()
	for n, v := range x.relayer.codec.ResponseHeader(b.header) {
		h[n] = v
	}
	if x.request.Method != http.MethodHead && b.status != http.StatusNoContent && b.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(b.length()))
	}
	x.writer.WriteHeader(b.status)
	for _, block := range b.body {
		if _, err := x.writer.Write(block); err != nil {
			x.logFailure(b.status, "caller left during the answer")
			return
		}
	}
	x.relayer.meter.CountRequest(x.service, fuchsiapitch.RankName(x.route.Name), fuchsiapitch.OutcomeSucceeded)
	x.relayer.log.Debug().Str("request", string(x.metadata.ID)).Int("status", b.status).
		Dur("took", time.Since(x.receivedAt)).Msg("response delivered")
}

// impliesNotRun reports whether a client concludes from a status that the request was
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
