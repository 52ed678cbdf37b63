package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
)

const (
	// writeTimeout limits the time in which a client must read one chunk.
	writeTimeout = 30 * time.Second
	// writeDeadlineInterval is the minimum time between two renewals of the write
	// deadline.
	writeDeadlineInterval = time.Second
)

// requestReader reads and checks a request to one kind of service. It returns the
// request for the scheduler and the call for the backend server.
type requestReader func(http.ResponseWriter, *http.Request, *heldBody, fuchsiapitch.RequestID) (fuchsiapitch.Request, fuchsiapitch.Call, error)

// serve handles one HTTP request, within the limit on the memory for request
// bodies. isModel selects the format of error responses.
func (r *Receiver) serve(w http.ResponseWriter, q *http.Request, isModel bool, read requestReader) {
	id := newRequestID()
	body, err := r.bodyLimiter.hold(q)
	if err != nil {
		collector.Dismiss(w, q)
		writeErrorResponse(w, id, isModel, errorResponseOf(err))
		return
	}
	defer func() { body.release() }()
	request, call, err := read(w, q, body, id)
	if err != nil {
		if !body.isRead {
			collector.Dismiss(w, q)
		}
		writeErrorResponse(w, id, isModel, errorResponseOf(err))
		return
	}
	r.respond(w, q, request, call, isModel)
}

// respond forwards a request and sends the client the response or an error
// response. Once a response has started, an error can only abort it.
func (r *Receiver) respond(w http.ResponseWriter, q *http.Request, request fuchsiapitch.Request, call fuchsiapitch.Call, isModel bool) {
	sink := &responseSink{
		writer: w, responseController: http.NewResponseController(w), request: request,
		flushEachChunk: request.Streaming(), receivedAt: time.Now(), receiver: r,
		tokenCounter: r.meter.TokenCounter(request.Service()),
	}
	result := r.forwarder.Receive(q.Context(), request, call, sink)
	r.meter.CountRequest(request.Service(), request.Rank(), result.Outcome)
	if result.Outcome == fuchsiapitch.OutcomeSucceeded {
		return
	}
	if !result.HeaderSent {
		writeErrorResponse(w, request.ID(), isModel, errorResponseOfResult(result))
		return
	}
	sink.abort(result)
}

// responseSink writes a response to a client. It implements forwarder.Sink.
type responseSink struct {
	writer             http.ResponseWriter
	responseController *http.ResponseController
	request            fuchsiapitch.Request
	receiver           *Receiver
	flushEachChunk     bool
	// firstTokenObserved is true once the time to the first chunk was recorded.
	firstTokenObserved bool
	receivedAt         time.Time
	deadlineRenewedAt  time.Time
	tokenCounter       *metrics.Counter
}

// Start implements forwarder.Sink.
func (s *responseSink) Start(status int, header map[string][]string) error {
	h := s.writer.Header()
	for name, values := range header {
		h[http.CanonicalHeaderKey(name)] = values
	}
	h.Set(headerRequestID, string(s.request.ID()))
	if !s.request.Streaming() {
		h.Set(headerOutcome, fuchsiapitch.OutcomeSucceeded.String())
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write implements forwarder.Sink. The chunks of a stream are flushed one by one.
// The write deadline is renewed as the response continues, since a stream as a
// whole has no write deadline.
func (s *responseSink) Write(chunk fuchsiapitch.Chunk) error {
	if !s.firstTokenObserved {
		s.firstTokenObserved = true
		s.receiver.meter.ObserveFirstToken(s.request.Service(), s.request.Rank(), time.Since(s.receivedAt))
	}
	s.renewWriteDeadline(time.Now())
	if _, err := s.writer.Write(chunk.Data()); err != nil {
		return err
	}
	s.tokenCounter.Add(chunk.Tokens())
	if s.flushEachChunk {
		return s.responseController.Flush()
	}
	return nil
}

// renewWriteDeadline extends the write deadline, at most once per
// writeDeadlineInterval, since a renewal costs as much as a small write.
func (s *responseSink) renewWriteDeadline(now time.Time) {
	if now.Sub(s.deadlineRenewedAt) < writeDeadlineInterval {
		return
	}
	s.deadlineRenewedAt = now
	// SetWriteDeadline fails if the writer does not support deadlines. Only the timeouts
	// of the HTTP server, if any, apply then. The interval is added so that each write
	// has at least writeTimeout.
	_ = s.responseController.SetWriteDeadline(now.Add(writeTimeout + writeDeadlineInterval))
}

// abort ends a response that has started and cannot be completed. A stream ends
// with an error event. Any other response is truncated, so that the client
// detects an incomplete body.
func (s *responseSink) abort(result forwarder.Result) {
	if !s.request.Streaming() {
		panic(http.ErrAbortHandler)
	}
	response := errorResponseOfResult(result)
	event, err := json.Marshal(openAIError{Error: openAIErrorDetail{
		Message: response.detail + " after " + strconv.Itoa(result.TokensDelivered) + " tokens",
		Type:    response.code, Code: response.code, Outcome: result.Outcome.String(),
	}})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// An error means that the client has disconnected.
	_, _ = s.writer.Write(append(append([]byte("event: error\ndata: "), event...), "\n\n"...))
	_ = s.responseController.Flush()
}
