package engine

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultMaxTokens = 16

// streamOptions are the options of a streamed response.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// requestBody is a request body in the format of the OpenAI API.
type requestBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`

	// contentHash covers all fields but stream and stream_options.
	contentHash uint64
}

// parseRequestBody decodes a request body. It returns false if the body is malformed.
func parseRequestBody(data []byte) (requestBody, bool) {
	var b requestBody
	if json.Unmarshal(data, &b) != nil {
		return requestBody{}, false
	}
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(data, &fields) != nil {
		return requestBody{}, false
	}
	delete(fields, "stream")
	delete(fields, "stream_options")
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write(fields[name])
	}
	b.contentHash = h.Sum64()
	return b, true
}

// completionLength returns the length of the completion in tokens. Every completion is
// as long as the request allows.
func (b requestBody) completionLength() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	if b.MaxTokens > 0 {
		return b.MaxTokens
	}
	return defaultMaxTokens
}

// prompt returns the text that the prefix cache hashes: the JSON of the messages, the
// prompt or the input.
func (b requestBody) prompt() string {
	for _, raw := range []json.RawMessage{b.Messages, b.Prompt, b.Input} {
		if len(raw) > 0 {
			return string(raw)
		}
	}
	return ""
}

var vocabulary = [...]string{
	"amber ", "blown ", "brass ", "clear ", "crown ", "flint ", "glaze ", "green ",
	"ivory ", "lamp ", "milk ", "opal ", "plate ", "rim ", "shade ", "smoke ",
}

// tokenText returns the text of the n-th token. It depends only on the content of the
// request and n, so that another engine resumes a stream with the same text.
func tokenText(contentHash uint64, n int64) string {
	x := (contentHash ^ uint64(n)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	return vocabulary[x>>60]
}

// ExpectedText returns the text that every engine generates for a request body, or ""
// for a malformed body.
func ExpectedText(data []byte) string {
	b, ok := parseRequestBody(data)
	if !ok {
		return ""
	}
	var text strings.Builder
	for n := int64(1); n <= int64(b.completionLength()); n++ {
		text.WriteString(tokenText(b.contentHash, n))
	}
	return text.String()
}
