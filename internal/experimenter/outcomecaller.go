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

const callerTimeout = 20 * time.Second

// outcomeCaller is one caller. Its own library replays nothing, so that what
// the ledger shows is the system's doing.
type outcomeCaller struct {
	bed       *outcomeBed
	transport *http.Transport
}

func newOutcomeCaller(bed *outcomeBed) *outcomeCaller {
	return &outcomeCaller{bed: bed, transport: &http.Transport{DisableCompression: true}}
}

func (c *outcomeCaller) close() { c.transport.CloseIdleConnections() }

// unreplayable hides what would let package net/http send a body again.
type unreplayable struct{ io.Reader }

// Close implements io.Closer.
func (unreplayable) Close() error { return nil }

// said is what a caller was told of one call.
type said int

const (
	saidWhole said = iota + 1
	saidNotRun
	saidUnknown
	saidFailed
	// saidNothing means that the connection to the entry host broke.
	saidNothing
	// saidCrossed means that the answer belongs to another request.
	saidCrossed
)

// send sends one call and returns what the caller is told and the body.
func (c *outcomeCaller) send(ctx context.Context, method, url, key, body string) (said, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	response, err := c.roundTrip(ctx, method, url, key, body)
	if err != nil {
		return saidOfError(err), nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return saidNothing, nil
	}
	switch response.Header.Get("X-Request-Outcome") {
	case "not-run":
		return saidNotRun, data
	case "unknown":
		return saidUnknown, data
	case "failed":
		return saidFailed, data
	}
	return saidWhole, data
}

func (c *outcomeCaller) roundTrip(ctx context.Context, method, url, key, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, unreplayable{strings.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Authorization", "Bearer "+outcomeKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return c.transport.RoundTrip(request)
}

// saidOfError tells a connection that was refused, over which nothing was sent,
// from one that broke.
func saidOfError(err error) said {
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		return saidNotRun
	}
	return saidNothing
}

// book sends one booking and checks that the answer is to it.
func (c *outcomeCaller) book(ctx context.Context, base, reference, key string) said {
	body := fmt.Sprintf(`{"reference":%q}`, reference)
	s, data := c.send(ctx, http.MethodPost, base+"/services/"+outcomeApplication+"/bookings", key, body)
	if s != saidWhole {
		return s
	}
	var answer struct {
		Reference string `json:"reference"`
	}
	if json.Unmarshal(data, &answer) != nil || answer.Reference != reference {
		return saidCrossed
	}
	return saidWhole
}

// lookUp sends one call that may be repeated.
func (c *outcomeCaller) lookUp(ctx context.Context, base, name string) said {
	s, data := c.send(ctx, http.MethodGet, base+"/services/"+outcomeApplication+"/lookups/"+name, "", "")
	if s == saidWhole && !bytes.Contains(data, []byte(fmt.Sprintf(`"name":%q`, name))) {
		return saidCrossed
	}
	return s
}

// streamEnd is the way in which a stream ended for its caller.
type streamEnd int

const (
	streamWhole streamEnd = iota + 1
	// streamRefused means that the stream was not run or failed before it began.
	streamRefused
	// streamError means that an error event ended it.
	streamError
	// streamLost means that the connection to the entry host broke.
	streamLost
	// streamSilent means that it ended without a terminator or an error.
	streamSilent
)

// streamResult is what a caller received of one stream.
type streamResult struct {
	end      streamEnd
	text     string
	tokens   int
	repeated int
	lost     int
}

// stream asks for one stream and checks the numbers of its tokens.
func (c *outcomeCaller) stream(ctx context.Context, base, body string) streamResult {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	response, err := c.roundTrip(ctx, http.MethodPost, base+"/v1/chat/completions", "", body)
	if err != nil {
		return streamResult{end: streamLost}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return streamResult{end: streamRefused}
	}
	data, err := io.ReadAll(response.Body)
	r := readStream(data)
	if r.end == streamSilent && err != nil {
		r.end = streamLost
	}
	return r
}

func readStream(data []byte) streamResult {
	r := streamResult{end: streamSilent}
	var text strings.Builder
	for event := range bytes.SplitSeq(data, []byte("\n\n")) {
		switch {
		case bytes.HasPrefix(event, []byte("id: ")):
			r.count(event)
			text.WriteString(contentOf(event))
		case bytes.Equal(event, []byte("data: [DONE]")):
			r.end = streamWhole
		case bytes.Contains(event, []byte(`"error"`)):
			r.end = streamError
		}
	}
	r.text = text.String()
	return r
}

// count checks the number of a token.
func (r *streamResult) count(event []byte) {
	line, _, _ := bytes.Cut(event, []byte("\n"))
	number := 0
	_, err := fmt.Sscanf(string(line[bytes.LastIndexByte(line, '/')+1:]), "%d", &number)
	switch {
	case err != nil || number <= r.tokens:
		r.repeated++
	case number > r.tokens+1:
		r.lost += number - r.tokens - 1
		r.tokens = number
	default:
		r.tokens = number
	}
}

// contentOf returns the text of a token.
func contentOf(event []byte) string {
	_, rest, _ := bytes.Cut(event, []byte(`"content":"`))
	text, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(text)
}
