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

// source is one customer that asks for streams of one rank at random times.
type source struct {
	// name names the source in the figures.
	name string
	// client sends the requests.
	client *streamer.Client
	// rate is the mean number of requests a second.
	rate float64
	// tokens is the mean length of an answer. Lengths are uniform between a half
	// and three halves of it.
	tokens int
	// limit bounds the requests under way; what comes beyond it is not sent. 0
	// stands for no limit.
	limit int
	// prompt returns the prompt of the n-th request.
	prompt func(random *rand.Rand, n int) string
}

// series is what one source has met in one phase.
type series struct {
	times    *streamer.Times
	mu       sync.Mutex
	refusals []time.Duration
	failed   int
	last     error
}

// traffic drives sources against the entry hosts, phase by phase.
type traffic struct {
	urls    []string
	seed    uint64
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	series  map[string]*series
	count   int
}

// newTraffic returns traffic against base URLs, and a clean-up function that
// cuts what still runs.
func newTraffic(ctx context.Context, seed uint64, urls ...string) (*traffic, func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{urls: urls, seed: seed, ctx: ctx, cancel: cancel, series: make(map[string]*series)}
	return t, func() {
		cancel()
		t.running.Wait()
	}
}

// of returns the series of a source in a phase.
func (t *traffic) of(phase, name string) *series {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := phase + "/" + name
	s, ok := t.series[key]
	if !ok {
		s = &series{times: streamer.NewTimes()}
		t.series[key] = s
	}
	return s
}

// run has the sources send for a time. Streams may outlast it.
func (t *traffic) run(phase string, duration time.Duration, sources ...source) {
	var sending sync.WaitGroup
	for n, s := range sources {
		sending.Go(func() { t.send(phase, duration, s, rand.New(rand.NewPCG(t.seed, uint64(n)))) })
	}
	sending.Wait()
}

func (t *traffic) send(phase string, duration time.Duration, s source, random *rand.Rand) {
	result := t.of(phase, s.name)
	started := time.Now()
	var outstanding atomic.Int64
	at := time.Duration(0)
	for n := 0; t.ctx.Err() == nil; n++ {
		at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
		if at > duration {
			break
		}
		time.Sleep(at - time.Since(started))
		body := chatBody(s.prompt(random, n), s.tokens/2+random.IntN(s.tokens+1))
		url := t.urls[random.IntN(len(t.urls))]
		if s.limit > 0 && int(outstanding.Load()) >= s.limit {
			continue
		}
		outstanding.Add(1)
		t.running.Go(func() {
			defer outstanding.Add(-1)
			t.ask(result, s, url, body)
		})
	}
	time.Sleep(duration - time.Since(started))
}

func (t *traffic) ask(result *series, s source, url, body string) {
	t.mu.Lock()
	t.count++
	id := fmt.Sprintf("%s-%d", s.name, t.count)
	t.mu.Unlock()
	started := time.Now()
	err := s.client.Chat(t.ctx, url, id, body, result.times)
	if err == nil || t.ctx.Err() != nil {
		return
	}
	result.mu.Lock()
	defer result.mu.Unlock()
	var answer *streamer.AnswerError
	if errors.As(err, &answer) && answer.Status == http.StatusTooManyRequests {
		result.refusals = append(result.refusals, time.Since(started))
		return
	}
	result.failed++
	result.last = err
}

// tokens returns the tokens that a source has received in all phases.
func (t *traffic) tokens(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for k, s := range t.series {
		if strings.HasSuffix(k, "/"+name) {
			sum += s.times.Tokens()
		}
	}
	return sum
}

// failures returns the number of streams that ended neither whole nor refused,
// and the last such error.
func (t *traffic) failures() (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	var last error
	for _, s := range t.series {
		s.mu.Lock()
		sum += s.failed
		if s.last != nil {
			last = s.last
		}
		s.mu.Unlock()
	}
	return sum, last
}

// refused returns the number of refusals and a percentile of the time to them.
func (s *series) refused(percentile float64) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refusals) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(s.refusals))
	return len(sorted), sorted[min(len(sorted)-1, int(percentile/100*float64(len(sorted))))]
}

func chatBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`,
		bedService, prompt, max(1, tokens))
}

// freshPrompt returns a prompt of about a number of bytes that no other shares.
func freshPrompt(size int) func(*rand.Rand, int) string {
	return func(random *rand.Rand, n int) string {
		head := fmt.Sprintf("%016x-%d ", random.Uint64(), n)
		return head + strings.Repeat("x", max(0, size-len(head)))
	}
}
