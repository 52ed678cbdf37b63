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

	requestIDHeader = "X-Request-Id"
	outcomeHeader   = "X-Request-Outcome"
	priorityHeader  = "X-Priority"
	resumeHeader    = "Last-Event-ID"
	groupHeader     = "X-Group"
	versionHeader   = "X-Model-Version"
	contentType     = "Content-Type"
	contentLength   = "Content-Length"
	jsonType        = "application/json"
	streamType      = "text/event-stream"

	streamEnd = "data: [DONE]\n\n"
)

// eventWriter renders the tokens of one stream as server-sent events.
type eventWriter struct {
	content uint64
	limit   int64
	usage   string
	eventID string
	head    string
	isChat  bool
	buffer  []byte
}

func newEventWriter(request string, b body, limit int64, isChat bool) *eventWriter {
	object := "text_completion"
	if isChat {
		object = "chat.completion.chunk"
	}
	w := &eventWriter{content: b.content, limit: limit, isChat: isChat, eventID: "id: " + request + "/"}
	w.head = `{"id":` + strconv.Quote("cmpl-"+request) + `,"object":"` + object +
		`","created":1,"model":` + strconv.Quote(b.Model) + `,"choices":[{"index":0,`
	if b.StreamOptions.IncludeUsage {
		w.usage = `,"usage":` + usage(b, limit)
	}
	return w
}

func usage(b body, completion int64) string {
	prompt := int64(len(b.prompt())/bytesPerToken + 1)
	return `{"prompt_tokens":` + strconv.FormatInt(prompt, 10) +
		`,"completion_tokens":` + strconv.FormatInt(completion, 10) +
		`,"total_tokens":` + strconv.FormatInt(prompt+completion, 10) + `}`
}

// add renders the n-th token.
func (w *eventWriter) add(n int64) {
	w.buffer = append(w.buffer, w.eventID...)
	w.buffer = strconv.AppendInt(w.buffer, n, 10)
	w.buffer = append(w.buffer, "\ndata: "...)
	w.buffer = append(w.buffer, w.head...)
	switch {
	case !w.isChat:
		w.buffer = append(w.buffer, `"text":"`...)
	case n == 1:
		w.buffer = append(w.buffer, `"delta":{"role":"assistant","content":"`...)
	default:
		w.buffer = append(w.buffer, `"delta":{"content":"`...)
	}
	w.buffer = append(w.buffer, token(w.content, n)...)
	w.buffer = append(w.buffer, '"')
	if w.isChat {
		w.buffer = append(w.buffer, '}')
	}
	if n < w.limit {
		w.buffer = append(w.buffer, `,"finish_reason":null}]}`...)
	} else {
		w.buffer = append(w.buffer, `,"finish_reason":"length"}]`...)
		w.buffer = append(w.buffer, w.usage...)
		w.buffer = append(w.buffer, '}')
	}
	w.buffer = append(w.buffer, "\n\n"...)
}

// wholeAnswer renders an answer that is not streamed.
func wholeAnswer(request string, b body, limit int64, isChat bool) []byte {
	var text strings.Builder
	for n := int64(1); n <= limit; n++ {
		text.WriteString(token(b.content, n))
	}
	object, choice := "text_completion", `"text":"`+text.String()+`"`
	if isChat {
		object = "chat.completion"
		choice = `"message":{"role":"assistant","content":"` + text.String() + `"}`
	}
	return []byte(`{"id":` + strconv.Quote("cmpl-"+request) + `,"object":"` + object +
		`","created":1,"model":` + strconv.Quote(b.Model) + `,"choices":[{"index":0,` + choice +
		`,"finish_reason":"length"}],"usage":` + usage(b, limit) + `}`)
}

// embeddingAnswer renders a vector that depends on the content alone.
func embeddingAnswer(b body) []byte {
	vector := make([]string, 0, 8)
	for n := range 8 {
		x := token(b.content, int64(n))
		vector = append(vector, "0."+strconv.Itoa(len(x)*10+n))
	}
	return []byte(`{"object":"list","data":[{"object":"embedding","index":0,"embedding":[` +
		strings.Join(vector, ",") + `]}],"model":` + strconv.Quote(b.Model) +
		`,"usage":{"prompt_tokens":1,"total_tokens":1}}`)
}

func writeJSON(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set(contentType, jsonType)
	w.Header().Set(contentLength, strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
