package sender_test

import (
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Guards against the text or the header of an error in the middle of a token stream: a server
// that breaks off within an event may write them into the same body, with the end of an event
// behind. The tokens before are delivered, and the stream is not complete.
func TestErrorWithinStream(t *testing.T) {
	twoEvents := tokenEvent("r1", 1) + tokenEvent("r1", 2)
	for name, text := range map[string]string{
		"header":                          "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n",
		"header within an event":          "id: r1/3\ndata: tokHTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nfailed\n\n",
		"header after a line of an event": "id: r1/3\nHTTP/1.1 500 Internal Server Error\nContent-Length: 8\n\n",
		"status line within an event":     "id: r1/3\ndata: tokHTTP/1.1 500 Internal Server Error\r\n\n",
		"error text":                      "Internal Server Error\n\n",
		"error text within an event":      "id: r1/3\ndata: tok\nInternal Server Error\n\n",
		"error as JSON":                   `{"error":"failed"}` + "\n\n",
		"event that begins again":         "id: r1/3\nid: r1/3\ndata: token\n\n",
		"event of another request within": "id: r1/3\nid: r2/3\ndata: token\n\n",
		"event without data":              "id: r1/3\nevent: token\n\n",
		"error event":                     "event: error\ndata: failed\n\n",
		"comment with a header":           ": aliveHTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nfailed\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, tokens, err := readStream(t, 0, twoEvents+text+tokenEvent("r1", 4)+doneEvent)
			assertType[*fuchsiapitch.TruncatedResponseError](t, err)
			if got != twoEvents || tokens != 2 {
				t.Errorf("got %d tokens %q, want %q", tokens, got, twoEvents)
			}
		})
	}
	for name, event := range map[string]string{
		"several lines of data": "id: r1/3\ndata: a\ndata:\ndata: id: r2/9\n\n",
		"a name and a comment":  "id: r1/3\nevent: token\n: alive\nretry: 1000\ndata: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, tokens, err := readStream(t, 0, twoEvents+event+doneEvent)
			assertNoError(t, err, "read")
			if want := twoEvents + event + doneEvent; got != want || tokens != 3 {
				t.Errorf("got %d tokens %q, want %q", tokens, got, want)
			}
		})
	}
}
