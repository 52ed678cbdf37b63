package engine

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	embeddingPath  = "/v1/embeddings"

	requestIDHeader        = "X-Request-Id"
	requestOutcomeHeader   = "X-Request-Outcome"
	priorityHeader         = "X-Priority"
	lastEventIDHeader      = "Last-Event-ID"
	groupHeader            = "X-Group"
	modelVersionHeader     = "X-Model-Version"
	contentTypeHeader      = "Content-Type"
	contentLengthHeader    = "Content-Length"
	jsonContentType        = "application/json"
	eventStreamContentType = "text/event-stream"

	streamTerminator = "data: [DONE]\n\n"
)

// eventEncoder encodes the tokens of one stream as server-sent events.
type eventEncoder struct {
	contentHash   uint64
	tokenLimit    int64
	usageField    string
	eventIDPrefix string
	dataPrefix    string
	isChat        bool
	buffer        []byte
}

func newEventEncoder(requestID string, b requestBody, tokenLimit int64, isChat bool) *eventEncoder {
	object := "text_completion"
	if isChat {
		object = "chat.completion.chunk"
	}
	e := &eventEncoder{contentHash: b.contentHash, tokenLimit: tokenLimit, isChat: isChat, eventIDPrefix: "id: " + requestID + "/"}
	e.dataPrefix = `{"id":` + strconv.Quote("cmpl-"+requestID) + `,"object":"` + object +
		`","created":1,"model":` + strconv.Quote(b.Model) + `,"choices":[{"index":0,`
	if b.StreamOptions.IncludeUsage {
		e.usageField = `,"usage":` + usageJSON(b, tokenLimit)
	}
	return e
}

func usageJSON(b requestBody, completionTokens int64) string {
	promptTokens := int64(len(b.prompt())/promptBytesPerToken + 1)
	return `{"prompt_tokens":` + strconv.FormatInt(promptTokens, 10) +
		`,"completion_tokens":` + strconv.FormatInt(completionTokens, 10) +
		`,"total_tokens":` + strconv.FormatInt(promptTokens+completionTokens, 10) + `}`
}

// appendToken appends the event of the n-th token to the buffer.
func (e *eventEncoder) appendToken(n int64) {
	e.buffer = append(e.buffer, e.eventIDPrefix...)
	e.buffer = strconv.AppendInt(e.buffer, n, 10)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, e.dataPrefix...)
	switch {
	case !e.isChat:
		e.buffer = append(e.buffer, `"text":"`...)
	case n == 1:
		e.buffer = append(e.buffer, `"delta":{"role":"assistant","content":"`...)
	default:
		e.buffer = append(e.buffer, `"delta":{"content":"`...)
	}
	e.buffer = append(e.buffer, tokenText(e.contentHash, n)...)
	e.buffer = append(e.buffer, '"')
	if e.isChat {
		e.buffer = append(e.buffer, '}')
	}
	if n < e.tokenLimit {
		e.buffer = append(e.buffer, `,"finish_reason":null}]}`...)
	} else {
		e.buffer = append(e.buffer, `,"finish_reason":"length"}]`...)
		e.buffer = append(e.buffer, e.usageField...)
		e.buffer = append(e.buffer, '}')
	}
	e.buffer = append(e.buffer, "\n\n"...)
}

// completionResponse returns the body of a response that is not streamed.
func completionResponse(requestID string, b requestBody, tokenLimit int64, isChat bool) []byte {
	var text strings.Builder
	for n := int64(1); n <= tokenLimit; n++ {
		text.WriteString(tokenText(b.contentHash, n))
	}
	object, choice := "text_completion", `"text":"`+text.String()+`"`
	if isChat {
		object = "chat.completion"
		choice = `"message":{"role":"assistant","content":"` + text.String() + `"}`
	}
	return []byte(`{"id":` + strconv.Quote("cmpl-"+requestID) + `,"object":"` + object +
		`","created":1,"model":` + strconv.Quote(b.Model) + `,"choices":[{"index":0,` + choice +
		`,"finish_reason":"length"}],"usage":` + usageJSON(b, tokenLimit) + `}`)
}

// embeddingResponse returns the body of an embedding response. The vector depends only
// on the content of the request.
func embeddingResponse(b requestBody) []byte {
	vector := make([]string, 0, 8)
	for n := range 8 {
		x := tokenText(b.contentHash, int64(n))
		vector = append(vector, "0."+strconv.Itoa(len(x)*10+n))
	}
	return []byte(`{"object":"list","data":[{"object":"embedding","index":0,"embedding":[` +
		strings.Join(vector, ",") + `]}],"model":` + strconv.Quote(b.Model) +
		`,"usage":{"prompt_tokens":1,"total_tokens":1}}`)
}

func writeJSON(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set(contentTypeHeader, jsonContentType)
	w.Header().Set(contentLengthHeader, strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
