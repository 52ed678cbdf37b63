package receiver

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
)

const (
	// bytesPerToken is the assumed number of prompt bytes per token.
	bytesPerToken = 4
	// assumedCompletionTokens is the assumed length, in tokens, of a completion
	// without a limit.
	assumedCompletionTokens = 256
	// prefixBytes is the length of the prompt prefix that is hashed for cache
	// affinity.
	prefixBytes = 1024
)

// modelRequest holds the fields of an OpenAI request that routing and scheduling
// need.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
}

// prompt returns the input of the model as raw JSON, nil if there is none.
func (m modelRequest) prompt() []byte {
	for _, p := range []json.RawMessage{m.Messages, m.Prompt, m.Input} {
		if len(p) > 0 {
			return p
		}
	}
	return nil
}

// estimatedTokens returns an estimate of the tokens in the prompt and the
// completion.
func (m modelRequest) estimatedTokens() float64 {
	completionTokens := max(m.MaxTokens, m.MaxCompletionTokens)
	if completionTokens <= 0 {
		completionTokens = assumedCompletionTokens
	}
	return float64(len(m.prompt())/bytesPerToken + completionTokens)
}

// prefixHash returns the hash of the beginning of the prompt.
func (m modelRequest) prefixHash() uint64 {
	text := m.prompt()
	return xxhash.Sum64(text[:min(len(text), prefixBytes)])
}

func (r *Receiver) serveModelRequest(w http.ResponseWriter, q *http.Request) {
	r.serve(w, q, true, r.readModelRequest)
}

// readModelRequest is a requestReader for model services. Model requests may run
// more than once.
func (r *Receiver) readModelRequest(w http.ResponseWriter, q *http.Request, held *heldBody, id fuchsiapitch.RequestID) (fuchsiapitch.Request, fuchsiapitch.Call, error) {
	var noRequest fuchsiapitch.Request
	var noCall fuchsiapitch.Call
	configuration := r.configurationProvider.Configuration()
	customer, ok := authenticate(configuration, q)
	if !ok {
		return noRequest, noCall, unknownKeyError()
	}
	body, err := held.read(w, q, customer.Name())
	if err != nil {
		return noRequest, noCall, err
	}
	var content modelRequest
	if err := json.Unmarshal(body, &content); err != nil {
		return noRequest, noCall, &RequestError{Status: http.StatusBadRequest, Code: "malformed-json", Detail: err.Error()}
	}
	service, err := findModelService(configuration, content.Model)
	if err != nil {
		return noRequest, noCall, err
	}
	parameters, err := requestParametersOf(q, service, customer)
	if err != nil {
		return noRequest, noCall, err
	}
	options := []fuchsiapitch.RequestOption{
		fuchsiapitch.WithEstimatedCost(content.estimatedTokens(), int64(len(body))), fuchsiapitch.WithPrefixHash(content.prefixHash()),
		fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTimeLimit(parameters.timeLimit),
	}
	if content.Stream && !strings.HasSuffix(q.URL.Path, "/embeddings") {
		options = append(options, fuchsiapitch.WithTokenStream())
	}
	request := fuchsiapitch.NewRequest(id, service.Name(), customer.Name(), parameters.rank, options...)
	call := fuchsiapitch.NewCall(id, q.Method, q.URL.Path, body, fuchsiapitch.WithHeader(engineHeader(q)))
	return request, call, nil
}

func unknownKeyError() error {
	return &RequestError{Status: http.StatusUnauthorized, Code: "unknown-key", Detail: "the bearer key belongs to no customer"}
}

// findModelService returns the model service that a request names. The part after
// a colon selects an adapter; the engine reads it from the body.
func findModelService(configuration fuchsiapitch.Configuration, model string) (fuchsiapitch.Service, error) {
	name, _, _ := strings.Cut(model, ":")
	service, ok := configuration.Service(fuchsiapitch.ServiceName(name))
	if !ok || service.Kind() != fuchsiapitch.ModelService {
		return fuchsiapitch.Service{}, &RequestError{Status: http.StatusNotFound, Code: "unknown-service", Detail: "no model service is named " + name}
	}
	return service, nil
}

// engineHeader returns the header fields of a model request that engines need.
func engineHeader(q *http.Request) map[string][]string {
	header := map[string][]string{headerContentType: {"application/json"}}
	if accept := q.Header.Values("Accept"); len(accept) > 0 {
		header["Accept"] = accept
	}
	return header
}

// modelList is the response body of /v1/models.
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

func (r *Receiver) serveModelList(w http.ResponseWriter, q *http.Request) {
	collector.Dismiss(w, q)
	configuration := r.configurationProvider.Configuration()
	if _, ok := authenticate(configuration, q); !ok {
		writeErrorResponse(w, newRequestID(), true, errorResponseOf(unknownKeyError()))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, s := range configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService {
			list.Data = append(list.Data, modelEntry{ID: string(s.Name()), Object: "model", OwnedBy: "fuchsiapitch"})
		}
	}
	w.Header().Set(headerContentType, "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
