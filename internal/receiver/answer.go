package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
)

const (
	// writeTimeout bounds the time that a caller may take to read one piece.
	writeTimeout = 30 * time.Second
	// deadlinePeriod is the time after which the deadline of writes is renewed.
	deadlinePeriod = time.Second
)

// reading reads a request of one kind of service.
type reading func(http.ResponseWriter, *http.Request, fuchsiapitch.RequestID) (fuchsiapitch.Request, fuchsiapitch.Call, error)

// serve reads a request and answers it, within the bounds on held bodies.
func (r *Receiver) serve(w http.ResponseWriter, q *http.Request, model bool, read reading) {
	id := newRequestID()
	release, err := r.bodies.take(q)
	if err != nil {
		writeFailure(w, id, model, failureOf(err))
		return
	}
	defer release()
	request, call, err := read(w, q, id)
	if err != nil {
		writeFailure(w, id, model, failureOf(err))
		return
	}
	r.answer(w, q, request, call, model)
}

// answer serves a request and gives the caller the answer or the failure.
func (r *Receiver) answer(w http.ResponseWriter, q *http.Request, request fuchsiapitch.Request, call fuchsiapitch.Call, model bool) {
	sink := &responseSink{
		writer: w, controller: http.NewResponseController(w), request: request,
		flushed: request.Streaming(), received: time.Now(), receiver: r,
		tokens: r.meter.Tokens(request.Service()),
	}
	result := r.forwarder.Receive(q.Context(), request, call, sink)
	r.meter.Ended(request.Service(), request.Rank(), result.Outcome)
	if result.Outcome == fuchsiapitch.OutcomeSucceeded {
		return
	}
	if !result.Started {
		writeFailure(w, request.ID(), model, failureOfResult(result))
		return
	}
	sink.abort(result)
}

// responseSink passes an answer to a caller.
type responseSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	request    fuchsiapitch.Request
	receiver   *Receiver
	flushed    bool
	wrote      bool
	received   time.Time
	renewed    time.Time
	tokens     *metrics.Counter
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

// Write implements forwarder.Sink. A stream is flushed piece by piece; each
// piece has its own deadline, since a stream as a whole has none.
func (s *responseSink) Write(chunk fuchsiapitch.Chunk) error {
	if !s.wrote {
		s.wrote = true
		s.receiver.meter.FirstToken(s.request.Service(), s.request.Rank(), time.Since(s.received))
	}
	s.renewDeadline(time.Now())
	if _, err := s.writer.Write(chunk.Data()); err != nil {
		return err
	}
	s.tokens.Add(chunk.Tokens())
	if s.flushed {
		return s.controller.Flush()
	}
	return nil
}

// renewDeadline gives the next writes their deadline. It is renewed from time to
// time only, since that costs as much as a small write.
func (s *responseSink) renewDeadline(now time.Time) {
	if now.Sub(s.renewed) < deadlinePeriod {
		return
	}
	s.renewed = now
	// Connections that know no deadline are bounded by the server's own.
	_ = s.controller.SetWriteDeadline(now.Add(writeTimeout + deadlinePeriod))
}

// abort ends an answer that has begun and cannot be completed. A stream ends
// with an error event; a plain answer is cut so that its length is wrong.
func (s *responseSink) abort(result forwarder.Result) {
	if !s.request.Streaming() {
		panic(http.ErrAbortHandler)
	}
	f := failureOfResult(result)
	event, err := json.Marshal(modelProblem{Error: modelProblemDetail{
		Message: f.detail + " after " + strconv.Itoa(result.Tokens) + " tokens",
		Type:    f.code, Code: f.code, Outcome: result.Outcome.String(),
	}})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// A caller that has gone cannot be told.
	_, _ = s.writer.Write(append(append([]byte("event: error\ndata: "), event...), "\n\n"...))
	_ = s.controller.Flush()
}
