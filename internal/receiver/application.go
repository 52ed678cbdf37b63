package receiver

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func (r *Receiver) serveApplication(w http.ResponseWriter, q *http.Request) {
	r.serve(w, q, false, r.readApplication)
}

func (r *Receiver) readApplication(w http.ResponseWriter, q *http.Request, id fuchsiapitch.RequestID) (fuchsiapitch.Request, fuchsiapitch.Call, error) {
	var noRequest fuchsiapitch.Request
	var noCall fuchsiapitch.Call
	customer, ok := r.authenticate(q)
	if !ok {
		return noRequest, noCall, unknownKey()
	}
	service, path, err := r.applicationService(q)
	if err != nil {
		return noRequest, noCall, err
	}
	allowed, err := termsOf(q, service, customer)
	if err != nil {
		return noRequest, noCall, err
	}
	body, err := r.bodies.read(w, q)
	if err != nil {
		return noRequest, noCall, err
	}
	options := []fuchsiapitch.RequestOption{
		fuchsiapitch.WithEstimatedCost(1, int64(len(body))), fuchsiapitch.WithTimeLimit(allowed.limit),
	}
	calls := []fuchsiapitch.CallOption{fuchsiapitch.WithHeader(q.Header)}
	if isIdempotent(service, q.Method, path) {
		options = append(options, fuchsiapitch.WithIdempotentRequest())
		calls = append(calls, fuchsiapitch.WithIdempotent())
	} else if key := q.Header.Get(headerIdempotencyKey); key != "" {
		options = append(options, fuchsiapitch.WithIdempotencyKey(key, hashCall(q.Method, path, body)))
	}
	request := fuchsiapitch.NewRequest(id, service.Name(), customer.Name(), allowed.rank, options...)
	return request, fuchsiapitch.NewCall(id, q.Method, path, body, calls...), nil
}

// applicationService returns the application service that a request names by
// its path or its host name, and the path at the service.
func (r *Receiver) applicationService(q *http.Request) (fuchsiapitch.Service, string, error) {
	name, path := hostLabel(q), q.URL.RequestURI()
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
	service, ok := r.configurations.Configuration().Service(fuchsiapitch.ServiceName(name))
	if !ok || service.Kind() != fuchsiapitch.ApplicationService {
		return service, "", &RequestError{Status: http.StatusNotFound, Code: "unknown-service", Detail: "no application service is named " + name}
	}
	return service, path, nil
}

// isIdempotent reports whether a call may be repeated: the route with the
// longest prefix decides, and a call without a route may not.
func isIdempotent(service fuchsiapitch.Service, method, path string) bool {
	longest, idempotent := -1, false
	for _, t := range service.Routes() {
		matches := (t.Method() == "" || t.Method() == method) && hasPathPrefix(path, t.PathPrefix())
		if matches && len(t.PathPrefix()) > longest {
			longest, idempotent = len(t.PathPrefix()), t.Idempotent()
		}
	}
	return idempotent
}

// hasPathPrefix reports whether a path lies at or below a prefix.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

func hashCall(method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(method + " " + path + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}
