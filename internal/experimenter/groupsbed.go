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
	groupsDataCentre           = "gt-xela"
	groupsService              = "vidrio-llm"
	groupsAPIKey               = "groups-key"
	groupsModel                = "glaze"
	groupsHosts                = 4
	groupsDomainCount          = 3
	groupsEnginesPerDomain     = 5
	groupsMembersPerGroup      = 2
	groupsSlots                = 16
	groupsWorkersPerHost       = 8
	groupsStreamTokens         = 100
	groupsPollInterval         = 20 * time.Millisecond
	groupsWeightBytesPerSecond = 1 << 30
	groupsModelBytes           = 1 << 28
	groupsSettleTimeout        = 2 * time.Minute
)

// GroupsTimeoutError reports that the groups did not reach an expected state
// in time.
type GroupsTimeoutError struct {
	// ExpectedState describes the state.
	ExpectedState string
	// Timeout is the time limit that was exceeded.
	Timeout time.Duration
}

// Error implements error.
func (e *GroupsTimeoutError) Error() string {
	return fmt.Sprintf("groups did not reach the expected state: want %s within %s", e.ExpectedState, e.Timeout)
}

// groupsTestbed is a data centre whose entry hosts form the engines into
// groups.
type groupsTestbed struct {
	fleet             *standin.Fleet
	cluster           *launcher.Cluster
	client            *streamer.Client
	random            *rand.Rand
	violationCount    atomic.Int64
	doubleAssignments int
	groupDowntime     time.Duration
	lastSampledAt     time.Time
}

func startGroupsTestbed(ctx context.Context, seed uint64) (*groupsTestbed, func(), error) {
	b := &groupsTestbed{random: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // a seed makes the run repeatable
	fleet, closeFleet, err := standin.Start(
		standin.WithDataCentres(groupsDataCentre), standin.WithEngines(groupsDomainCount, groupsEnginesPerDomain),
		standin.WithWeightStoreRate(groupsWeightBytesPerSecond),
		standin.WithEngineOptions(engine.WithStepTiming(engine.StepTiming{BaseStep: 10 * time.Millisecond}), engine.WithBatchLimit(groupsSlots)),
	)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	fleet.WeightStore().SetModelBytes(groupsModel, "1", groupsModelBytes)
	violationHandler := assembler.WithViolationHandler(func(*fuchsiapitch.InvariantError) { b.violationCount.Add(1) })
	cluster, closeCluster, err := launcher.Start(fleet, []fuchsiapitch.DataCentreName{groupsDataCentre},
		launcher.WithHostsPerDataCentre(groupsHosts), launcher.WithHostOptions(violationHandler))
	if err != nil {
		closeFleet()
		return nil, nil, trace.Wrap(err)
	}
	client, closeClient := streamer.New(groupsAPIKey)
	b.fleet, b.cluster, b.client = fleet, cluster, client
	cluster.OverrideFleet(ctx, groupsConfiguration())
	return b, func() {
		closeClient()
		closeCluster()
		closeFleet()
	}, nil
}

func groupsConfiguration() fuchsiapitch.Configuration {
	keyHash := sha256.Sum256([]byte(groupsAPIKey))
	return fuchsiapitch.NewConfiguration(1, 1,
		[]fuchsiapitch.Service{fuchsiapitch.NewService(groupsService, fuchsiapitch.ModelService, "chat",
			fuchsiapitch.WithModel(groupsModel, "1"), fuchsiapitch.WithConcurrency(groupsSlots),
			fuchsiapitch.WithReplicas(groupsDomainCount*groupsEnginesPerDomain, groupsMembersPerGroup))},
		[]fuchsiapitch.Customer{fuchsiapitch.NewCustomer("buyers", fuchsiapitch.WithKeyHashes(hex.EncodeToString(keyHash[:])))},
		[]fuchsiapitch.Rank{fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0)},
	)
}

// sampleServingGroups returns the complete groups that some live host
// dispatches to, draining groups excepted, and updates the double assignments
// and the downtime.
func (b *groupsTestbed) sampleServingGroups(ctx context.Context) map[fuchsiapitch.GroupID]grouper.Group {
	serving := make(map[fuchsiapitch.GroupID]grouper.Group)
	known := make(map[fuchsiapitch.GroupID]bool)
	for _, h := range b.cluster.Hosts() {
		if h.Down() {
			continue
		}
		s := groupStatusOf(ctx, h)
		for _, g := range s.Groups {
			known[g.Group.ID] = true
			if g.DispatchedHere && g.Whole && !g.Group.Draining {
				serving[g.Group.ID] = g.Group
			}
		}
	}
	b.recordSample(serving, known)
	return serving
}

// recordSample counts the servers that are members of more than one serving
// group, and adds the time since the last sample to the downtime for each known
// group that does not serve.
func (b *groupsTestbed) recordSample(serving map[fuchsiapitch.GroupID]grouper.Group, known map[fuchsiapitch.GroupID]bool) {
	assignedServers := make(map[fuchsiapitch.ServerID]bool)
	for _, g := range serving {
		for _, m := range g.Members {
			if assignedServers[m] {
				b.doubleAssignments++
			}
			assignedServers[m] = true
		}
	}
	now := time.Now()
	if !b.lastSampledAt.IsZero() {
		b.groupDowntime += time.Duration(len(known)-len(serving)) * now.Sub(b.lastSampledAt)
	}
	b.lastSampledAt = now
}

// groupStatusOf returns a host's view of the groups, empty for a paused host.
func groupStatusOf(ctx context.Context, h *launcher.Host) grouper.Status {
	ctx, cancel := context.WithTimeout(ctx, groupsPollInterval)
	defer cancel()
	// The host may write the result after Inspect has timed out.
	result := make(chan grouper.Status, 1)
	if h.EntryHost().Runner().Inspect(ctx, func(s *reducer.State) { result <- s.GroupStatus() }) != nil {
		return grouper.Status{}
	}
	return <-result
}

// awaitGroups polls the serving groups until a condition holds and returns the
// time elapsed since an instant.
func (b *groupsTestbed) awaitGroups(ctx context.Context, since time.Time, expected string, condition func(map[fuchsiapitch.GroupID]grouper.Group) bool) (time.Duration, error) {
	deadline := time.Now().Add(groupsSettleTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition(b.sampleServingGroups(ctx)) {
			return time.Since(since), nil
		}
		time.Sleep(groupsPollInterval)
	}
	return 0, &GroupsTimeoutError{ExpectedState: expected, Timeout: groupsSettleTimeout}
}

// awaitAllGroups waits until as many groups serve as the live engines allow.
func (b *groupsTestbed) awaitAllGroups(ctx context.Context, since time.Time) (time.Duration, error) {
	wantGroups := b.maxGroupCount()
	return b.awaitGroups(ctx, since, fmt.Sprintf("%d complete groups serving", wantGroups),
		func(serving map[fuchsiapitch.GroupID]grouper.Group) bool {
			return len(serving) == wantGroups && b.allMembersAlive(serving)
		})
}

// allMembersAlive reports whether every member of the serving groups is alive.
func (b *groupsTestbed) allMembersAlive(serving map[fuchsiapitch.GroupID]grouper.Group) bool {
	for _, g := range serving {
		for _, m := range g.Members {
			if b.fleet.Engine(m).Dead() {
				return false
			}
		}
	}
	return true
}

// maxGroupCount returns the number of groups that the live engines can form.
func (b *groupsTestbed) maxGroupCount() int {
	groups := 0
	for d := range groupsDomainCount {
		live := 0
		for _, e := range b.domainEngines(d) {
			if !e.Dead() {
				live++
			}
		}
		groups += live / groupsMembersPerGroup
	}
	return groups
}

// strandedEngines returns how many more live engines are outside serving
// groups than necessary.
func (b *groupsTestbed) strandedEngines(ctx context.Context) int {
	servingEngines := 0
	for _, g := range b.sampleServingGroups(ctx) {
		servingEngines += len(g.Members)
	}
	return b.maxGroupCount()*groupsMembersPerGroup - servingEngines
}

func (b *groupsTestbed) domainEngines(d int) []*engine.Engine {
	return b.fleet.Engines()[d*groupsEnginesPerDomain : (d+1)*groupsEnginesPerDomain]
}

// actingController returns the host that acts as controller, nil if there is
// none.
func (b *groupsTestbed) actingController(ctx context.Context) *launcher.Host {
	for _, h := range b.cluster.Hosts() {
		if !h.Down() && groupStatusOf(ctx, h).Acting {
			return h
		}
	}
	return nil
}

// pickMember returns a random member, other than the leader, of a random
// serving group of a domain.
func (b *groupsTestbed) pickMember(ctx context.Context, domain int) (grouper.Group, *engine.Engine) {
	domainEngineIDs := make(map[fuchsiapitch.ServerID]bool)
	for _, e := range b.domainEngines(domain) {
		domainEngineIDs[e.ID()] = true
	}
	var groups []grouper.Group
	serving := b.sampleServingGroups(ctx)
	for _, id := range sortedIDs(serving) {
		if domainEngineIDs[serving[id].Members[0]] {
			groups = append(groups, serving[id])
		}
	}
	g := groups[b.random.IntN(len(groups))]
	return g, b.fleet.Engine(g.Members[1+b.random.IntN(len(g.Members)-1)])
}

// startStreams keeps token streams running through every host. The returned
// function ends them.
func (b *groupsTestbed) startStreams(ctx context.Context, latencies *streamer.Latencies) func() {
	ctx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	for n := range groupsWorkersPerHost * groupsHosts {
		workers.Go(func() {
			h := b.cluster.Hosts()[n%groupsHosts]
			body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"worker %d"}]}`,
				groupsService, groupsStreamTokens, n)
			for turn := 0; ctx.Err() == nil; turn++ {
				if b.client.Chat(ctx, h.URL(), fmt.Sprintf("worker-%d-%d", n, turn), body, latencies) != nil {
					time.Sleep(groupsPollInterval)
				}
			}
		})
	}
	return func() {
		cancel()
		workers.Wait()
	}
}
