package launcher

import (
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

func newOpenAIClient(h *Host, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(h.URL()+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func newChat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(9),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("quote an opal lamp shade")},
	}
}

func assertText(t *testing.T, got, want, what string) {
	t.Helper()
	if got != want || got == "" {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// TestOpenAIClient checks that OpenAI's client library works against entry hosts.
func TestOpenAIClient(t *testing.T) {
	cluster, _ := startCluster(t)
	client := newOpenAIClient(cluster.Hosts()[0], testAPIKey)
	plainResponse, err := client.Chat.Completions.New(t.Context(), newChat("vidrio-llm"))
	assertNoError(t, err, "chat")

	t.Run("a streamed chat has the text of the plain one", func(t *testing.T) {
		for _, h := range cluster.Hosts() {
			hostClient := newOpenAIClient(h, testAPIKey)
			stream := hostClient.Chat.Completions.NewStreaming(t.Context(), newChat("vidrio-llm"))
			var streamed openai.ChatCompletionAccumulator
			for stream.Next() {
				if !streamed.AddChunk(stream.Current()) {
					t.Fatalf("got a chunk of another completion, want chunks of one")
				}
			}
			assertNoError(t, stream.Err(), "stream")
			assertText(t, streamed.Choices[0].Message.Content, plainResponse.Choices[0].Message.Content, "text")
			assertText(t, streamed.Choices[0].FinishReason, "length", "finish reason")
		}
	})
	t.Run("completions, plain and streamed", func(t *testing.T) {
		params := openai.CompletionNewParams{
			Model: "vidrio-llm", MaxTokens: openai.Int(5),
			Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a clear rim")},
		}
		plainCompletion, err := client.Completions.New(t.Context(), params)
		assertNoError(t, err, "completion")
		stream := client.Completions.NewStreaming(t.Context(), params)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Text
		}
		assertNoError(t, stream.Err(), "stream")
		assertText(t, text, plainCompletion.Choices[0].Text, "text")
	})
	t.Run("embeddings", func(t *testing.T) {
		response, err := client.Embeddings.New(t.Context(), openai.EmbeddingNewParams{
			Model: "vidrio-llm", Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("brass")},
		})
		assertNoError(t, err, "embedding")
		if got := len(response.Data[0].Embedding); got != 8 {
			t.Errorf("dimensions: got %d, want 8", got)
		}
	})
	t.Run("models", func(t *testing.T) {
		models, err := client.Models.List(t.Context())
		assertNoError(t, err, "models")
		if len(models.Data) != 1 {
			t.Fatalf("models: got %d, want 1", len(models.Data))
		}
		assertText(t, models.Data[0].ID, "vidrio-llm", "model")
	})
}

// TestOpenAIClientFailures checks that the client library decodes refusals.
func TestOpenAIClientFailures(t *testing.T) {
	cluster, _ := startCluster(t)
	cases := []struct {
		name, key, model string
		status           int
	}{
		{"unknown key", "sk-other", "vidrio-llm", http.StatusUnauthorized},
		{"unknown model", testAPIKey, "absent", http.StatusNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newOpenAIClient(cluster.Hosts()[0], c.key)
			_, err := client.Chat.Completions.New(t.Context(), newChat(c.model))
			var apiError *openai.Error
			if !errors.As(err, &apiError) {
				t.Fatalf("got error %v, want an openai.Error", err)
			}
			if apiError.StatusCode != c.status || apiError.Message == "" {
				t.Errorf("got status %d and message %q, want %d and a message", apiError.StatusCode, apiError.Message, c.status)
			}
			if got := apiError.Response.Header.Get("X-Request-Outcome"); got != "not-run" {
				t.Errorf("got outcome %q, want not-run", got)
			}
		})
	}
}
