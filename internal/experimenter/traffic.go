package experimenter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/streamer"
)

// source is an open-loop source of streams of one customer and one rank, with
// random arrival times.
type source struct {
	// name identifies the source in the results.
	name string
	// client sends the requests.
	client *streamer.Client
	// requestsPerSecond is the mean arrival rate.
	requestsPerSecond float64
	// meanTokens is the mean length of a stream. Lengths are uniform between
	// half of it and one and a half times it.
	meanTokens int
	// maxOutstanding limits the requests in flight, 0 for no limit. An arrival
	// beyond the limit is skipped.
	maxOutstanding int
	// prompt returns the prompt of the n-th request.
	prompt func(random *rand.Rand, n int) string
}

// sourceResult holds the results of one source in one phase.
type sourceResult struct {
	latencies     *streamer.Latencies
	mu            sync.Mutex
	refusalTimes  []time.Duration
	failedStreams int
	lastError     error
}

// loadGenerator sends the requests of sources to the entry hosts, phase by
// phase.
type loadGenerator struct {
	hostURLs       []string
	seed           uint64
	ctx            context.Context
	cancel         context.CancelFunc
	streamsRunning sync.WaitGroup
	mu             sync.Mutex
	results        map[string]*sourceResult
	requestCount   int
}

// newLoadGenerator returns a load generator for the base URLs of hosts, and a
// function that cancels the streams still in flight.
func newLoadGenerator(ctx context.Context, seed uint64, hostURLs ...string) (*loadGenerator, func()) {
	ctx, cancel := context.WithCancel(ctx)
	g := &loadGenerator{hostURLs: hostURLs, seed: seed, ctx: ctx, cancel: cancel, results: make(map[string]*sourceResult)}
	return g, func() {
		cancel()
		g.streamsRunning.Wait()
	}
}

// resultOf returns the result of a source in a phase.
func (g *loadGenerator) resultOf(phase, name string) *sourceResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := phase + "/" + name
	s, ok := g.results[key]
	if !ok {
		s = &sourceResult{latencies: streamer.NewLatencies()}
		g.results[key] = s
	}
	return s
}

// run sends the requests of the sources for a time. Streams may outlast it.
func (g *loadGenerator) run(phase string, duration time.Duration, sources ...source) {
	var sending sync.WaitGroup
	for n, s := range sources {
		sending.Go(func() { g.sendRequests(phase, duration, s, rand.New(rand.NewPCG(g.seed, uint64(n)))) })
	}
	sending.Wait()
}

func (g *loadGenerator) sendRequests(phase string, duration time.Duration, s source, random *rand.Rand) {
	result := g.resultOf(phase, s.name)
	started := time.Now()
	var outstanding atomic.Int64
	arrivalOffset := time.Duration(0)
	for n := 0; g.ctx.Err() == nil; n++ {
		arrivalOffset += time.Duration(random.ExpFloat64() / s.requestsPerSecond * float64(time.Second))
		if arrivalOffset > duration {
			break
		}
		time.Sleep(arrivalOffset - time.Since(started))
		body := chatBody(s.prompt(random, n), s.meanTokens/2+random.IntN(s.meanTokens+1))
		url := g.hostURLs[random.IntN(len(g.hostURLs))]
		if s.maxOutstanding > 0 && int(outstanding.Load()) >= s.maxOutstanding {
			continue
		}
		outstanding.Add(1)
		g.streamsRunning.Go(func() {
			defer outstanding.Add(-1)
			g.sendRequest(result, s, url, body)
		})
	}
	time.Sleep(duration - time.Since(started))
}

func (g *loadGenerator) sendRequest(result *sourceResult, s source, url, body string) {
	g.mu.Lock()
	g.requestCount++
	id := fmt.Sprintf("%s-%d", s.name, g.requestCount)
	g.mu.Unlock()
	started := time.Now()
	err := s.client.Chat(g.ctx, url, id, body, result.latencies)
	if err == nil || g.ctx.Err() != nil {
		return
	}
	result.mu.Lock()
	defer result.mu.Unlock()
	var streamError *streamer.IncompleteStreamError
	if errors.As(err, &streamError) && streamError.Status == http.StatusTooManyRequests {
		result.refusalTimes = append(result.refusalTimes, time.Since(started))
		return
	}
	result.failedStreams++
	result.lastError = err
}

// receivedTokens returns the tokens that a source has received in all phases.
func (g *loadGenerator) receivedTokens(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for k, s := range g.results {
		if strings.HasSuffix(k, "/"+name) {
			sum += s.latencies.ReceivedTokens()
		}
	}
	return sum
}

// failures returns the number of streams that were neither completed nor
// refused, and the last error of any source.
func (g *loadGenerator) failures() (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	var lastError error
	for _, s := range g.results {
		s.mu.Lock()
		sum += s.failedStreams
		if s.lastError != nil {
			lastError = s.lastError
		}
		s.mu.Unlock()
	}
	return sum, lastError
}

// refusalPercentile returns the number of refusals and a percentile of the
// time to a refusal.
func (s *sourceResult) refusalPercentile(percentile float64) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusalTimes) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(s.refusalTimes))
	return len(sorted), sorted[min(len(sorted)-1, int(percentile/100*float64(len(sorted))))]
}

func chatBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`,
		schedulingService, prompt, max(1, tokens))
}

// uniquePrompt returns a generator of prompts of about size bytes. Prompts that are
// generated from the same random sequence differ from each other.
func uniquePrompt(size int) func(*rand.Rand, int) string {
	return func(random *rand.Rand, n int) string {
		head := fmt.Sprintf("%016x-%d ", random.Uint64(), n)
		return head + strings.Repeat("x", max(0, size-len(head)))
	}
}
