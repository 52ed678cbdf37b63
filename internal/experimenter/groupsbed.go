package experimenter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/streamer"
)

const (
	groupsCentre     = "gt-xela"
	groupsService    = "vidrio-llm"
	groupsKey        = "groups-key"
	groupsModel      = "glaze"
	groupsHosts      = 4
	groupsDomains    = 3
	groupsPerDomain  = 5
	groupsSize       = 2
	groupsSlots      = 16
	groupsWorkers    = 8
	groupsTokens     = 100
	groupsPoll       = 20 * time.Millisecond
	groupsWeightRate = 1 << 30
	groupsModelBytes = 1 << 28
	groupsSettleTime = 2 * time.Minute
)

// UnsettledError reports groups that did not reach an expected state in time.
type UnsettledError struct {
	// Expected describes the state.
	Expected string
	// Timeout is the time that was waited.
	Timeout time.Duration
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the groups did not reach %s within %s", e.Expected, e.Timeout)
}

// groupsBed is a data centre of engines that the entry hosts themselves form
// into groups.
type groupsBed struct {
	fleet      *standin.Fleet
	cluster    *launcher.Cluster
	client     *streamer.Client
	random     *rand.Rand
	violations atomic.Int64
	doubles    int
	downtime   time.Duration
	sampled    time.Time
}

func startGroupsBed(ctx context.Context, seed uint64) (*groupsBed, func(), error) {
	b := &groupsBed{random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // a seed makes the run repeatable
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(groupsCentre), standin.WithEngines(groupsDomains, groupsPerDomain),
		standin.WithWeightRate(groupsWeightRate),
		standin.WithEngineOptions(engine.WithSpeed(engine.Speed{Token: 10 * time.Millisecond}), engine.WithBatchLimit(groupsSlots)),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	fleet.WeightStore().SetSize(groupsModel, "1", groupsModelBytes)
	violated := assembler.WithViolationHandler(func(*fuchsiapitch.InvariantError) { b.violations.Add(1) })
	cluster, closeCluster, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{groupsCentre},
		launcher.WithHostsPerDataCentre(groupsHosts), launcher.WithHostOptions(violated))
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	client, closeClient := streamer.New(groupsKey)
	b.fleet, b.cluster, b.client = fleet, cluster, client
	cluster.InjectFleet(ctx, groupsConfiguration())
	return b, func() {
		closeClient()
		closeCluster()
		closeFleet()
	}, nil
}

func groupsConfiguration() fuchsiapitch.Configuration {
	hash := sha256.Sum256([]byte(groupsKey))
	return fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{fuchsiapitch.NewService(groupsService, fuchsiapitch.ModelService, "chat",
			fuchsiapitch.WithModel(groupsModel, "1"), fuchsiapitch.WithConcurrency(groupsSlots),
			fuchsiapitch.WithReplicas(groupsDomains*groupsPerDomain, groupsSize))},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("buyers", fuchsiapitch.WithKeyHashes(hex.EncodeToString(hash[:])))},
		[]fuchsiapitch.Rank{fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0)},
	)
}

// look returns the groups that some live host routes requests into. It counts
// servers that are in two of them, and adds up downtime.
func (b *groupsBed) look(ctx context.Context) map[fuchsiapitch.GroupID]grouper.Group {
	serving := make(map[fuchsiapitch.GroupID]grouper.Group)
	known := make(map[fuchsiapitch.GroupID]bool)
	for _, h := range b.cluster.Hosts() {
		if h.Down() {
			continue
		}
		s := statusOf(ctx, h)
		for _, g := range s.Groups {
			known[g.Group.ID] = true
			if g.DispatchedHere && g.Whole && !g.Group.Draining {
				serving[g.Group.ID] = g.Group
			}
		}
	}
	b.account(serving, known)
	return serving
}

func (b *groupsBed) account(serving map[fuchsiapitch.GroupID]grouper.Group, known map[fuchsiapitch.GroupID]bool) {
	members := make(map[fuchsiapitch.ServerID]bool)
	for _, g := range serving {
		for _, m := range g.Members {
			if members[m] {
				b.doubles++
			}
			members[m] = true
		}
	}
	now := time.Now()
	if !b.sampled.IsZero() {
		b.downtime += time.Duration(len(known)-len(serving)) * now.Sub(b.sampled)
	}
	b.sampled = now
}

// statusOf returns the groups as a host sees them. A paused host has no answer.
func statusOf(ctx context.Context, h *launcher.Host) grouper.Status {
	ctx, cancel := context.WithTimeout(ctx, groupsPoll)
	defer cancel()
	// The result is written by the host, maybe after the wait for it has ended.
	result := make(chan grouper.Status, 1)
	if h.EntryHost().Runner().Inspect(ctx, func(s *reducer.State) { result <- s.GroupStatus() }) != nil {
		return grouper.Status{}
	}
	return <-result
}

// await polls the serving groups until a condition holds, and returns the time
// since an instant.
func (b *groupsBed) await(ctx context.Context, since time.Time, expected string, condition func(map[fuchsiapitch.GroupID]grouper.Group) bool) (time.Duration, error) {
	deadline := time.Now().Add(groupsSettleTime)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition(b.look(ctx)) {
			return time.Since(since), nil
		}
		time.Sleep(groupsPoll)
	}
	return 0, &UnsettledError{Expected: expected, Timeout: groupsSettleTime}
}

// awaitWhole waits until as many groups serve as the live engines allow.
func (b *groupsBed) awaitWhole(ctx context.Context, since time.Time) (time.Duration, error) {
	want := b.optimum()
	return b.await(ctx, since, fmt.Sprintf("%d whole groups", want),
		func(serving map[fuchsiapitch.GroupID]grouper.Group) bool {
			return len(serving) == want && b.isAlive(serving)
		})
}

// isAlive reports whether every member of the serving groups lives.
func (b *groupsBed) isAlive(serving map[fuchsiapitch.GroupID]grouper.Group) bool {
	for _, g := range serving {
		for _, m := range g.Members {
			if b.fleet.Engine(m).Dead() {
				return false
			}
		}
	}
	return true
}

// optimum returns the number of groups that the live engines allow.
func (b *groupsBed) optimum() int {
	groups := 0
	for d := range groupsDomains {
		live := 0
		for _, e := range b.domain(d) {
			if !e.Dead() {
				live++
			}
		}
		groups += live / groupsSize
	}
	return groups
}

// stranded returns by how many the live engines outside serving groups exceed
// the smallest possible number.
func (b *groupsBed) stranded(ctx context.Context) int {
	used := 0
	for _, g := range b.look(ctx) {
		used += len(g.Members)
	}
	return b.optimum()*groupsSize - used
}

func (b *groupsBed) domain(d int) []*engine.Engine {
	return b.fleet.Engines()[d*groupsPerDomain : (d+1)*groupsPerDomain]
}

// controller returns the host that gives orders.
func (b *groupsBed) controller(ctx context.Context) *launcher.Host {
	for _, h := range b.cluster.Hosts() {
		if !h.Down() && statusOf(ctx, h).Acting {
			return h
		}
	}
	return nil
}

// member returns a random member, other than the leader, of a random serving
// group of a domain.
func (b *groupsBed) member(ctx context.Context, domain int) (grouper.Group, *engine.Engine) {
	ids := make(map[fuchsiapitch.ServerID]bool)
	for _, e := range b.domain(domain) {
		ids[e.ID()] = true
	}
	var groups []grouper.Group
	serving := b.look(ctx)
	for _, id := range sortedIDs(serving) {
		if ids[serving[id].Members[0]] {
			groups = append(groups, serving[id])
		}
	}
	g := groups[b.random.IntN(len(groups))]
	return g, b.fleet.Engine(g.Members[1+b.random.IntN(len(g.Members)-1)])
}

// stream keeps streams of tokens running on every host until the context ends.
func (b *groupsBed) stream(ctx context.Context, times *streamer.Times) func() {
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for n := range groupsWorkers * groupsHosts {
		workers.Go(func() {
			h := b.cluster.Hosts()[n%groupsHosts]
			body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"worker %d"}]}`,
				groupsService, groupsTokens, n)
			for turn := 0; ctx.Err() == nil; turn++ {
				if b.client.Chat(ctx, h.URL(), fmt.Sprintf("worker-%d-%d", n, turn), body, times) != nil {
					time.Sleep(groupsPoll)
				}
			}
		})
	}
	return func() {
		cancel()
		workers.Wait()
	}
}
