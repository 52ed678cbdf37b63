package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
)

const (
	restartWorkers        = 48
	restartLinger         = time.Second
	restartRequestTimeout = 30 * time.Second
	restartRounds         = 3
	readinessCheckPeriod  = 100 * time.Millisecond
	restartSettleTime     = 2 * time.Second
	// restartLongTokens is the length of the long streams that a stopping host
	// has to wait for.
	restartLongTokens = 1500
)

// restartExperiment restarts every entry host in turn under load.
type restartExperiment struct{}

// Name implements Experiment.
func (restartExperiment) Name() string { return "restart" }

// Synopsis implements Experiment.
func (restartExperiment) Synopsis() string {
	return "requests that fail while all entry hosts are restarted one after another"
}

// Run implements Experiment.
func (restartExperiment) Run(ctx context.Context, run RunParameters) (*Report, error) {
	testbed, closeTestbed, err := startOutcomeTestbed(ctx, restartLinger, restartRequestTimeout)
	if err != nil {
		return nil, err
	}
	defer closeTestbed()
	w, err := newOutcomeWorkload(ctx, testbed, run.Seed)
	if err != nil {
		return nil, err
	}
	report := NewReport("restart", run.Seed)
	r := &restartWorkload{outcomeWorkload: w, balancer: newLoadBalancer(testbed.cluster.Hosts())}
	rounds := restartRounds
	if run.Quick {
		rounds = 1
	}
	if err := r.restartUnderLoad(ctx, run, rounds); err != nil {
		return nil, err
	}
	r.fillReport(report)
	return report, nil
}

// loadBalancer stands in for the platform's load balancer. It sends new
// requests to the ready hosts only.
type loadBalancer struct {
	hosts     []*launcher.Host
	mutex     sync.Mutex
	readyURLs []string
}

func newLoadBalancer(hosts []*launcher.Host) *loadBalancer {
	b := &loadBalancer{hosts: hosts}
	for _, h := range hosts {
		b.readyURLs = append(b.readyURLs, h.URL())
	}
	return b
}

// setReady adds or removes the host at a base URL.
func (b *loadBalancer) setReady(url string, isReady bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var updated []string
	for _, u := range b.readyURLs {
		if u != url {
			updated = append(updated, u)
		}
	}
	if isReady {
		updated = append(updated, url)
	}
	b.readyURLs = updated
}

func (b *loadBalancer) pickURL(random *rand.Rand) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.readyURLs[random.IntN(len(b.readyURLs))]
}

// restartWorkload is load without retries, so that every failure counts.
type restartWorkload struct {
	*outcomeWorkload
	balancer           *loadBalancer
	requestCount       atomic.Int64
	failuresByKind     sync.Map
	failedRequestCount atomic.Int64
	restartCount       int
	longestStopTime    time.Duration
}

func (r *restartWorkload) restartUnderLoad(ctx context.Context, run RunParameters, rounds int) error {
	loadContext, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for n := range restartWorkers {
		workers.Go(func() { r.generateLoad(loadContext, rand.New(rand.NewPCG(run.Seed, uint64(n)))) })
	}
	err := r.restartAllHosts(ctx, run, rounds)
	stop()
	workers.Wait()
	return err
}

func (r *restartWorkload) restartAllHosts(ctx context.Context, run RunParameters, rounds int) error {
	for range rounds {
		for _, h := range r.balancer.hosts {
			fmt.Fprintf(run.Progress, "restarting %s: %d requests so far, %d failed\n", h.ID(), r.requestCount.Load(), r.failedRequestCount.Load())
			if err := r.restartHost(ctx, h); err != nil {
				return err
			}
		}
	}
	return nil
}

// restartHost stops a host gracefully and starts it again. The load balancer
// removes the host three readiness checks after the stop began, or earlier if
// the host has stopped.
func (r *restartWorkload) restartHost(ctx context.Context, h *launcher.Host) error {
	removal := time.AfterFunc(readinessCheckPeriod*3, func() { r.balancer.setReady(h.URL(), false) })
	started := time.Now()
	h.Stop()
	removal.Stop()
	r.balancer.setReady(h.URL(), false)
	r.longestStopTime = max(r.longestStopTime, time.Since(started))
	if h.Err() != nil {
		return trace.Wrap(h.Err())
	}
	if err := h.Restart(); err != nil {
		return trace.Wrap(err)
	}
	r.restartCount++
	r.testbed.configureHost(ctx, h)
	if err := r.testbed.awaitPeers(ctx); err != nil {
		return err
	}
	r.balancer.setReady(h.URL(), true)
	time.Sleep(restartSettleTime)
	return nil
}

// generateLoad sends one request after another until the context ends. The last
// request is completed.
func (r *restartWorkload) generateLoad(ctx context.Context, random *rand.Rand) {
	c := newOutcomeClient(r.testbed)
	defer c.close()
	callContext := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		baseURL := r.balancer.pickURL(random)
		r.requestCount.Add(1)
		if random.IntN(100) == 0 {
			s := c.stream(callContext, baseURL, outcomeChatBody(0, restartLongTokens))
			r.recordResult("long-stream", s.outcome == streamComplete && s.lastToken == restartLongTokens)
			continue
		}
		switch random.IntN(4) {
		case 0:
			r.recordResult("booking", c.book(callContext, baseURL, r.nextReference(), "") == callAnswered)
		case 1:
			reference := r.nextReference()
			r.recordResult("keyed-booking", c.book(callContext, baseURL, reference, reference) == callAnswered)
		case 2:
			r.recordResult("lookup", c.lookUp(callContext, baseURL, r.nextReference()) == callAnswered)
		case 3:
			prompt := random.IntN(outcomePromptCount)
			s := c.stream(callContext, baseURL, outcomeChatBody(prompt, outcomeStreamTokens))
			r.recordResult("stream", s.outcome == streamComplete && s.text == r.expectedTexts[prompt])
		}
	}
}

func (r *restartWorkload) nextReference() string {
	return fmt.Sprintf("restart-%d", r.operationCount.Add(1))
}

func (r *restartWorkload) recordResult(kind string, succeeded bool) {
	if succeeded {
		return
	}
	r.failedRequestCount.Add(1)
	count, _ := r.failuresByKind.LoadOrStore(kind, new(atomic.Int64))
	if n, ok := count.(*atomic.Int64); ok {
		n.Add(1)
	}
}

func (r *restartWorkload) fillReport(report *Report) {
	report.Set("requests", float64(r.requestCount.Load()))
	report.Set("restarts", float64(r.restartCount))
	report.Set("longest-stop-seconds", r.longestStopTime.Seconds())
	r.failuresByKind.Range(func(kind, count any) bool {
		n, isCount := count.(*atomic.Int64)
		name, isName := kind.(string)
		if isCount && isName {
			report.Set("failed-"+name+"s", float64(n.Load()))
		}
		return true
	})
	report.AtMost("failed-requests", 0, float64(r.failedRequestCount.Load()))
	report.AtMost("bookings-doubled", 0, float64(len(r.testbed.fleet.Ledger().RepeatedBookings())))
	report.AtMost("invariants-violated", 0, float64(len(r.testbed.violations)))
}
