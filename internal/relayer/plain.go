package relayer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
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
		if x.ctx.Err() != nil || isHostStopping(err) {
			break
		}
	}
	if serverErrorResponse != nil && x.request.Context().Err() == nil {
		x.deliver(serverErrorResponse)
		return
	}
	x.fail(lastErr)
}

// bufferedResponse is the complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
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
	body, err := x.readResponseBody(response)
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
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, fuchsiapitch.OutcomeSucceeded, nil
}

// readResponseBody reads the complete body of a response and closes it. Its error is a
// fuchsiapitch.ResponseTooLargeError if the body exceeds maxBufferedBytes. If the body is large,
// it waits until fewer than maxLargeBodies others are being read.
func (x *exchange) readResponseBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	tooLarge := &fuchsiapitch.ResponseTooLargeError{Part: "body", LimitBytes: maxBufferedBytes}
	if response.ContentLength > maxBufferedBytes && response.Body != http.NoBody {
		return nil, tooLarge
	}
	start, err := io.ReadAll(io.LimitReader(response.Body, largeBodyBytes))
	if err != nil || len(start) < largeBodyBytes {
		return start, err
	}
	select {
	case x.relayer.largeBodies <- struct{}{}:
		defer func() { <-x.relayer.largeBodies }()
	case <-x.ctx.Done():
		return nil, x.ctx.Err()
	}
	body, err := io.ReadAll(io.LimitReader(io.MultiReader(bytes.NewReader(start), response.Body), maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBufferedBytes {
		return nil, tooLarge
	}
	return body, nil
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
		h.Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	x.writer.WriteHeader(b.status)
	if _, err := x.writer.Write(b.body); err != nil {
		x.logFailure(b.status, "caller left during the answer")
		return
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
