// Package streamer is a load-test client: it sends streaming chat requests and records
// the latency of each token.
package streamer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxIdleConnsPerHost = 4096
	readBufferBytes     = 16 << 10
	minMicros           = 1
	maxMicros           = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

var (
	eventSeparator   = []byte("\n\n")
	tokenEventPrefix = []byte("id: ")
	doneEvent        = []byte("data: [DONE]\n\n")
)

// IncompleteStreamError reports a response that is not a complete token stream.
type IncompleteStreamError struct {
	// Status is the HTTP status.
	Status int
	// Outcome is the outcome in the header of the response, "" if absent.
	Outcome string
	// ReceivedTokens is the number of tokens that arrived.
	ReceivedTokens int
	// Excerpt holds up to 200 bytes of what follows the last complete event. It is the
	// beginning of the body if the response has no events.
	Excerpt string
}

// Error implements error.
func (e *IncompleteStreamError) Error() string {
	return fmt.Sprintf("incomplete stream: status %d, outcome %q, %d tokens: %s", e.Status, e.Outcome, e.ReceivedTokens, e.Excerpt)
}

// Latencies collects the token latencies of many streams. It is safe for concurrent
// use.
type Latencies struct {
	mutex           sync.Mutex
	firstToken      *hdrhistogram.Histogram
	interToken      *hdrhistogram.Histogram
	receivedTokens  int
	completeStreams int
	failedStreams   int
	lastError       error
}

// NewLatencies returns an empty collection of latencies.
func NewLatencies() *Latencies {
	return &Latencies{
		firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		interToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// FirstToken returns a percentile, from 0 to 100, of the time to the first token.
func (l *Latencies) FirstToken(percentile float64) time.Duration {
	return l.durationAt(l.firstToken, percentile)
}

// InterToken returns a percentile, from 0 to 100, of the time between consecutive
// tokens.
func (l *Latencies) InterToken(percentile float64) time.Duration {
	return l.durationAt(l.interToken, percentile)
}

func (l *Latencies) durationAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// ReceivedTokens returns the number of tokens that arrived.
func (l *Latencies) ReceivedTokens() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.receivedTokens
}

// CompleteStreams returns the number of complete streams.
func (l *Latencies) CompleteStreams() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.completeStreams
}

// FailedStreams returns the number of streams that failed or were incomplete, and the
// last error.
func (l *Latencies) FailedStreams() (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failedStreams, l.lastError
}

// Merge adds the latencies of other streams, without their last error. Two collections
// must not be merged into each other concurrently, which could deadlock.
func (l *Latencies) Merge(other *Latencies) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	other.mutex.Lock()
	defer other.mutex.Unlock()
	l.firstToken.Merge(other.firstToken)
	l.interToken.Merge(other.interToken)
	l.receivedTokens += other.receivedTokens
	l.completeStreams += other.completeStreams
	l.failedStreams += other.failedStreams
}

// Client sends streaming chat requests.
type Client struct {
	transport *http.Transport
	apiKey    string
	rank      string
}

// Option sets one optional property of a client.
type Option func(*Client)

// WithRank sets the rank in the header of every request.
func WithRank(rank string) Option { return func(c *Client) { c.rank = rank } }

// New returns a client that authenticates itself with an API key as a bearer token, and
// a function that closes its idle connections.
func New(apiKey string, options ...Option) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	c := &Client{transport: transport, apiKey: apiKey}
	for _, o := range options {
		o(c)
	}
	return c, transport.CloseIdleConnections
}

// Chat sends one chat request, reads the stream to its end and records its latencies.
func (c *Client) Chat(ctx context.Context, baseURL, requestID, body string, latencies *Latencies) error {
	err := c.readChat(ctx, baseURL, requestID, body, latencies)
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if err != nil {
		latencies.failedStreams++
		latencies.lastError = err
		return err
	}
	latencies.completeStreams++
	return nil
}

func (c *Client) readChat(ctx context.Context, baseURL, requestID, body string, latencies *Latencies) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", requestID)
	if c.rank != "" {
		request.Header.Set("X-Rank", c.rank)
	}
	sentAt := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s := &streamReader{latencies: latencies, lastTokenAt: sentAt}
	for {
		n, err := response.Body.Read(s.buffer[s.bufferedBytes:])
		s.consume(n)
		if err != nil {
			return s.result(response, err)
		}
	}
}

// streamReader parses the events of one response and records their tokens as they
// arrive.
type streamReader struct {
	latencies *Latencies
	// lastTokenAt is the time of the last token, or of the request if there is none yet.
	lastTokenAt    time.Time
	receivedTokens int
	// endsWithDoneEvent is true if the last complete event is the one that ends a
	// stream.
	endsWithDoneEvent bool
	// bufferedBytes is the number of bytes at the start of the buffer that belong to an
	// incomplete event.
	bufferedBytes int
	buffer        [readBufferBytes]byte
}

// consume processes n bytes that have just been read into the buffer.
func (s *streamReader) consume(n int) {
	now := time.Now()
	s.bufferedBytes += n
	start, newTokens := 0, 0
	for {
		end := bytes.Index(s.buffer[start:s.bufferedBytes], eventSeparator)
		if end < 0 {
			break
		}
		event := s.buffer[start : start+end+len(eventSeparator)]
		if bytes.HasPrefix(event, tokenEventPrefix) {
			newTokens++
		}
		s.endsWithDoneEvent = bytes.Equal(event, doneEvent)
		start += len(event)
	}
	// An event that fills the whole buffer is discarded.
	if s.bufferedBytes = copy(s.buffer[:], s.buffer[start:s.bufferedBytes]); s.bufferedBytes == len(s.buffer) {
		s.bufferedBytes = 0
	}
	if newTokens > 0 {
		s.recordTokens(now, newTokens)
	}
}

// recordTokens records tokens that arrived together. The first of them gets the time
// since the last token as its latency, the others get the minimum.
func (s *streamReader) recordTokens(now time.Time, newTokens int) {
	elapsedMicros := max(now.Sub(s.lastTokenAt).Microseconds(), minMicros)
	s.latencies.mutex.Lock()
	defer s.latencies.mutex.Unlock()
	histogram := s.latencies.interToken
	if s.receivedTokens == 0 {
		histogram = s.latencies.firstToken
	}
	// The error is ignored: the values are within the range of the histograms.
	_ = histogram.RecordValue(elapsedMicros)
	_ = s.latencies.interToken.RecordValues(minMicros, int64(newTokens-1))
	s.receivedTokens += newTokens
	s.latencies.receivedTokens += newTokens
	s.lastTokenAt = now
}

func (s *streamReader) result(response *http.Response, readError error) error {
	if s.endsWithDoneEvent && errors.Is(readError, io.EOF) {
		return nil
	}
	return &IncompleteStreamError{
		Status: response.StatusCode, Outcome: response.Header.Get("X-Request-Outcome"),
		ReceivedTokens: s.receivedTokens, Excerpt: string(s.buffer[:min(s.bufferedBytes, 200)]),
	}
}
