// Package streamer is a caller for measurements: it asks for streamed chats and
// records when each token arrives.
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
	maxIdlePerHost = 4096
	readBytes      = 16 << 10
	lowestMicros   = 1
	highestMicros  = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
)

var (
	eventEnd   = []byte("\n\n")
	eventID    = []byte("id: ")
	terminator = []byte("data: [DONE]\n\n")
)

// AnswerError reports an answer that is no whole stream.
type AnswerError struct {
	// Status is the HTTP status.
	Status int
	// Outcome is the outcome that the answer states, if any.
	Outcome string
	// Tokens is the number of tokens that arrived.
	Tokens int
	// Text is the beginning of the body, or the last event.
	Text string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("no whole stream: status %d, outcome %q, %d tokens: %s", e.Status, e.Outcome, e.Tokens, e.Text)
}

// Times are the latencies of many streams.
type Times struct {
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	tokens int
	whole  int
	failed int
	last   error
}

// NewTimes returns empty latencies.
func NewTimes() *Times {
	return &Times{
		first: hdrhistogram.New(lowestMicros, highestMicros, digits),
		gaps:  hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

// First returns a percentile of the time to the first token.
func (t *Times) First(percentile float64) time.Duration { return t.quantile(t.first, percentile) }

// Gap returns a percentile of the time between tokens.
func (t *Times) Gap(percentile float64) time.Duration { return t.quantile(t.gaps, percentile) }

func (t *Times) quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// Tokens returns the number of tokens that arrived.
func (t *Times) Tokens() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens
}

// Whole returns the number of whole streams.
func (t *Times) Whole() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.whole
}

// Failed returns the number of streams that were not whole, and the last error.
func (t *Times) Failed() (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed, t.last
}

// Merge adds the latencies of other streams. Two histories must not be merged
// into each other at once.
func (t *Times) Merge(other *Times) {
	t.mu.Lock()
	defer t.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	t.first.Merge(other.first)
	t.gaps.Merge(other.gaps)
	t.tokens += other.tokens
	t.whole += other.whole
	t.failed += other.failed
}

// Client asks for streams.
type Client struct {
	transport *http.Transport
	key       string
	rank      string
}

// Option sets one optional property of a client.
type Option func(*Client)

// WithRank has every request ask for a rank.
func WithRank(rank string) Option { return func(c *Client) { c.rank = rank } }

// New returns a client with a bearer key, and a clean-up function that closes
// its kept connections.
func New(key string, options ...Option) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}
	c := &Client{transport: t, key: key}
	for _, o := range options {
		o(c)
	}
	return c, t.CloseIdleConnections
}

// Chat sends one chat and reads its stream to the end.
func (c *Client) Chat(ctx context.Context, base, id, body string, times *Times) error {
	err := c.chat(ctx, base, id, body, times)
	times.mu.Lock()
	defer times.mu.Unlock()
	if err != nil {
		times.failed++
		times.last = err
		return err
	}
	times.whole++
	return nil
}

func (c *Client) chat(ctx context.Context, base, id, body string, times *Times) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", id)
	if c.rank != "" {
		r.Header.Set("X-Rank", c.rank)
	}
	started := time.Now()
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s := &stream{times: times, last: started}
	for {
		n, err := response.Body.Read(s.buffer[s.held:])
		s.take(n)
		if err != nil {
			return s.judge(response, err)
		}
	}
}

// stream counts the events of one answer as they arrive.
type stream struct {
	times  *Times
	last   time.Time
	tokens int
	done   bool
	held   int
	buffer [readBytes]byte
}

// take takes in bytes that have just arrived.
func (s *stream) take(n int) {
	now := time.Now()
	s.held += n
	start, fresh := 0, 0
	for {
		end := bytes.Index(s.buffer[start:s.held], eventEnd)
		if end < 0 {
			break
		}
		event := s.buffer[start : start+end+len(eventEnd)]
		if bytes.HasPrefix(event, eventID) {
			fresh++
		}
		s.done = bytes.Equal(event, terminator)
		start += len(event)
	}
	if s.held = copy(s.buffer[:], s.buffer[start:s.held]); s.held == len(s.buffer) {
		s.held = 0
	}
	if fresh > 0 {
		s.record(now, fresh)
	}
}

// record enters tokens that arrived together: the first of them after the time
// since the last ones, the others at once.
func (s *stream) record(now time.Time, fresh int) {
	micros := max(now.Sub(s.last).Microseconds(), lowestMicros)
	s.times.mu.Lock()
	defer s.times.mu.Unlock()
	times := s.times.gaps
	if s.tokens == 0 {
		times = s.times.first
	}
	// Values are within the limits of the histograms.
	_ = times.RecordValue(micros)
	_ = s.times.gaps.RecordValues(lowestMicros, int64(fresh-1))
	s.tokens += fresh
	s.times.tokens += fresh
	s.last = now
}

func (s *stream) judge(response *http.Response, err error) error {
	if s.done && errors.Is(err, io.EOF) {
		return nil
	}
	return &AnswerError{
		Status: response.StatusCode, Outcome: response.Header.Get("X-Request-Outcome"),
		Tokens: s.tokens, Text: string(s.buffer[:min(s.held, 200)]),
	}
}
