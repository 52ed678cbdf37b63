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

// RequestError reports a request that the receiver itself refuses. The request
// was not forwarded.
type RequestError struct {
	// Status is the HTTP status of the response.
	Status int
	// Code identifies the kind of error, in kebab case.
	Code string
	// Detail explains the error to the client.
	Detail string
	// RetryAfter is the time after which the client may try again, 0 if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request refused with status %d, %s: %s", e.Status, e.Code, e.Detail)
}

// errorResponse is the content of an error response.
type errorResponse struct {
	status     int
	code       string
	detail     string
	outcome    fuchsiapitch.Outcome
	retryAfter time.Duration
}

// problemDetails is the body of an error response for an application service
// (RFC 9457).
type problemDetails struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Request string `json:"request,omitempty"`
}

// openAIError is the body of an error response for a model service, in the format
// of the OpenAI API.
type openAIError struct {
	Error openAIErrorDetail `json:"error"`
}

type openAIErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// errorResponseOf returns the response for a request that could not be read.
func errorResponseOf(err error) errorResponse {
	response := errorResponse{status: http.StatusBadRequest, code: "bad-request", detail: "the request could not be read", outcome: fuchsiapitch.OutcomeNotRun}
	var requestError *RequestError
	if errors.As(err, &requestError) {
		response.status, response.code, response.detail = requestError.Status, requestError.Code, requestError.Detail
		response.retryAfter = requestError.RetryAfter
	}
	return response
}

// errorResponseOfResult returns the response for a request that did not succeed.
func errorResponseOfResult(result forwarder.Result) errorResponse {
	response := errorResponse{outcome: result.Outcome, retryAfter: result.RetryAfter}
	switch result.Outcome {
	case fuchsiapitch.OutcomeNotRun:
		response.status, response.code = statusOfRefusal(result.Refusal), result.Refusal.String()
		response.detail = "the request was not run"
	case fuchsiapitch.OutcomeUnknown:
		response.status, response.code = http.StatusBadGateway, "outcome-unknown"
		response.detail = "the request may or may not have run"
	default:
		response.status, response.code = http.StatusBadGateway, "failed"
		response.detail = "the request ran and failed"
	}
	return response
}

// statusOfRefusal returns the HTTP status for a refusal.
func statusOfRefusal(reason fuchsiapitch.RefusalReason) int {
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

// writeErrorResponse sends an error response, for model services in the format of
// the OpenAI API, for application services as problem details. Retry-After is
// rounded up to whole seconds.
func writeErrorResponse(w http.ResponseWriter, id fuchsiapitch.RequestID, isModel bool, response errorResponse) {
	h := w.Header()
	h.Set(headerRequestID, string(id))
	h.Set(headerOutcome, response.outcome.String())
	if response.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(response.retryAfter.Seconds()))))
	}
	var body any = problemDetails{
		Type: "urn:fuchsiapitch:" + response.code, Title: response.code, Status: response.status,
		Detail: response.detail, Outcome: response.outcome.String(), Request: string(id),
	}
	h.Set(headerContentType, "application/problem+json")
	if isModel {
		body = openAIError{Error: openAIErrorDetail{Message: response.detail, Type: response.code, Code: response.code, Outcome: response.outcome.String()}}
		h.Set(headerContentType, "application/json")
	}
	w.WriteHeader(response.status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
