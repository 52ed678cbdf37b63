package receiver

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func (r *Receiver) serveApplicationRequest(w http.ResponseWriter, q *http.Request) {
	r.serve(w, q, false, r.readApplicationRequest)
}

// readApplicationRequest is a requestReader for application services. An
// idempotency key is used only for calls that are not idempotent by their route.
func (r *Receiver) readApplicationRequest(w http.ResponseWriter, q *http.Request, held *heldBody, id fuchsiapitch.RequestID) (fuchsiapitch.Request, fuchsiapitch.Call, error) {
	var noRequest fuchsiapitch.Request
	var noCall fuchsiapitch.Call
	configuration := r.configurationProvider.Configuration()
	customer, ok := authenticate(configuration, q)
	if !ok {
		return noRequest, noCall, unknownKeyError()
	}
	service, path, err := findApplicationService(configuration, q)
	if err != nil {
		return noRequest, noCall, err
	}
	parameters, err := requestParametersOf(q, service, customer)
	if err != nil {
		return noRequest, noCall, err
	}
	body, err := held.read(w, q, customer.Name())
	if err != nil {
		return noRequest, noCall, err
	}
	options := []fuchsiapitch.RequestOption{
		fuchsiapitch.WithEstimatedCost(1, int64(len(body))), fuchsiapitch.WithTimeLimit(parameters.timeLimit),
	}
	callOptions := []fuchsiapitch.CallOption{fuchsiapitch.WithHeader(q.Header)}
	if isIdempotent(service, q.Method, path) {
		options = append(options, fuchsiapitch.WithIdempotentRequest())
		callOptions = append(callOptions, fuchsiapitch.WithIdempotent())
	} else if key := q.Header.Get(headerIdempotencyKey); key != "" {
		options = append(options, fuchsiapitch.WithIdempotencyKey(key, hashRequest(q.Method, path, body)))
	}
	request := fuchsiapitch.NewRequest(id, service.Name(), customer.Name(), parameters.rank, options...)
	return request, fuchsiapitch.NewCall(id, q.Method, path, body, callOptions...), nil
}

// findApplicationService returns the application service that a request names in
// its path or host name, and the path and query to send to the service.
func findApplicationService(configuration fuchsiapitch.Configuration, q *http.Request) (fuchsiapitch.Service, string, error) {
	name, path := firstHostLabel(q), q.URL.RequestURI()
	if rest, ok := strings.CutPrefix(path, servicePrefix); ok {
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		name, path = rest[:end], rest[end:]
		if !strings.HasPrefix(path, "/") {
			path = "/" + path
		}
	}
	service, ok := configuration.Service(fuchsiapitch.ServiceName(name))
	if !ok || service.Kind() != fuchsiapitch.ApplicationService {
		return service, "", &RequestError{Status: http.StatusNotFound, Code: "unknown-service", Detail: "no application service is named " + name}
	}
	return service, path, nil
}

// isIdempotent reports whether a call may run more than once. The matching route
// with the longest path prefix decides. A call that matches no route is not
// idempotent.
func isIdempotent(service fuchsiapitch.Service, method, path string) bool {
	longestPrefix, idempotent := -1, false
	for _, route := range service.Routes() {
		matches := (route.Method() == "" || route.Method() == method) && hasPathPrefix(path, route.PathPrefix())
		if matches && len(route.PathPrefix()) > longestPrefix {
			longestPrefix, idempotent = len(route.PathPrefix()), route.Idempotent()
		}
	}
	return idempotent
}

// hasPathPrefix reports whether a path is equal to a prefix or below it.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// hashRequest returns the hash that detects the reuse of an idempotency key for a
// different call.
func hashRequest(method, path string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(method + " " + path + "\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}
