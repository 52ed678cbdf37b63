package reducer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// configurationBound is the time within which an accepted configuration is in force everywhere.
const configurationBound = 4 * time.Second

// simulatedHost is one entry host and its position in the stream.
type simulatedHost struct {
	state          *State
	followsStream  bool
	nextOffset     fuchsiapitch.Offset
	logUnavailable bool
	partitioned    bool
	startedAt      time.Duration
}

// configurationSimulation runs several states against an in-memory log, in
// virtual time.
type configurationSimulation struct {
	now time.Duration
	// dataCentreSize is the number of hosts in each data centre.
	dataCentreSize int
	records        []fuchsiapitch.Record
	oldestOffset   fuchsiapitch.Offset
	hosts          []*simulatedHost
	idCount        int
	lastOffsets    map[fuchsiapitch.HostID]fuchsiapitch.Offset
	failures       []string
}

func newConfigurationSimulation(hosts int) *configurationSimulation {
	return newDataCentreSimulation(1, hosts)
}

func newDataCentreSimulation(dataCentres, hostsPerDataCentre int) *configurationSimulation {
	hosts := dataCentres * hostsPerDataCentre
	sm := &configurationSimulation{dataCentreSize: hostsPerDataCentre, oldestOffset: 1, lastOffsets: make(map[fuchsiapitch.HostID]fuchsiapitch.Offset)}
	for range hosts {
		sm.hosts = append(sm.hosts, &simulatedHost{})
	}
	for i := range hosts {
		sm.restart(i)
	}
	return sm
}

func (sm *configurationSimulation) newHost(i int, incarnation uint64) fuchsiapitch.Host {
	dataCentre := fuchsiapitch.DataCentreName(fmt.Sprint("gt-", i/sm.dataCentreSize))
	return fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprint("host-", i)), fmt.Sprint("127.0.0.1:", i+1), dataCentre, incarnation)
}

func (sm *configurationSimulation) newHostIdentity(i int) fuchsiapitch.Host {
	sm.idCount++
	return sm.newHost(i, uint64(sm.idCount))
}

// restart replaces a host with a new process that has an empty state.
func (sm *configurationSimulation) restart(i int) {
	var others []fuchsiapitch.Host
	for j := range sm.hosts {
		if j != i {
			others = append(others, sm.newHost(j, 0))
		}
	}
	h := sm.hosts[i]
	*h = simulatedHost{state: New(sm.newHostIdentity(i), WithCandidates(others...)), logUnavailable: h.logUnavailable, partitioned: h.partitioned, startedAt: sm.now}
	sm.lastOffsets[h.state.self] = 0
}

func (sm *configurationSimulation) apply(h *simulatedHost, event Event) {
	for _, e := range h.state.Apply(at(sm.now-h.startedAt), event) {
		sm.execute(h, e)
	}
	offset := h.state.Configuration().Offset()
	if offset < sm.lastOffsets[h.state.self] {
		sm.fail("host %s went from offset %d to %d", h.state.self, sm.lastOffsets[h.state.self], offset)
	}
	sm.lastOffsets[h.state.self] = offset
}

func (sm *configurationSimulation) fail(format string, values ...any) {
	sm.failures = append(sm.failures, fmt.Sprintf(format, values...))
}

func (sm *configurationSimulation) execute(h *simulatedHost, effect Effect) {
	switch e := effect.(type) {
	case FollowStream:
		if e.Stream == ConfigurationStream {
			h.followsStream, h.nextOffset = true, e.From
		}
	case AppendRecord:
		if e.Stream == ConfigurationStream && !h.logUnavailable {
			sm.append(e.Record)
		}
	case SendHeartbeat:
		sm.sendHeartbeat(h, e)
	case FetchConfiguration:
		sm.fetch(h, e)
	case ReportViolation:
		sm.fail("host %s: %v", h.state.self, e.Violation)
	}
}

func (sm *configurationSimulation) append(r fuchsiapitch.Record) {
	sm.records = append(sm.records, r.WithOffset(fuchsiapitch.Offset(len(sm.records)+1)))
}

func (sm *configurationSimulation) findHost(id fuchsiapitch.HostID) *simulatedHost {
	for _, h := range sm.hosts {
		if h.state != nil && h.state.self == id {
			return h
		}
	}
	return nil
}

func (sm *configurationSimulation) sendHeartbeat(h *simulatedHost, e SendHeartbeat) {
	to := sm.findHost(e.To.ID())
	if to == nil || h.partitioned || to.partitioned {
		sm.apply(h, HeartbeatFailed{Host: e.To.ID()})
		return
	}
	sm.apply(to, HeartbeatReceived{Heartbeat: e.Heartbeat})
	sm.apply(h, HeartbeatReceived{Heartbeat: to.state.ComposeHeartbeat()})
}

func (sm *configurationSimulation) fetch(h *simulatedHost, e FetchConfiguration) {
	fetched := ConfigurationFetched{Host: e.Host.ID()}
	if to := sm.findHost(e.Host.ID()); to != nil && !h.partitioned && !to.partitioned {
		fetched.Snapshot = to.state.ConfigurationSince(e.Since)
	}
	sm.apply(h, fetched)
}

// read delivers the next records to a host, as the runner does.
func (sm *configurationSimulation) read(h *simulatedHost) {
	switch {
	case !h.followsStream:
	case h.logUnavailable:
		sm.apply(h, ReadFailed{Stream: ConfigurationStream})
	case h.nextOffset < sm.oldestOffset:
		h.followsStream = false
		sm.apply(h, StreamTruncated{Stream: ConfigurationStream, Oldest: sm.oldestOffset})
	default:
		endIndex := min(int(h.nextOffset)-1+MaxReadBatch, len(sm.records))
		batch := fuchsiapitch.NewBatch(sm.records[min(int(h.nextOffset)-1, endIndex):endIndex], sm.oldestOffset, fuchsiapitch.Offset(endIndex+1))
		from := h.nextOffset
		h.nextOffset = batch.NextOffset()
		sm.apply(h, RecordsRead{Stream: ConfigurationStream, From: from, Batch: batch})
	}
}

// advance advances the virtual time in steps of one tick.
func (sm *configurationSimulation) advance(d time.Duration) {
	for end := sm.now + d; sm.now < end; sm.now += TickPeriod {
		for _, h := range sm.hosts {
			sm.apply(h, Ticked{})
			sm.read(h)
		}
	}
}

// publish appends a change whose parent is the latest revision that a host has
// applied.
func (sm *configurationSimulation) publish(h *simulatedHost, name string) {
	key := configurer.NewKey(configurer.RankKind, name)
	current, _ := h.state.replication.follower.StateMachine().Entry(key)
	sm.idCount++
	data, err := encoder.EncodeConfigurationRecord(configurer.Publication{Changes: []configurer.Change{
		{Key: key, ParentRevision: current.Revision, Content: []byte(fmt.Sprint(sm.idCount))},
	}})
	if err != nil {
		sm.fail("encode: %v", err)
	}
	sm.append(fuchsiapitch.NewRecord(fuchsiapitch.RecordID(fmt.Sprint("publication-", sm.idCount)), data))
}

// recoverable reports whether at least one host has applied all records that
// the log has truncated, so that no record is lost.
func (sm *configurationSimulation) recoverable() bool {
	for _, h := range sm.hosts {
		if h.state.replication.follower.StateMachine().Offset()+1 >= sm.oldestOffset {
			return true
		}
	}
	return false
}

// endFaults ends every fault.
func (sm *configurationSimulation) endFaults() {
	for _, h := range sm.hosts {
		h.logUnavailable, h.partitioned = false, false
	}
}

func (sm *configurationSimulation) requireNoFailure(t rapid.TB) {
	t.Helper()
	for _, f := range sm.failures {
		t.Fatalf("after %s: got failure %s, want none", sm.now, f)
	}
}

// requireConvergence ends the faults and checks that every host has the
// complete configuration in force 4 s later, which is the target.
func (sm *configurationSimulation) requireConvergence(t rapid.TB) {
	t.Helper()
	sm.endFaults()
	possible, want := sm.recoverable(), fuchsiapitch.Offset(len(sm.records))
	sm.advance(4 * time.Second)
	sm.requireNoFailure(t)
	for i, h := range sm.hosts {
		if got := h.state.Configuration().Offset(); possible && got < want {
			t.Fatalf("host %d 4 s after the faults: got offset %d, want %d", i, got, want)
		}
		if got := h.state.ConfigurationReady(); possible && !got {
			t.Fatalf("host %d 4 s after the faults: got ready %v, want true", i, got)
		}
	}
}

func assertFailure(t *testing.T, sm *configurationSimulation, invariant string) {
	t.Helper()
	if got := strings.Join(sm.failures, "; "); !strings.Contains(got, invariant) {
		t.Errorf("got failures %q, want a violation of %s", got, invariant)
	}
}

func TestConfiguration(t *testing.T) {
	t.Run("no fault makes a host revert, disagree or stay behind", rapid.MakeCheck(func(t *rapid.T) {
		sm := newConfigurationSimulation(4)
		drawHost := func(t *rapid.T) *simulatedHost {
			return sm.hosts[rapid.IntRange(0, len(sm.hosts)-1).Draw(t, "host")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { sm.requireNoFailure(t) },
			"pass":    func(t *rapid.T) { sm.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * TickPeriod) },
			"publish": func(t *rapid.T) { sm.publish(drawHost(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")) },
			"restart": func(t *rapid.T) { sm.restart(rapid.IntRange(0, len(sm.hosts)-1).Draw(t, "host")) },
			"log":     func(t *rapid.T) { h := drawHost(t); h.logUnavailable = !h.logUnavailable },
			"cut":     func(t *rapid.T) { h := drawHost(t); h.partitioned = !h.partitioned },
			"truncate": func(t *rapid.T) {
				sm.oldestOffset = max(sm.oldestOffset, fuchsiapitch.Offset(rapid.IntRange(1, len(sm.records)+1).Draw(t, "oldest")))
			},
			"repeat": func(t *rapid.T) {
				if len(sm.records) > 0 {
					sm.append(rapid.SampledFrom(sm.records).Draw(t, "record"))
				}
			},
		})
		sm.requireConvergence(t)
	}))
	t.Run("a host that starts while the log is away takes a peer's state", func(t *testing.T) {
		sm := newConfigurationSimulation(2)
		sm.publish(sm.hosts[0], "a")
		sm.advance(time.Second)
		sm.hosts[0].logUnavailable, sm.hosts[1].logUnavailable = true, true
		sm.restart(1)
		sm.advance(4 * time.Second)
		sm.requireNoFailure(t)
		if got := sm.hosts[1].state.Configuration().Offset(); got == 0 || !sm.hosts[1].state.ConfigurationReady() {
			t.Errorf("got offset %d and ready %v, want the peer's state", got, sm.hosts[1].state.ConfigurationReady())
		}
	})
	t.Run("a host that reads a long stream is not ready before its end", func(t *testing.T) {
		sm := newConfigurationSimulation(1)
		for range MaxReadBatch + 1 {
			sm.append(fuchsiapitch.NewRecord("garbled", nil))
		}
		sm.apply(sm.hosts[0], Ticked{})
		for _, want := range []bool{false, true} {
			sm.read(sm.hosts[0])
			if got := sm.hosts[0].state.ConfigurationReady(); got != want {
				t.Errorf("at offset %d: got ready %v, want %v", sm.hosts[0].nextOffset, got, want)
			}
			if got := sm.hosts[0].state.ConfigurationSince(0).Offset > 0; got != want {
				t.Errorf("at offset %d: got state for peers %v, want %v", sm.hosts[0].nextOffset, got, want)
			}
		}
	})
	t.Run("a host with a peer's state abandons a read that may hang", func(t *testing.T) {
		sm := newConfigurationSimulation(2)
		sm.publish(sm.hosts[0], "a")
		sm.advance(time.Second)
		s := New(self)
		snapshot := sm.hosts[0].state.ConfigurationSince(0)
		effects := s.Apply(at(0), ConfigurationFetched{Host: "host-0", Snapshot: snapshot})
		if want := (FollowStream{Stream: ConfigurationStream, From: snapshot.Offset + 1}); !slices.Contains(effects, Effect(want)) {
			t.Errorf("got effects %v, want %v", effects, want)
		}
	})
	for name, fault := range map[string]Event{
		"the log is away":       ReadFailed{Stream: ConfigurationStream},
		"the log was truncated": StreamTruncated{Stream: ConfigurationStream, Oldest: 9},
	} {
		t.Run("a peer's state is asked for at once when "+name, func(t *testing.T) {
			s := New(self)
			peer := fuchsiapitch.NewHost("host-b", "127.0.0.1:2", "gt-xela", 1)
			s.Apply(at(0), fault)
			s.Apply(at(0), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{Sender: peer, ConfigurationOffset: 9}})
			effects := s.Apply(at(TickPeriod), Ticked{})
			if want := (FetchConfiguration{Host: peer}); !slices.Contains(effects, Effect(want)) {
				t.Errorf("got effects %v, want %v", effects, want)
			}
		})
	}
	t.Run("a peer's state is asked for after a while when the log is silent", func(t *testing.T) {
		s := New(self)
		peer := fuchsiapitch.NewHost("host-b", "127.0.0.1:2", "gt-xela", 1)
		s.Apply(at(0), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{Sender: peer, ConfigurationOffset: 9}})
		want := FetchConfiguration{Host: peer}
		if effects := s.Apply(at(lagTolerance-1), Ticked{}); slices.Contains(effects, Effect(want)) {
			t.Errorf("got effects %v, want no fetch yet", effects)
		}
		if effects := s.Apply(at(lagTolerance), Ticked{}); !slices.Contains(effects, Effect(want)) {
			t.Errorf("got effects %v, want %v", effects, want)
		}
	})
	t.Run("a change reaches a whole data centre of which one host has the log", func(t *testing.T) {
		const hosts = 58
		sm := newConfigurationSimulation(hosts)
		sm.publish(sm.hosts[0], "a")
		sm.advance(15 * time.Second)
		for _, h := range sm.hosts[1:] {
			h.logUnavailable = true
		}
		sm.advance(time.Second)
		for range 3 {
			sm.publish(sm.hosts[0], "a")
			want := fuchsiapitch.Offset(len(sm.records))
			sm.advance(4 * time.Second)
			sm.requireNoFailure(t)
			for i, h := range sm.hosts {
				if got := h.state.Configuration().Offset(); got < want {
					t.Errorf("host %d after 4 s: got offset %d, want %d", i, got, want)
				}
			}
		}
	})
	for _, size := range []int{4, 20} {
		t.Run(fmt.Sprint("a change reaches a data centre that the log refuses, of hosts: ", size), func(t *testing.T) {
			sm := newDataCentreSimulation(2, size)
			sm.publish(sm.hosts[0], "a")
			sm.advance(15 * time.Second)
			for _, h := range sm.hosts[size:] {
				h.logUnavailable = true
			}
			sm.advance(time.Second)
			for range 4 {
				sm.advance(700 * time.Millisecond)
				sm.publish(sm.hosts[0], "a")
				want := fuchsiapitch.Offset(len(sm.records))
				sm.advance(configurationBound)
				sm.requireNoFailure(t)
				late := 0
				for _, h := range sm.hosts {
					if h.state.Configuration().Offset() < want {
						late++
					}
				}
				if late > 0 {
					t.Errorf("after %s: got %d of %d hosts without the change, want none", configurationBound, late, len(sm.hosts))
				}
			}
		})
	}
	t.Run("a host without log and peers is not ready", func(t *testing.T) {
		sm := newConfigurationSimulation(2)
		sm.publish(sm.hosts[0], "a")
		sm.hosts[0].logUnavailable, sm.hosts[0].partitioned = true, true
		sm.advance(4 * time.Second)
		if sm.hosts[0].state.ConfigurationReady() || !sm.hosts[1].state.ConfigurationReady() {
			t.Errorf("got ready %v and %v, want false and true", sm.hosts[0].state.ConfigurationReady(), sm.hosts[1].state.ConfigurationReady())
		}
	})
	t.Run("two hosts that disagree at one offset are reported", func(t *testing.T) {
		sm := newConfigurationSimulation(2)
		sm.publish(sm.hosts[0], "a")
		sm.advance(time.Second)
		h := sm.hosts[1].state.ComposeHeartbeat()
		h.ConfigurationHash++
		sm.apply(sm.hosts[0], HeartbeatReceived{Heartbeat: h})
		assertFailure(t, sm, "configuration-agreement")
	})
	t.Run("a checkpoint is appended before records expire, by few hosts", func(t *testing.T) {
		sm := newConfigurationSimulation(4)
		sm.publish(sm.hosts[0], "a")
		sm.advance(time.Hour)
		sm.requireNoFailure(t)
		if got := len(sm.records) - 1; got < 4 || got > 8 {
			t.Errorf("got %d checkpoints in an hour, want 4 to 8", got)
		}
		sm.oldestOffset = fuchsiapitch.Offset(len(sm.records))
		for i := range sm.hosts {
			sm.restart(i)
		}
		sm.advance(4 * time.Second)
		if got := sm.hosts[0].state.Configuration().Offset(); got == 0 {
			t.Errorf("got offset %d for a host started on a truncated log, want the checkpoint's state", got)
		}
	})
	t.Run("a configuration that reverts is reported", func(t *testing.T) {
		sm := newConfigurationSimulation(1)
		sm.publish(sm.hosts[0], "a")
		sm.advance(time.Second)
		sm.hosts[0].state.setConfiguration(fuchsiapitch.Configuration{})
		sm.hosts[0].state.replication.overridden = true
		sm.apply(sm.hosts[0], Ticked{})
		assertFailure(t, sm, "configuration-revert")
	})
}
