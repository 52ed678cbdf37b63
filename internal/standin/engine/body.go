package engine

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultMaxTokens = 16

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// body is an OpenAI-shaped request.
type body struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Input               json.RawMessage `json:"input"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`

	// content is the hash of everything but the stream flags.
	content uint64
}

// parseBody returns a request and whether it is well formed.
func parseBody(data []byte) (body, bool) {
	var b body
	if json.Unmarshal(data, &b) != nil {
		return body{}, false
	}
	fields := make(map[string]json.RawMessage)
	if json.Unmarshal(data, &fields) != nil {
		return body{}, false
	}
	delete(fields, "stream")
	delete(fields, "stream_options")
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write(fields[name])
	}
	b.content = h.Sum64()
	return b, true
}

// tokenLimit returns the length of the completion in tokens.
func (b body) tokenLimit() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	if b.MaxTokens > 0 {
		return b.MaxTokens
	}
	return defaultMaxTokens
}

// prompt returns the text that the prefix cache works on: the JSON of the
// messages, the prompt or the input.
func (b body) prompt() string {
	for _, raw := range []json.RawMessage{b.Messages, b.Prompt, b.Input} {
		if len(raw) > 0 {
			return string(raw)
		}
	}
	return ""
}

var words = [...]string{
	"amber ", "blown ", "brass ", "clear ", "crown ", "flint ", "glaze ", "green ",
	"ivory ", "lamp ", "milk ", "opal ", "plate ", "rim ", "shade ", "smoke ",
}

// token returns the text of the n-th token, which depends on nothing but the
// content of the request and n.
func token(content uint64, n int64) string {
	x := (content ^ uint64(n)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	return words[x>>60]
}

// ExpectedText returns the text with which every engine answers a body, "" for
// a body that is not well formed.
func ExpectedText(data []byte) string {
	b, ok := parseBody(data)
	if !ok {
		return ""
	}
	var text strings.Builder
	for n := int64(1); n <= int64(b.tokenLimit()); n++ {
		text.WriteString(token(b.content, n))
	}
	return text.String()
}
