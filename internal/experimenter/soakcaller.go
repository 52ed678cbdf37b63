package experimenter

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

const (
	soakStreamTokens = 40
	soakCallTimeout  = 30 * time.Second
	soakMaxAttempts  = 4
	soakMaxNotes     = 20
	outcomeNotRun    = "not-run"
)

// soakCounters counts the outcomes and the violated guarantees that the clients
// have observed.
type soakCounters struct {
	countsByOutcome   map[string]int
	wrongResponses    int
	disorderedStreams int
	truncatedStreams  int
	notes             []string
}

// soakClients sends requests of every kind and checks the responses.
type soakClients struct {
	testbed   *soakTestbed
	transport *http.Transport
	hostURLs  []string

	mu             sync.Mutex
	counters       soakCounters
	notRunBookings []string
}

func newSoakClients(testbed *soakTestbed) *soakClients {
	c := &soakClients{
		testbed: testbed, transport: &http.Transport{MaxIdleConnsPerHost: soakStreamWorkers},
		counters: soakCounters{countsByOutcome: make(map[string]int)},
	}
	for _, h := range testbed.cluster.Hosts() {
		c.hostURLs = append(c.hostURLs, h.URL())
	}
	return c
}

func (c *soakClients) snapshot() soakCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

func (c *soakClients) countOutcome(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.countsByOutcome[name]++
}

// recordFailure counts a violated guarantee and adds a note unless there are
// soakMaxNotes notes already.
func (c *soakClients) recordFailure(counter *int, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
	if len(c.counters.notes) < soakMaxNotes {
		c.counters.notes = append(c.counters.notes, note)
	}
}

// addNote keeps a line that is printed at the end of the run.
func (c *soakClients) addNote(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.notes = append(c.counters.notes, line)
}

// run sends requests from all workers until the context ends.
func (c *soakClients) run(ctx context.Context, seed uint64) {
	var running sync.WaitGroup
	startWorkers := func(workers int, kind string, operation func(context.Context, *rand.Rand, string)) {
		for w := range workers {
			random := rand.New(rand.NewPCG(seed, uint64(len(kind)*100+w))) //nolint:gosec // a seed makes the run repeatable
			running.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					operation(ctx, random, fmt.Sprintf("%s-%d-%d", kind, w, n))
					time.Sleep(soakRetryInterval)
				}
			})
		}
	}
	startWorkers(soakStreamWorkers, "stream", c.stream)
	startWorkers(soakBookingWorkers, "booking", c.book)
	startWorkers(soakKeyedBookingWorkers, "keyed", c.bookKeyed)
	startWorkers(soakLookupWorkers, "lookup", c.lookUp)
	running.Wait()
	c.transport.CloseIdleConnections()
}

// send sends one request. The caller closes the body of the response.
func (c *soakClients) send(ctx context.Context, method, url, body, key string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+soakAPIKey)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return c.transport.RoundTrip(r)
}

func (c *soakClients) pickHostURL(random *rand.Rand) string {
	return pickRandom(random, c.testbed.cluster.Hosts()).URL()
}

// call sends one request and returns the body and the outcome of the response.
// The outcome is "lost" without a complete response.
func (c *soakClients) call(ctx context.Context, method, url, body, key string) (data, outcome string) {
	ctx, cancel := context.WithTimeout(ctx, soakCallTimeout)
	defer cancel()
	response, err := c.send(ctx, method, url, body, key)
	if err != nil {
		return "", "lost"
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "", "lost"
	}
	return string(content), response.Header.Get("X-Request-Outcome")
}

// book makes one booking. A booking that was not run is retried at a random
// host, for at most soakMaxAttempts attempts.
func (c *soakClients) book(ctx context.Context, random *rand.Rand, reference string) {
	body := `{"reference":"` + reference + `"}`
	for range soakMaxAttempts {
		data, outcome := c.call(ctx, http.MethodPost, c.pickHostURL(random)+"/services/"+soakApplicationService+"/bookings", body, "")
		c.countOutcome("booking-" + outcome)
		c.checkBooking(reference, data, outcome)
		if outcome != outcomeNotRun {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRunBookings = append(c.notRunBookings, reference)
}

// bookKeyed makes one booking with an idempotency key and retries it until it
// has succeeded, for at most soakMaxAttempts attempts.
func (c *soakClients) bookKeyed(ctx context.Context, random *rand.Rand, reference string) {
	body := `{"reference":"` + reference + `"}`
	for range soakMaxAttempts {
		data, outcome := c.call(ctx, http.MethodPost, c.pickHostURL(random)+"/services/"+soakApplicationService+"/bookings", body, reference)
		c.countOutcome("keyed-" + outcome)
		c.checkBooking(reference, data, outcome)
		if outcome == "succeeded" {
			return
		}
	}
}

func (c *soakClients) checkBooking(reference, data, outcome string) {
	if outcome != "succeeded" {
		return
	}
	var booking struct {
		Reference string `json:"reference"`
	}
	if json.Unmarshal([]byte(data), &booking) != nil || booking.Reference != reference {
		c.recordFailure(&c.counters.wrongResponses, "booking "+reference+" was answered with "+data)
	}
}

func (c *soakClients) lookUp(ctx context.Context, random *rand.Rand, name string) {
	data, outcome := c.call(ctx, http.MethodGet, c.pickHostURL(random)+"/services/"+soakApplicationService+"/lookups/"+name, "", "")
	c.countOutcome("lookup-" + outcome)
	if outcome == "succeeded" && !strings.Contains(data, `"`+name+`"`) {
		c.recordFailure(&c.counters.wrongResponses, "lookup "+name+" was answered with "+data)
	}
}

// isServing reports whether a host serves a chat and a lookup.
func (c *soakClients) isServing(ctx context.Context, url string) bool {
	chat := fmt.Sprintf(`{"model":%q,"messages":[],"max_tokens":2}`, soakModelService)
	_, chatOutcome := c.call(ctx, http.MethodPost, url+"/v1/chat/completions", chat, "")
	_, lookupOutcome := c.call(ctx, http.MethodGet, url+"/services/"+soakApplicationService+"/lookups/x", "", "")
	return chatOutcome == "succeeded" && lookupOutcome == "succeeded"
}

// checkLedger returns the number of bookings that were run although every
// attempt was reported as not-run, and of those that were run more than once.
func (c *soakClients) checkLedger() (falseNotRun, doubled int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reference := range c.notRunBookings {
		if c.testbed.fleet.Ledger().RunCount(reference) > 0 {
			falseNotRun++
			c.counters.notes = append(c.counters.notes, "reported not-run but was run: "+reference)
		}
	}
	for _, reference := range c.testbed.fleet.Ledger().RepeatedBookings() {
		doubled++
		c.counters.notes = append(c.counters.notes, "run more than once: "+reference)
	}
	return falseNotRun, doubled
}

// stream requests one chat stream and checks each token.
func (c *soakClients) stream(ctx context.Context, random *rand.Rand, name string) {
	ctx, cancel := context.WithTimeout(ctx, soakCallTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, soakModelService, name, soakStreamTokens)
	response, err := c.send(ctx, http.MethodPost, c.pickHostURL(random)+"/v1/chat/completions", body, "")
	if err != nil {
		c.countOutcome("stream-lost")
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.countOutcome("stream-" + response.Header.Get("X-Request-Outcome"))
		return
	}
	s := soakStream{requestID: response.Header.Get("X-Request-Id")}
	err = s.read(response.Body)
	c.checkStream(name, body, &s, err)
}

func (c *soakClients) checkStream(name, body string, s *soakStream, err error) {
	want := engine.ExpectedText([]byte(body))
	switch {
	case s.orderError != "":
		c.recordFailure(&c.counters.disorderedStreams, "stream "+name+": "+s.orderError)
	case !strings.HasPrefix(want, s.text.String()):
		c.recordFailure(&c.counters.wrongResponses, "stream "+name+" has the text of another request")
	case s.isComplete && s.text.String() != want:
		c.recordFailure(&c.counters.disorderedStreams, "stream "+name+" was terminated before its last token")
	case s.isComplete:
		c.countOutcome("stream-succeeded")
	case s.hasErrorEvent:
		c.countOutcome("stream-error-event")
	case err != nil:
		c.countOutcome("stream-lost")
	default:
		c.recordFailure(&c.counters.truncatedStreams, "stream "+name+" ended without a terminator or an error event")
	}
}

// soakStream is what a client received of one stream. orderError describes the
// last token that was out of order, "" if there was none.
type soakStream struct {
	requestID     string
	tokenCount    int
	text          strings.Builder
	isComplete    bool
	hasErrorEvent bool
	orderError    string
}

// read reads the events of a stream to the end of its body.
func (s *soakStream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.tokenCount++
			if want := fmt.Sprintf("%s/%d", s.requestID, s.tokenCount); id != want {
				s.orderError = "got token " + id + ", want " + want
			}
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.parseData(data)
		}
		s.hasErrorEvent = s.hasErrorEvent || line == "event: error"
	}
	return lines.Err()
}

func (s *soakStream) parseData(data string) {
	if data == "[DONE]" {
		s.isComplete = true
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
		s.text.WriteString(chunk.Choices[0].Delta.Content)
	}
}
