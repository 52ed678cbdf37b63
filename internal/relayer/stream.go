package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
)

const (
	// readBytes is the first size of the buffer of a stream.
	readBytes = 4 << 10
	// eventLimitBytes is the largest event.
	eventLimitBytes = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// progress is what a caller has of a stream.
type progress struct {
	started bool
	// first is the time to the first event, pause the longest time between two, and
	// at the time of the last.
	first, pause time.Duration
	at           time.Time
	// last is the identifier of the last whole event, "" for none.
	last string
}

// stream answers a request with a stream of events. Where the route allows it, a
// stream that breaks goes on at another server after the last whole event.
func (x *exchange) stream() {
	p := progress{last: x.facts.Resume}
	var last error
	for x.sent < x.rule.Attempts && x.tries < x.rule.Attempts+dialTries {
		outcome, err := x.pass(&p)
		if err == nil {
			x.lineIfLate(&p)
			return
		}
		last = err
		if x.ctx.Err() != nil || outcome != fuchsiapitch.NotRun && !x.rule.Resumable {
			break
		}
	}
	if !p.started {
		x.giveUp(last)
		return
	}
	if x.request.Context().Err() != nil {
		x.line(http.StatusOK, "caller left")
	} else {
		x.line(http.StatusOK, "stream broken off: "+last.Error())
	}
	panic(http.ErrAbortHandler)
}

// pass sends the request to one server and passes the events on.
func (x *exchange) pass(p *progress) (fuchsiapitch.Outcome, error) {
	place, err := x.acquire(p.started)
	if err != nil {
		return fuchsiapitch.NotRun, err
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(context.Canceled)
	place.OnWithdraw(func(server fuchsiapitch.ServerID) { cancel(&WithdrawnError{Server: server}) })
	response, outcome, err := x.send(ctx, place, p.last)
	if err != nil {
		x.release(place, response, outcome)
		return outcome, cause(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return x.passFailure(place, response, p)
	}
	err = x.events(place, response, p)
	var left *callerLeftError
	place.Release(err != nil && !errors.As(err, &left), "")
	if err != nil {
		x.avoid = append(x.avoid, place.Server())
		return fuchsiapitch.Unknown, cause(ctx, err)
	}
	x.relayer.meter.Ended(x.service, fuchsiapitch.RankName(x.rule.Name), fuchsiapitch.Succeeded)
	return fuchsiapitch.Succeeded, nil
}

// cause returns why a context has ended, in place of the error that it led to.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && !errors.Is(c, context.Canceled) {
		return c
	}
	return err
}

// passFailure passes on an answer that is no stream, if the caller has nothing
// yet.
func (x *exchange) passFailure(place *driver.Place, response *http.Response, p *progress) (fuchsiapitch.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, plainLimitBytes))
	place.Release(true, "")
	x.avoid = append(x.avoid, place.Server())
	if err != nil || p.started || response.StatusCode >= http.StatusInternalServerError && x.sent < x.rule.Attempts {
		return fuchsiapitch.Unknown, &AnswerError{Server: place.Server(), Status: response.StatusCode, Why: "no stream"}
	}
	x.deliver(&whole{status: response.StatusCode, header: response.Header, body: body})
	return fuchsiapitch.Succeeded, nil
}

// callerLeftError reports that an answer could not be written to the caller.
type callerLeftError struct{ err error }

// Error implements error.
func (e *callerLeftError) Error() string { return "caller left: " + e.err.Error() }

// Unwrap returns the underlying error.
func (e *callerLeftError) Unwrap() error { return e.err }

// events passes on whole events until the end of the stream.
func (x *exchange) events(place *driver.Place, response *http.Response, p *progress) error {
	buffer := make([]byte, readBytes)
	held := 0
	begun := false
	for {
		n, err := response.Body.Read(buffer[held:])
		if n > 0 {
			if begun {
				place.Touch()
			} else {
				begun = true
				place.Begin()
			}
		}
		held += n
		if end := bytes.LastIndex(buffer[:held], eventEnd); end >= 0 {
			end += len(eventEnd)
			if err := x.write(response, buffer[:end], p); err != nil {
				return err
			}
			held = copy(buffer, buffer[end:held])
		}
		switch {
		case errors.Is(err, io.EOF) && held == 0 && p.started:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if held == len(buffer) {
			if held >= eventLimitBytes {
				return &AnswerError{Server: place.Server(), Status: response.StatusCode, Why: "event too large"}
			}
			buffer = append(buffer, make([]byte, held)...)
		}
	}
}

// write passes whole events on to the caller.
func (x *exchange) write(response *http.Response, events []byte, p *progress) error {
	if !p.started {
		h := x.writer.Header()
		for n, v := range x.relayer.dialect.Backward(response.Header) {
			h[n] = v
		}
		x.writer.WriteHeader(response.StatusCode)
		p.started = true
	}
	if _, err := x.writer.Write(events); err != nil {
		return &callerLeftError{err: err}
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return &callerLeftError{err: err}
	}
	if id := lastID(events); id != "" {
		p.last = id
	}
	p.time(x.arrived)
	return nil
}

// time notes the time of an event.
func (p *progress) time(arrived time.Time) {
	now := time.Now()
	if p.at.IsZero() {
		p.first = now.Sub(arrived)
	} else {
		p.pause = max(p.pause, now.Sub(p.at))
	}
	p.at = now
}

// lineIfLate writes the log line of a stream that was whole but not on time.
func (x *exchange) lineIfLate(p *progress) {
	if p.first <= x.rule.Target && (x.rule.GapTarget <= 0 || p.pause <= x.rule.GapTarget) {
		return
	}
	x.relayer.log.Info().Str("request", string(x.facts.ID)).Str("route", x.rule.Name).Str("model", x.facts.Model).
		Int64("waited-ms", x.waited.Milliseconds()).Int64("first-ms", p.first.Milliseconds()).Int64("pause-ms", p.pause.Milliseconds()).
		Int("sent", x.sent).Int("prompt", x.facts.PromptTokens).Int64("took-ms", time.Since(x.arrived).Milliseconds()).Msg("late")
}

// lastID returns the identifier of the last event that has one.
func lastID(events []byte) string {
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
