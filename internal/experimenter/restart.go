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
	restartWorkers  = 48
	restartLinger   = time.Second
	restartTimeout  = 30 * time.Second
	restartRounds   = 3
	balancerPeriod  = 100 * time.Millisecond
	restartSettling = 2 * time.Second
	// restartLongTokens is the length of the streams that a stop has to wait for.
	restartLongTokens = 1500
)

// restartExperiment restarts every entry host, one after another, under load.
type restartExperiment struct{}

// Name implements Experiment.
func (restartExperiment) Name() string { return "restart" }

// Synopsis implements Experiment.
func (restartExperiment) Synopsis() string {
	return "requests that fail while all entry hosts are restarted one after another"
}

// Run implements Experiment.
func (restartExperiment) Run(ctx context.Context, run Run) (*Report, error) {
	bed, cleanUp, err := startOutcomeBed(ctx, restartLinger, restartTimeout)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	w, err := newOutcomeWork(ctx, bed, run.Seed)
	if err != nil {
		return nil, err
	}
	report := NewReport("restart", run.Seed)
	r := &restartWork{outcomeWork: w, balancer: newBalancer(bed.cluster.Hosts())}
	rounds := restartRounds
	if run.Quick {
		rounds = 1
	}
	if err := r.run(ctx, run, rounds); err != nil {
		return nil, err
	}
	r.report(report)
	return report, nil
}

// balancer is a stand-in of the platform's balancer. It asks each host for its
// readiness and sends new requests to the ready ones.
type balancer struct {
	hosts []*launcher.Host
	mutex sync.Mutex
	ready []string
}

func newBalancer(hosts []*launcher.Host) *balancer {
	b := &balancer{hosts: hosts}
	for _, h := range hosts {
		b.ready = append(b.ready, h.URL())
	}
	return b
}

// set makes the host at an address one that gets new requests, or takes it out.
func (b *balancer) set(url string, ready bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var next []string
	for _, u := range b.ready {
		if u != url {
			next = append(next, u)
		}
	}
	if ready {
		next = append(next, url)
	}
	b.ready = next
}

func (b *balancer) pick(random *rand.Rand) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ready[random.IntN(len(b.ready))]
}

// restartWork is load that counts every failure: nothing is tried again.
type restartWork struct {
	*outcomeWork
	balancer *balancer
	requests atomic.Int64
	failures sync.Map
	failed   atomic.Int64
	restarts int
	longest  time.Duration
}

func (r *restartWork) run(ctx context.Context, run Run, rounds int) error {
	load, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for n := range restartWorkers {
		running.Go(func() { r.load(load, rand.New(rand.NewPCG(run.Seed, uint64(n)))) })
	}
	err := r.restartAll(ctx, run, rounds)
	stop()
	running.Wait()
	return err
}

func (r *restartWork) restartAll(ctx context.Context, run Run, rounds int) error {
	for range rounds {
		for _, h := range r.balancer.hosts {
			fmt.Fprintf(run.Progress, "restart of %s, %d requests so far, %d failed\n", h.ID(), r.requests.Load(), r.failed.Load())
			if err := r.restart(ctx, h); err != nil {
				return err
			}
		}
	}
	return nil
}

// restart stops a host gracefully while the balancer notices with a delay, and
// starts it again.
func (r *restartWork) restart(ctx context.Context, h *launcher.Host) error {
	noticed := time.AfterFunc(balancerPeriod*3, func() { r.balancer.set(h.URL(), false) })
	started := time.Now()
	h.Stop()
	noticed.Stop()
	r.balancer.set(h.URL(), false)
	r.longest = max(r.longest, time.Since(started))
	if h.Err() != nil {
		return trace.Wrap(h.Err())
	}
	if err := h.Restart(); err != nil {
		return trace.Wrap(err)
	}
	r.restarts++
	r.bed.describe(ctx, h)
	if err := r.bed.awaitPeers(ctx); err != nil {
		return err
	}
	r.balancer.set(h.URL(), true)
	time.Sleep(restartSettling)
	return nil
}

// load asks for one thing after another until the context ends.
func (r *restartWork) load(ctx context.Context, random *rand.Rand) {
	c := newOutcomeCaller(r.bed)
	defer c.close()
	asked := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		base := r.balancer.pick(random)
		r.requests.Add(1)
		if random.IntN(100) == 0 {
			s := c.stream(asked, base, outcomePrompt(0, restartLongTokens))
			r.note("long-stream", s.end == streamWhole && s.tokens == restartLongTokens)
			continue
		}
		switch random.IntN(4) {
		case 0:
			r.note("booking", c.book(asked, base, r.reference(), "") == saidWhole)
		case 1:
			reference := r.reference()
			r.note("keyed-booking", c.book(asked, base, reference, reference) == saidWhole)
		case 2:
			r.note("lookup", c.lookUp(asked, base, r.reference()) == saidWhole)
		case 3:
			prompt := random.IntN(outcomePrompts)
			s := c.stream(asked, base, outcomePrompt(prompt, outcomeTokens))
			r.note("stream", s.end == streamWhole && s.text == r.expected[prompt])
		}
	}
}

func (r *restartWork) reference() string { return fmt.Sprintf("restart-%d", r.next.Add(1)) }

func (r *restartWork) note(kind string, whole bool) {
	if whole {
		return
	}
	r.failed.Add(1)
	count, _ := r.failures.LoadOrStore(kind, new(atomic.Int64))
	if n, ok := count.(*atomic.Int64); ok {
		n.Add(1)
	}
}

func (r *restartWork) report(report *Report) {
	report.Set("requests", float64(r.requests.Load()))
	report.Set("restarts", float64(r.restarts))
	report.Set("longest-stop-seconds", r.longest.Seconds())
	r.failures.Range(func(kind, count any) bool {
		n, isCount := count.(*atomic.Int64)
		name, isName := kind.(string)
		if isCount && isName {
			report.Set("failed-"+name+"s", float64(n.Load()))
		}
		return true
	})
	report.AtMost("failed-requests", 0, float64(r.failed.Load()))
	report.AtMost("bookings-doubled", 0, float64(len(r.bed.fleet.Ledger().Doubled())))
	report.AtMost("invariants-violated", 0, float64(len(r.bed.violations)))
}
