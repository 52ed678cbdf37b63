package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const outcomeCallTimeout = 20 * time.Second

// outcomeClient sends the calls of one client. Its HTTP transport never replays
// a request, so that every repeated run in the ledger is due to the system.
type outcomeClient struct {
	testbed   *outcomeTestbed
	transport *http.Transport
}

func newOutcomeClient(testbed *outcomeTestbed) *outcomeClient {
	return &outcomeClient{testbed: testbed, transport: &http.Transport{DisableCompression: true}}
}

func (c *outcomeClient) close() { c.transport.CloseIdleConnections() }

// singleUseBody is a body that net/http cannot read a second time, because it
// hides the type of its reader.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// callOutcome is the outcome of a call as reported to its client.
type callOutcome int

const (
	callAnswered callOutcome = iota + 1
	callNotRun
	callUnknown
	callFailed
	// callDisconnected means that the connection to the entry host broke.
	callDisconnected
	// callMismatched means that the response belongs to another request.
	callMismatched
)

// call sends one call and returns its outcome and the body of the response.
func (c *outcomeClient) call(ctx context.Context, method, url, key, body string) (callOutcome, []byte) {
	ctx, cancel := context.WithTimeout(ctx, outcomeCallTimeout)
	defer cancel()
	response, err := c.roundTrip(ctx, method, url, key, body)
	if err != nil {
		return outcomeOfError(err), nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return callDisconnected, nil
	}
	switch response.Header.Get("X-Request-Outcome") {
	case "not-run":
		return callNotRun, data
	case "unknown":
		return callUnknown, data
	case "failed":
		return callFailed, data
	}
	return callAnswered, data
}

func (c *outcomeClient) roundTrip(ctx context.Context, method, url, key, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, singleUseBody{strings.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer "+outcomeAPIKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return c.transport.RoundTrip(request)
}

// outcomeOfError distinguishes a failed dial, after which nothing was sent,
// from a connection that broke.
func outcomeOfError(err error) callOutcome {
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		return callNotRun
	}
	return callDisconnected
}

// book sends one booking and checks that the response belongs to it.
func (c *outcomeClient) book(ctx context.Context, baseURL, reference, key string) callOutcome {
	body := fmt.Sprintf(`{"reference":%q}`, reference)
	outcome, data := c.call(ctx, http.MethodPost, baseURL+"/services/"+outcomeApplicationService+"/bookings", key, body)
	if outcome != callAnswered {
		return outcome
	}
	var booking struct {
		Reference string `json:"reference"`
	}
	if json.Unmarshal(data, &booking) != nil || booking.Reference != reference {
		return callMismatched
	}
	return callAnswered
}

// lookUp sends one idempotent lookup and checks that the response belongs to
// it.
func (c *outcomeClient) lookUp(ctx context.Context, baseURL, name string) callOutcome {
	outcome, data := c.call(ctx, http.MethodGet, baseURL+"/services/"+outcomeApplicationService+"/lookups/"+name, "", "")
	if outcome == callAnswered && !bytes.Contains(data, []byte(fmt.Sprintf(`"name":%q`, name))) {
		return callMismatched
	}
	return outcome
}

// streamOutcome is the outcome of a stream as seen by its client.
type streamOutcome int

const (
	streamComplete streamOutcome = iota + 1
	// streamRefused means that the stream was not run or failed before its
	// first event.
	streamRefused
	// streamErrorEvent means that the stream ended with an error event.
	streamErrorEvent
	// streamDisconnected means that the connection to the entry host broke.
	streamDisconnected
	// streamTruncated means that the stream ended without a terminator or an
	// error event.
	streamTruncated
)

// streamResult is what a client received of one stream. lastToken is the
// highest token number received. repeatedCount and lostCount count the tokens
// that were repeated or missing.
type streamResult struct {
	outcome       streamOutcome
	text          string
	lastToken     int
	repeatedCount int
	lostCount     int
}

// stream requests one stream and checks the order of its tokens.
func (c *outcomeClient) stream(ctx context.Context, baseURL, body string) streamResult {
	ctx, cancel := context.WithTimeout(ctx, outcomeCallTimeout)
	defer cancel()
	response, err := c.roundTrip(ctx, http.MethodPost, baseURL+"/v1/chat/completions", "", body)
	if err != nil {
		return streamResult{outcome: streamDisconnected}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return streamResult{outcome: streamRefused}
	}
	data, err := io.ReadAll(response.Body)
	r := parseStream(data)
	if r.outcome == streamTruncated && err != nil {
		r.outcome = streamDisconnected
	}
	return r
}

func parseStream(data []byte) streamResult {
	r := streamResult{outcome: streamTruncated}
	var text strings.Builder
	for event := range bytes.SplitSeq(data, []byte("\n\n")) {
		switch {
		case bytes.HasPrefix(event, []byte("id: ")):
			r.checkTokenNumber(event)
			text.WriteString(tokenText(event))
		case bytes.Equal(event, []byte("data: [DONE]")):
			r.outcome = streamComplete
		case bytes.Contains(event, []byte(`"error"`)):
			r.outcome = streamErrorEvent
		}
	}
	r.text = text.String()
	return r
}

// checkTokenNumber counts repeated and lost tokens by the number in the event
// identifier.
func (r *streamResult) checkTokenNumber(event []byte) {
	line, _, _ := bytes.Cut(event, []byte("\n"))
	number := 0
	_, err := fmt.Sscanf(string(line[bytes.LastIndexByte(line, '/')+1:]), "%d", &number)
	switch {
	case err != nil || number <= r.lastToken:
		r.repeatedCount++
	case number > r.lastToken+1:
		r.lostCount += number - r.lastToken - 1
		r.lastToken = number
	default:
		r.lastToken = number
	}
}

// tokenText returns the text of a token event.
func tokenText(event []byte) string {
	_, rest, _ := bytes.Cut(event, []byte(`"content":"`))
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(text)
}
