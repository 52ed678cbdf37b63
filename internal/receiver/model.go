package receiver

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// bytesPerToken estimates the number of prompt bytes in one token.
	bytesPerToken = 4
	// defaultMaxTokens estimates the length of an answer without a limit.
	defaultMaxTokens = 256
	// prefixBytes is the length of the prompt prefix that affinity looks at.
	prefixBytes = 1024
)

// modelRequest is the part of an OpenAI request that decisions need.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
}

// prompt returns the part of the request that the model reads.
func (m modelRequest) prompt() []byte {
	for _, p := range []json.RawMessage{m.Messages, m.Prompt, m.Input} {
		if len(p) > 0 {
			return p
		}
	}
	return nil
}

// cost estimates the tokens of the prompt and the answer.
func (m modelRequest) cost() float64 {
	answer := max(m.MaxTokens, m.MaxCompletionTokens)
	if answer <= 0 {
		answer = defaultMaxTokens
	}
	return float64(len(m.prompt())/bytesPerToken + answer)
}

// prefix returns the hash of the beginning of the prompt.
func (m modelRequest) prefix() uint64 {
	p := m.prompt()
	return xxhash.Sum64(p[:min(len(p), prefixBytes)])
}

func (r *Receiver) serveModel(w http.ResponseWriter, q *http.Request) {
	r.serve(w, q, true, r.readModel)
}

func (r *Receiver) readModel(w http.ResponseWriter, q *http.Request, id fuchsiapitch.RequestID) (fuchsiapitch.Request, fuchsiapitch.Call, error) {
	var noRequest fuchsiapitch.Request
	var noCall fuchsiapitch.Call
	customer, ok := r.authenticate(q)
	if !ok {
		return noRequest, noCall, unknownKey()
	}
	body, err := r.bodies.read(w, q)
	if err != nil {
		return noRequest, noCall, err
	}
	var m modelRequest
	if err := json.Unmarshal(body, &m); err != nil {
		return noRequest, noCall, &RequestError{Status: http.StatusBadRequest, Code: "malformed-json", Detail: err.Error()}
	}
	service, err := r.modelService(m.Model)
	if err != nil {
		return noRequest, noCall, err
	}
	allowed, err := termsOf(q, service, customer)
	if err != nil {
		return noRequest, noCall, err
	}
	options := []fuchsiapitch.RequestOption{
		fuchsiapitch.WithEstimatedCost(m.cost(), int64(len(body))), fuchsiapitch.WithPrefixHash(m.prefix()),
		fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTimeLimit(allowed.limit),
	}
	if m.Stream && !strings.HasSuffix(q.URL.Path, "/embeddings") {
		options = append(options, fuchsiapitch.WithTokenStream())
	}
	request := fuchsiapitch.NewRequest(id, service.Name(), customer.Name(), allowed.rank, options...)
	call := fuchsiapitch.NewCall(id, q.Method, q.URL.Path, body, fuchsiapitch.WithHeader(contentHeader(q)))
	return request, call, nil
}

func unknownKey() error {
	return &RequestError{Status: http.StatusUnauthorized, Code: "unknown-key", Detail: "the bearer key belongs to no customer"}
}

// modelService returns the model service that a request names. A name after a
// colon selects an adapter, which the engine reads from the body.
func (r *Receiver) modelService(model string) (fuchsiapitch.Service, error) {
	name, _, _ := strings.Cut(model, ":")
	service, ok := r.configurations.Configuration().Service(fuchsiapitch.ServiceName(name))
	if !ok || service.Kind() != fuchsiapitch.ModelService {
		return fuchsiapitch.Service{}, &RequestError{Status: http.StatusNotFound, Code: "unknown-service", Detail: "no model service is named " + name}
	}
	return service, nil
}

// contentHeader returns the header fields of a model request that engines need.
func contentHeader(q *http.Request) map[string][]string {
	header := map[string][]string{headerContentType: {"application/json"}}
	if accept := q.Header.Values("Accept"); len(accept) > 0 {
		header["Accept"] = accept
	}
	return header
}

// modelList is the answer of /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (r *Receiver) serveModels(w http.ResponseWriter, q *http.Request) {
	if _, ok := r.authenticate(q); !ok {
		writeFailure(w, newRequestID(), true, failureOf(unknownKey()))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, s := range r.configurations.Configuration().Services() {
		if s.Kind() == fuchsiapitch.ModelService {
			list.Data = append(list.Data, modelEntry{ID: string(s.Name()), Object: "model", OwnedBy: "fuchsiapitch"})
		}
	}
	w.Header().Set(headerContentType, "application/json")
	// A caller that has gone cannot be told.
	_ = json.NewEncoder(w).Encode(list)
}
