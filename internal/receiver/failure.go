package receiver

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
)

// RequestError reports a request that is refused for its own content. Nothing
// of it was sent on.
type RequestError struct {
	// Status is the HTTP status of the answer.
	Status int
	// Code names the kind of error in kebab case.
	Code string
	// Detail explains the error to the caller.
	Detail string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request refused with status %d, %s: %s", e.Status, e.Code, e.Detail)
}

// failure is what a caller is told in place of an answer.
type failure struct {
	status     int
	code       string
	detail     string
	outcome    fuchsiapitch.Outcome
	retryAfter time.Duration
}

// problem is the body of a failure at an application service (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Request string `json:"request,omitempty"`
}

// modelProblem is the body of a failure at a model service, in OpenAI's shape.
type modelProblem struct {
	Error modelProblemDetail `json:"error"`
}

type modelProblemDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

func failureOf(err error) failure {
	f := failure{status: http.StatusBadRequest, code: "bad-request", detail: "the request could not be read", outcome: fuchsiapitch.OutcomeNotRun}
	var request *RequestError
	if errors.As(err, &request) {
		f.status, f.code, f.detail = request.Status, request.Code, request.Detail
	}
	return f
}

func failureOfResult(result forwarder.Result) failure {
	f := failure{outcome: result.Outcome, retryAfter: result.RetryAfter}
	switch result.Outcome {
	case fuchsiapitch.OutcomeNotRun:
		f.status, f.code = statusOf(result.Refusal), result.Refusal.String()
		f.detail = "the request was not run"
	case fuchsiapitch.OutcomeUnknown:
		f.status, f.code = http.StatusBadGateway, "outcome-unknown"
		f.detail = "the request may or may not have run"
	default:
		f.status, f.code = http.StatusBadGateway, "failed"
		f.detail = "the request ran and failed"
	}
	return f
}

func statusOf(reason fuchsiapitch.RefusalReason) int {
	switch reason {
	case fuchsiapitch.RefusedUnknownService:
		return http.StatusNotFound
	case fuchsiapitch.RefusedOverload, fuchsiapitch.RefusedCustomerLimit:
		return http.StatusTooManyRequests
	case fuchsiapitch.RefusedDeadline:
		return http.StatusGatewayTimeout
	case fuchsiapitch.RefusedKeyReuse:
		return http.StatusUnprocessableEntity
	case fuchsiapitch.RefusedKeyInProgress:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// writeFailure tells the caller of a failure. Model services use OpenAI's
// error shape, application services a problem body.
func writeFailure(w http.ResponseWriter, id fuchsiapitch.RequestID, model bool, f failure) {
	h := w.Header()
	h.Set(headerRequestID, string(id))
	h.Set(headerOutcome, f.outcome.String())
	if f.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	var body any = problem{
		Type: "urn:fuchsiapitch:" + f.code, Title: f.code, Status: f.status,
		Detail: f.detail, Outcome: f.outcome.String(), Request: string(id),
	}
	h.Set(headerContentType, "application/problem+json")
	if model {
		body = modelProblem{Error: modelProblemDetail{Message: f.detail, Type: f.code, Code: f.code, Outcome: f.outcome.String()}}
		h.Set(headerContentType, "application/json")
	}
	w.WriteHeader(f.status)
	// A caller that has gone cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}
