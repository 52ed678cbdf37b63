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
	soakTokens      = 40
	soakCallTimeout = 30 * time.Second
	soakRetries     = 4
	soakNoteLimit   = 20
	soakNotRun      = "not-run"
)

// soakTally is what the callers have met.
type soakTally struct {
	counts   map[string]int
	wrong    int
	disorder int
	silent   int
	notes    []string
}

// soakCallers are callers of every kind who check what they are told.
type soakCallers struct {
	bed       *soakBed
	transport *http.Transport
	urls      []string

	mu      sync.Mutex
	tallied soakTally
	notRun  []string
}

func newSoakCallers(bed *soakBed) *soakCallers {
	c := &soakCallers{
		bed: bed, transport: &http.Transport{MaxIdleConnsPerHost: soakStreams},
		tallied: soakTally{counts: make(map[string]int)},
	}
	for _, h := range bed.cluster.Hosts() {
		c.urls = append(c.urls, h.URL())
	}
	return c
}

func (c *soakCallers) tally() soakTally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tallied
}

func (c *soakCallers) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallied.counts[name]++
}

// fault counts a broken promise and keeps a note of it.
func (c *soakCallers) fault(counter *int, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
	if len(c.tallied.notes) < soakNoteLimit {
		c.tallied.notes = append(c.tallied.notes, note)
	}
}

// note keeps a line for the end of the run.
func (c *soakCallers) note(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tallied.notes = append(c.tallied.notes, line)
}

// run keeps every caller calling until the context ends.
func (c *soakCallers) run(ctx context.Context, seed uint64) {
	var running sync.WaitGroup
	start := func(workers int, kind string, call func(context.Context, *rand.Rand, string)) {
		for w := range workers {
			random := rand.New(rand.NewPCG(seed, uint64(len(kind)*100+w))) //nolint:gosec // a seed makes the run repeatable
			running.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					call(ctx, random, fmt.Sprintf("%s-%d-%d", kind, w, n))
					time.Sleep(soakPause)
				}
			})
		}
	}
	start(soakStreams, "stream", c.stream)
	start(soakBookings, "booking", c.book)
	start(soakKeyed, "keyed", c.bookKeyed)
	start(soakLookups, "lookup", c.lookUp)
	running.Wait()
	c.transport.CloseIdleConnections()
}

// send sends one request. The answer's body is to be closed.
func (c *soakCallers) send(ctx context.Context, method, url, body, key string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+soakKey)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return c.transport.RoundTrip(r)
}

func (c *soakCallers) host(random *rand.Rand) string {
	return pick(random, c.bed.cluster.Hosts()).URL()
}

// ask sends one request and returns the body and the outcome that was told:
// "lost" when there was no whole answer.
func (c *soakCallers) ask(ctx context.Context, method, url, body, key string) (data, outcome string) {
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

// book books once; a booking that was not run may be tried again elsewhere.
func (c *soakCallers) book(ctx context.Context, random *rand.Rand, reference string) {
	body := `{"reference":"` + reference + `"}`
	for range soakRetries {
		data, outcome := c.ask(ctx, http.MethodPost, c.host(random)+"/services/"+soakApplication+"/bookings", body, "")
		c.count("booking-" + outcome)
		c.checkBooking(reference, data, outcome)
		if outcome != soakNotRun {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notRun = append(c.notRun, reference)
}

// bookKeyed books with an idempotency key and repeats it until it knows.
func (c *soakCallers) bookKeyed(ctx context.Context, random *rand.Rand, reference string) {
	body := `{"reference":"` + reference + `"}`
	for range soakRetries {
		data, outcome := c.ask(ctx, http.MethodPost, c.host(random)+"/services/"+soakApplication+"/bookings", body, reference)
		c.count("keyed-" + outcome)
		c.checkBooking(reference, data, outcome)
		if outcome == "succeeded" {
			return
		}
	}
}

func (c *soakCallers) checkBooking(reference, data, outcome string) {
	if outcome != "succeeded" {
		return
	}
	var answer struct {
		Reference string `json:"reference"`
	}
	if json.Unmarshal([]byte(data), &answer) != nil || answer.Reference != reference {
		c.fault(&c.tallied.wrong, "booking "+reference+" was answered with "+data)
	}
}

func (c *soakCallers) lookUp(ctx context.Context, random *rand.Rand, name string) {
	data, outcome := c.ask(ctx, http.MethodGet, c.host(random)+"/services/"+soakApplication+"/lookups/"+name, "", "")
	c.count("lookup-" + outcome)
	if outcome == "succeeded" && !strings.Contains(data, `"`+name+`"`) {
		c.fault(&c.tallied.wrong, "lookup "+name+" was answered with "+data)
	}
}

// probe reports whether a host serves a chat and a lookup.
func (c *soakCallers) probe(ctx context.Context, url string) bool {
	chat := fmt.Sprintf(`{"model":%q,"messages":[],"max_tokens":2}`, soakModel)
	_, told := c.ask(ctx, http.MethodPost, url+"/v1/chat/completions", chat, "")
	_, found := c.ask(ctx, http.MethodGet, url+"/services/"+soakApplication+"/lookups/x", "", "")
	return told == "succeeded" && found == "succeeded"
}

// judgeLedger returns the number of bookings that were run though the caller
// was told not-run to the last, and of those that were run twice.
func (c *soakCallers) judgeLedger() (early, doubled int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reference := range c.notRun {
		if c.bed.fleet.Ledger().Runs(reference) > 0 {
			early++
			c.tallied.notes = append(c.tallied.notes, "told not-run yet run: "+reference)
		}
	}
	for _, reference := range c.bed.fleet.Ledger().Doubled() {
		doubled++
		c.tallied.notes = append(c.tallied.notes, "run twice: "+reference)
	}
	return early, doubled
}

// stream asks for a chat and checks each token.
func (c *soakCallers) stream(ctx context.Context, random *rand.Rand, name string) {
	ctx, cancel := context.WithTimeout(ctx, soakCallTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, soakModel, name, soakTokens)
	response, err := c.send(ctx, http.MethodPost, c.host(random)+"/v1/chat/completions", body, "")
	if err != nil {
		c.count("stream-lost")
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.count("stream-" + response.Header.Get("X-Request-Outcome"))
		return
	}
	s := soakStream{request: response.Header.Get("X-Request-Id")}
	err = s.read(response.Body)
	c.judgeStream(name, body, &s, err)
}

func (c *soakCallers) judgeStream(name, body string, s *soakStream, err error) {
	want := engine.ExpectedText([]byte(body))
	switch {
	case s.disorder != "":
		c.fault(&c.tallied.disorder, "stream "+name+": "+s.disorder)
	case !strings.HasPrefix(want, s.text.String()):
		c.fault(&c.tallied.wrong, "stream "+name+" has the text of another request")
	case s.done && s.text.String() != want:
		c.fault(&c.tallied.disorder, "stream "+name+" ended short")
	case s.done:
		c.count("stream-succeeded")
	case s.failed:
		c.count("stream-error-event")
	case err != nil:
		c.count("stream-lost")
	default:
		c.fault(&c.tallied.silent, "stream "+name+" ended without a word")
	}
}

// soakStream is what one stream has brought.
type soakStream struct {
	request  string
	tokens   int
	text     strings.Builder
	done     bool
	failed   bool
	disorder string
}

// read reads events to the end of the body.
func (s *soakStream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.tokens++
			if want := fmt.Sprintf("%s/%d", s.request, s.tokens); id != want {
				s.disorder = "got token " + id + ", want " + want
			}
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.take(data)
		}
		s.failed = s.failed || line == "event: error"
	}
	return lines.Err()
}

func (s *soakStream) take(data string) {
	if data == "[DONE]" {
		s.done = true
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
