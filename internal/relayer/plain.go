package relayer

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// dialTries is the number of servers that are tried while not a byte of the
// request has left.
const dialTries = 3

// plain answers a request with a whole body.
func (x *exchange) plain() {
	var last error
	var kept *whole
	for x.sent < x.rule.Attempts && x.tries < x.rule.Attempts+dialTries {
		answer, outcome, err := x.attempt()
		if err == nil {
			if answer.status < http.StatusInternalServerError || x.rule.Kind != fuchsiapitch.RepeatableRoute {
				x.deliver(answer)
				return
			}
			kept = answer
			continue
		}
		last = err
		if outcome != fuchsiapitch.NotRun && x.rule.Kind != fuchsiapitch.RepeatableRoute {
			break
		}
		if x.ctx.Err() != nil {
			break
		}
	}
	if kept != nil && x.request.Context().Err() == nil {
		x.deliver(kept)
		return
	}
	x.giveUp(last)
}

// whole is a whole answer of a server.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server and reads the whole answer.
func (x *exchange) attempt() (*whole, fuchsiapitch.Outcome, error) {
	place, err := x.acquire(false)
	if err != nil {
		return nil, fuchsiapitch.NotRun, err
	}
	response, outcome, err := x.send(x.ctx, place, "")
	if err != nil {
		x.release(place, response, outcome)
		return nil, outcome, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, plainLimitBytes+1))
	response.Body.Close()
	if err == nil && len(body) > plainLimitBytes {
		err = &AnswerError{Server: place.Server(), Status: response.StatusCode, Why: "too large"}
	}
	place.Release(err != nil, "")
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		x.avoid = append(x.avoid, place.Server())
	}
	if err != nil {
		return nil, fuchsiapitch.Unknown, err
	}
	return &whole{status: response.StatusCode, header: response.Header, body: body}, fuchsiapitch.Succeeded, nil
}

// deliver passes a whole answer on. A status that would say that the request has
// not run is replaced, since the server did not say so.
func (x *exchange) deliver(a *whole) {
	if saysNotRun(a.status) {
		x.answer(http.StatusBadGateway, 0, "server answered "+strconv.Itoa(a.status))
		return
	}
	h := x.writer.Header()
	for n, v := range x.relayer.dialect.Backward(a.header) {
		h[n] = v
	}
	if x.request.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.writer.WriteHeader(a.status)
	if _, err := x.writer.Write(a.body); err != nil {
		x.line(a.status, "caller left during the answer")
		return
	}
	x.relayer.meter.Ended(x.service, fuchsiapitch.RankName(x.rule.Name), fuchsiapitch.Succeeded)
	x.relayer.log.Debug().Str("request", string(x.facts.ID)).Int("status", a.status).
		Dur("took", time.Since(x.arrived)).Msg("answered")
}

// saysNotRun reports whether a status promises that a request did not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
