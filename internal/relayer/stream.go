package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

const (
	// initialBufferBytes is the initial size of the read buffer of a stream.
	initialBufferBytes = 4 << 10
	// maxEventBytes is the size of the largest event that is forwarded.
	maxEventBytes = 1 << 20
)

var eventDelimiter = []byte("\n\n")

// streamProgress is what a client has received of a stream.
type streamProgress struct {
	headerSent bool
	// slotIsFree is true once the slot of the current attempt has been released, since its response
	// was read to its end before the client had received it.
	slotIsFree bool
	// timeToFirstEvent is the time from the receipt of the request to the first
	// event, longestGap the longest time between two events, and lastEventAt the time
	// of the last event.
	timeToFirstEvent, longestGap time.Duration
	lastEventAt                  time.Time
	// mayBeComplete is true if the last attempt delivered events to the end of its response, and its
	// server has ended, so that it is unknown whether more would have followed.
	mayBeComplete bool
	// resumeAfter is the value of the client's own request to resume, "" for none.
	resumeAfter string
	// lastEventID is the identifier of the last event that the client has received,
	// noEventID for none.
	lastEventID int64
}

// newStreamProgress returns the progress of a client that has received nothing of the
// response. If it resumes a stream, it has received the events up to the one it names.
func newStreamProgress(resumeAfter string, resumable bool) streamProgress {
	p := streamProgress{resumeAfter: resumeAfter, lastEventID: noEventID}
	if resumable {
		p.lastEventID = parseEventID(resumeAfter)
	}
	return p
}

// resumptionID returns the identifier of the event after which the next server resumes the
// stream, "" for the beginning.
func (p *streamProgress) resumptionID() string {
	if !p.headerSent || p.lastEventID == noEventID {
		return p.resumeAfter
	}
	return strconv.FormatInt(p.lastEventID, 10)
}

// serveStream serves a request whose response is a stream of events. If the route is
// resumable, a stream that breaks off resumes at another server after the last
// complete event.
func (x *exchange) serveStream() {
	p := newStreamProgress(x.metadata.LastEventID, x.route.Resumable)
	var lastErr error
	for x.hasAttemptLeft() {
		outcome, err := x.attemptStream(&p)
		if err == nil {
			x.logIfLate(&p)
			return
		}
		lastErr = err
		x.logIfTooLarge(err)
		x.logIfInvalid(err)
		x.logFailedAttempt(&p, outcome, err)
		if x.ctx.Err() != nil || isFinalRefusal(err) || outcome != fuchsiapitch.OutcomeNotRun && !x.route.Resumable {
			break
		}
	}
	if !p.headerSent {
		x.fail(lastErr)
		return
	}
	x.breakOff(lastErr)
}

// attemptStream sends the request to one server and forwards its events to the
// client.
func (x *exchange) attemptStream(p *streamProgress) (fuchsiapitch.Outcome, error) {
	p.slotIsFree = false
	slot, err := x.acquireSlot(p.headerSent)
	if err != nil {
		return fuchsiapitch.OutcomeNotRun, err
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(context.Canceled)
	slot.OnRevoke(func(server fuchsiapitch.ServerID, quarantined bool) {
		if quarantined {
			cancel(&QuarantinedError{Server: server})
			return
		}
		cancel(&GroupClosedError{Server: server})
	})
	response, outcome, err := x.send(ctx, slot, p.resumptionID())
	if err != nil {
		x.releaseFailed(slot, response, outcome, err)
		err = cancellationCause(ctx, err)
		x.logConnectionEnd(slot, time.Time{}, err)
		return outcome, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		outcome, err = x.deliverNonStream(slot, response, p)
		return outcome, cancellationCause(ctx, err)
	}
	startedAt, err := x.forwardEvents(ctx, slot, response, p)
	if err == nil && sender.IsCloseDelimited(response) && slot.HasServerEnded() {
		err, p.mayBeComplete = &ServerEndedError{Server: slot.Server()}, true
	}
	if !p.slotIsFree {
		x.releaseStream(slot, response, err)
	}
	if err != nil {
		x.failedServers = append(x.failedServers, slot.Server())
		err = cancellationCause(ctx, err)
		x.logConnectionEnd(slot, startedAt, err)
		return fuchsiapitch.OutcomeUnknown, err
	}
	x.relayer.meter.CountRequest(x.service, fuchsiapitch.RankName(x.route.Name), fuchsiapitch.OutcomeSucceeded)
	return fuchsiapitch.OutcomeSucceeded, nil
}

// releaseStream releases the slot of a stream that has ended.
func (x *exchange) releaseStream(slot *driver.Slot, response *http.Response, err error) {
	var clientGone *clientGoneError
	switch {
	case err == nil && sender.IsCloseDelimited(response):
		slot.ReleaseEnded(false)
	case err == nil:
		slot.ReleaseComplete()
	case isConnectionEnd(err):
		slot.ReleaseEnded(true)
	default:
		slot.Release(!errors.As(err, &clientGone), "")
	}
}

// logIfInvalid logs a failed attempt whose stream contained an invalid event. Another
// attempt may succeed, after which nothing else is logged about this one.
func (x *exchange) logIfInvalid(err error) {
	invalid, ok := errors.AsType[*InvalidEventError](err)
	if !ok {
		return
	}
	x.relayer.log.Warn().Str("request", string(x.metadata.ID)).Str("route", x.route.Name).
		Str("server", string(invalid.Server)).Msg("stream cut off: " + invalid.Error())
}

// cancellationCause returns the cause of the cancellation of a context if an operation
// failed and a cause was given, and err otherwise.
func cancellationCause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if c := context.Cause(ctx); c != nil && !errors.Is(c, context.Canceled) {
		return c
	}
	return err
}

// deliverNonStream forwards a response that is not a stream. It returns an error
// instead if the body cannot be read or is too large, if the client has received part
// of a stream, or if the status is 5xx and the request may be sent again.
func (x *exchange) deliverNonStream(slot *driver.Slot, response *http.Response, p *streamProgress) (fuchsiapitch.Outcome, error) {
	body, release, err := x.readVerifiedBody(slot, response)
	defer release()
	if isConnectionEnd(err) {
		slot.ReleaseEnded(true)
	} else {
		slot.Release(true, "")
	}
	x.failedServers = append(x.failedServers, slot.Server())
	if err != nil {
		return fuchsiapitch.OutcomeUnknown, err
	}
	if p.headerSent || response.StatusCode >= http.StatusInternalServerError && x.hasAttemptLeft() {
		return fuchsiapitch.OutcomeUnknown, &ResponseError{Server: slot.Server(), Status: response.StatusCode, Reason: "no stream"}
	}
	x.deliver(&bufferedResponse{status: response.StatusCode, header: response.Header, body: body, release: release})
	return fuchsiapitch.OutcomeSucceeded, nil
}

// clientGoneError reports that the response could not be written to the client.
type clientGoneError struct{ err error }

// Error implements error.
func (e *clientGoneError) Error() string { return "caller left: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *clientGoneError) Unwrap() error { return e.err }

// forwardEvents forwards complete events to the client until the stream ends. If the
// stream ends within an event, or without any event, it returns io.ErrUnexpectedEOF, also if
// it resumes another one, unless that may have been complete. If an event is invalid, it returns an InvalidEventError. startedAt is the
// time of the first byte, the zero time for none. It waits while the responses that this host
// buffers have used up the memory for them.
func (x *exchange) forwardEvents(ctx context.Context, slot *driver.Slot, response *http.Response, p *streamProgress) (startedAt time.Time, err error) {
	memory, release := x.relayer.buffers.Open(string(x.service))
	defer release()
	if err := memory.Grow(ctx, initialBufferBytes); err != nil {
		return startedAt, err
	}
	buffer := make([]byte, initialBufferBytes)
	buffered := 0
	startID := p.lastEventID
	needsEvent := !p.mayBeComplete || sender.IsCloseDelimited(response)
	source, closeSource := x.openBacklog(ctx, slot, response, p, &startedAt)
	defer closeSource()
	for {
		n, err := source.Read(buffer[buffered:])
		buffered += n
		if end := completeEventBytes(buffer[:buffered], n); end > 0 {
			validBytes, lastID, problem := validateEvents(buffer[:end], p.lastEventID, x.relayer.codec)
			if err := source.write(func() error { return x.writeEvents(response, buffer[:validBytes], lastID, p) }); err != nil {
				return startedAt, err
			}
			if problem != "" {
				return startedAt, &InvalidEventError{Server: slot.Server(), LastID: lastID, Problem: problem}
			}
			p.mayBeComplete = false
			buffered = copy(buffer, buffer[end:buffered])
		}
		switch {
		case errors.Is(err, io.EOF) && buffered == 0 && (p.lastEventID != startID || !needsEvent):
			return startedAt, nil
		case errors.Is(err, io.EOF):
			return startedAt, io.ErrUnexpectedEOF
		case err != nil:
			return startedAt, err
		}
		if buffered == len(buffer) {
			if buffered >= maxEventBytes {
				return startedAt, &fuchsiapitch.ResponseTooLargeError{Part: "event", LimitBytes: maxEventBytes}
			}
			if err := memory.Grow(ctx, buffered); err != nil {
				return startedAt, err
			}
			buffer = append(buffer, make([]byte, buffered)...)
		}
	}
}

// openBacklog returns the source of the events of a response. The time of the first byte is written
// to startedAt. The slot becomes free when the body has been read to its end though the client has
// not read it. The function closes the body and frees the memory.
func (x *exchange) openBacklog(ctx context.Context, slot *driver.Slot, response *http.Response, p *streamProgress, startedAt *time.Time) (*backlog, func()) {
	memory, release := x.relayer.buffers.Open(x.unreadOwner())
	onData := func() {
		if startedAt.IsZero() {
			*startedAt = time.Now()
			slot.RecordResponseStart()
			return
		}
		slot.RecordActivity()
	}
	onEnd := func() {
		if !sender.IsCloseDelimited(response) {
			p.slotIsFree = true
			slot.ReleaseComplete()
		}
	}
	source := newBacklog(ctx, response.Body, memory, onData, slot.RecordActivity, onEnd)
	x.relayer.slowReaders.add(source)
	return source, func() {
		x.relayer.slowReaders.remove(source)
		response.Body.Close()
		source.close()
		release()
	}
}

// completeEventBytes returns the number of bytes of the complete events at the start of
// data. Only the last newBytes are new: the bytes before contain no delimiter, but may end
// with its first byte.
func completeEventBytes(data []byte, newBytes int) int {
	start := max(0, len(data)-newBytes-len(eventDelimiter)+1)
	end := bytes.LastIndex(data[start:], eventDelimiter)
	if end < 0 {
		return 0
	}
	return start + end + len(eventDelimiter)
}

// writeEvents writes valid events to the client, the last of which has an identifier. The
// header precedes the first of them.
func (x *exchange) writeEvents(response *http.Response, events []byte, lastID int64, p *streamProgress) error {
	if len(events) == 0 {
		return nil
	}
	if !p.headerSent {
		h := x.writer.Header()
		for n, v := range x.relayer.codec.ResponseHeader(response.Header) {
			h[n] = v
		}
		x.writer.WriteHeader(response.StatusCode)
		p.headerSent = true
	}
	if _, err := x.writer.Write(events); err != nil {
		return &clientGoneError{err: err}
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return &clientGoneError{err: err}
	}
	p.lastEventID = lastID
	p.recordEvent(x.receivedAt)
	return nil
}

// recordEvent updates the timings with an event that was sent now.
func (p *streamProgress) recordEvent(receivedAt time.Time) {
	now := time.Now()
	if p.lastEventAt.IsZero() {
		p.timeToFirstEvent = now.Sub(receivedAt)
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// logIfLate logs a complete stream that missed the latency objectives of its route.
func (x *exchange) logIfLate(p *streamProgress) {
	if p.timeToFirstEvent <= x.route.LatencyTarget && (x.route.InterEventTarget <= 0 || p.longestGap <= x.route.InterEventTarget) {
		return
	}
	x.relayer.log.Info().Str("request", string(x.metadata.ID)).Str("route", x.route.Name).Str("model", x.metadata.Model).
		Int64("waited-ms", x.admissionWait.Milliseconds()).Int64("first-ms", p.timeToFirstEvent.Milliseconds()).Int64("pause-ms", p.longestGap.Milliseconds()).
		Int("sent", x.sendCount).Int("prompt", x.metadata.PromptTokens).Int64("took-ms", time.Since(x.receivedAt).Milliseconds()).Msg("stream missed a latency target")
}
