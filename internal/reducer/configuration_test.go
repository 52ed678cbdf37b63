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

// configurationHost is one entry host with its place in the stream.
type configurationHost struct {
	state   *State
	follows bool
	from    fuchsiapitch.Offset
	logAway bool
	cutOff  bool
	started time.Duration
}

// configurationWorld runs several states against a log in memory, in virtual time.
type configurationWorld struct {
	now      time.Duration
	records  []fuchsiapitch.Record
	oldest   fuchsiapitch.Offset
	hosts    []*configurationHost
	count    int
	seen     map[fuchsiapitch.HostID]fuchsiapitch.Offset
	failures []string
}

func newConfigurationWorld(hosts int) *configurationWorld {
	w := &configurationWorld{oldest: 1, seen: make(map[fuchsiapitch.HostID]fuchsiapitch.Offset)}
	for range hosts {
		w.hosts = append(w.hosts, &configurationHost{})
	}
	for i := range hosts {
		w.restart(i)
	}
	return w
}

func (w *configurationWorld) identity(i int) fuchsiapitch.Host {
	w.count++
	return fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprint("host-", i)), fmt.Sprint("127.0.0.1:", i+1), "gt-xela", uint64(w.count))
}

// restart replaces a host by a new process that knows nothing.
func (w *configurationWorld) restart(i int) {
	var others []fuchsiapitch.Host
	for j := range w.hosts {
		if j != i {
			others = append(others, fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprint("host-", j)), fmt.Sprint("127.0.0.1:", j+1), "gt-xela", 0))
		}
	}
	h := w.hosts[i]
	*h = configurationHost{state: New(w.identity(i), WithCandidates(others...)), logAway: h.logAway, cutOff: h.cutOff, started: w.now}
	w.seen[h.state.self] = 0
}

func (w *configurationWorld) apply(h *configurationHost, event Event) {
	for _, e := range h.state.Apply(at(w.now-h.started), event) {
		w.carryOut(h, e)
	}
	offset := h.state.Configuration().Offset()
	if offset < w.seen[h.state.self] {
		w.fail("host %s went from offset %d to %d", h.state.self, w.seen[h.state.self], offset)
	}
	w.seen[h.state.self] = offset
}

func (w *configurationWorld) fail(format string, values ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, values...))
}

func (w *configurationWorld) carryOut(h *configurationHost, effect Effect) {
	switch e := effect.(type) {
	case FollowStream:
		if e.Stream == ConfigurationStream {
			h.follows, h.from = true, e.From
		}
	case AppendRecord:
		if e.Stream == ConfigurationStream && !h.logAway {
			w.append(e.Record)
		}
	case SendHeartbeat:
		w.beat(h, e)
	case FetchState:
		w.fetch(h, e)
	case ReportViolation:
		w.fail("host %s: %v", h.state.self, e.Violation)
	}
}

func (w *configurationWorld) append(r fuchsiapitch.Record) {
	w.records = append(w.records, r.At(fuchsiapitch.Offset(len(w.records)+1)))
}

func (w *configurationWorld) find(id fuchsiapitch.HostID) *configurationHost {
	for _, h := range w.hosts {
		if h.state != nil && h.state.self == id {
			return h
		}
	}
	return nil
}

func (w *configurationWorld) beat(h *configurationHost, e SendHeartbeat) {
	to := w.find(e.To.ID())
	if to == nil || h.cutOff || to.cutOff {
		w.apply(h, HeartbeatFailed{Host: e.To.ID()})
		return
	}
	w.apply(to, HeartbeatReceived{Heartbeat: e.Heartbeat})
	w.apply(h, HeartbeatReceived{Heartbeat: to.state.ComposeHeartbeat()})
}

func (w *configurationWorld) fetch(h *configurationHost, e FetchState) {
	fetched := StateFetched{Host: e.Host.ID()}
	if to := w.find(e.Host.ID()); to != nil && !h.cutOff && !to.cutOff {
		fetched.Snapshot = to.state.ConfigurationSince(e.Since)
	}
	w.apply(h, fetched)
}

// read gives a host the next records, as the runner does.
func (w *configurationWorld) read(h *configurationHost) {
	switch {
	case !h.follows:
	case h.logAway:
		w.apply(h, ReadFailed{Stream: ConfigurationStream})
	case h.from < w.oldest:
		h.follows = false
		w.apply(h, ReadTruncated{Stream: ConfigurationStream, Oldest: w.oldest})
	default:
		last := min(int(h.from)-1+BatchLimit, len(w.records))
		batch := fuchsiapitch.NewBatch(w.records[min(int(h.from)-1, last):last], w.oldest, fuchsiapitch.Offset(last+1))
		from := h.from
		h.from = batch.Next()
		w.apply(h, RecordsRead{Stream: ConfigurationStream, From: from, Batch: batch})
	}
}

// pass lets time pass in steps of one tick.
func (w *configurationWorld) pass(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += TickPeriod {
		for _, h := range w.hosts {
			w.apply(h, Ticked{})
			w.read(h)
		}
	}
}

// publish appends a change with the parent that some host knows.
func (w *configurationWorld) publish(h *configurationHost, name string) {
	key := configurer.NewKey(configurer.RankKind, name)
	current, _ := h.state.following.follower.Fold().Entry(key)
	w.count++
	data, err := encoder.EncodeConfiguration(configurer.Publication{Changes: []configurer.Change{
		{Key: key, Parent: current.Revision, Content: []byte(fmt.Sprint(w.count))},
	}})
	if err != nil {
		w.fail("encode: %v", err)
	}
	w.append(fuchsiapitch.NewRecord(fuchsiapitch.RecordID(fmt.Sprint("publication-", w.count)), data))
}

// recoverable reports whether the state after every record still exists.
func (w *configurationWorld) recoverable() bool {
	for _, h := range w.hosts {
		if h.state.following.follower.Fold().Offset()+1 >= w.oldest {
			return true
		}
	}
	return false
}

// heal ends every fault.
func (w *configurationWorld) heal() {
	for _, h := range w.hosts {
		h.logAway, h.cutOff = false, false
	}
}

func (w *configurationWorld) assertSound(t rapid.TB) {
	t.Helper()
	for _, f := range w.failures {
		t.Fatalf("after %s: got failure %s, want none", w.now, f)
	}
}

// assertInForce checks that every host has everything within the target of 4 s.
func (w *configurationWorld) assertInForce(t rapid.TB) {
	t.Helper()
	w.heal()
	possible, want := w.recoverable(), fuchsiapitch.Offset(len(w.records))
	w.pass(4 * time.Second)
	w.assertSound(t)
	for i, h := range w.hosts {
		if got := h.state.Configuration().Offset(); possible && got < want {
			t.Fatalf("host %d 4 s after the faults: got offset %d, want %d", i, got, want)
		}
		if got := h.state.ConfigurationReady(); possible && !got {
			t.Fatalf("host %d 4 s after the faults: got ready %v, want true", i, got)
		}
	}
}

func assertViolation(t *testing.T, w *configurationWorld, invariant string) {
	t.Helper()
	if got := strings.Join(w.failures, "; "); !strings.Contains(got, invariant) {
		t.Errorf("got failures %q, want a violation of %s", got, invariant)
	}
}

func TestConfiguration(t *testing.T) {
	t.Run("no fault makes a host revert, disagree or stay behind", rapid.MakeCheck(func(t *rapid.T) {
		w := newConfigurationWorld(4)
		drawHost := func(t *rapid.T) *configurationHost {
			return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { w.assertSound(t) },
			"pass":    func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * TickPeriod) },
			"publish": func(t *rapid.T) { w.publish(drawHost(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")) },
			"restart": func(t *rapid.T) { w.restart(rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")) },
			"log":     func(t *rapid.T) { h := drawHost(t); h.logAway = !h.logAway },
			"cut":     func(t *rapid.T) { h := drawHost(t); h.cutOff = !h.cutOff },
			"truncate": func(t *rapid.T) {
				w.oldest = max(w.oldest, fuchsiapitch.Offset(rapid.IntRange(1, len(w.records)+1).Draw(t, "oldest")))
			},
			"repeat": func(t *rapid.T) {
				if len(w.records) > 0 {
					w.append(rapid.SampledFrom(w.records).Draw(t, "record"))
				}
			},
		})
		w.assertInForce(t)
	}))
	t.Run("a host that starts while the log is away takes a peer's state", func(t *testing.T) {
		w := newConfigurationWorld(2)
		w.publish(w.hosts[0], "a")
		w.pass(time.Second)
		w.hosts[0].logAway, w.hosts[1].logAway = true, true
		w.restart(1)
		w.pass(4 * time.Second)
		w.assertSound(t)
		if got := w.hosts[1].state.Configuration().Offset(); got == 0 || !w.hosts[1].state.ConfigurationReady() {
			t.Errorf("got offset %d and ready %v, want the peer's state", got, w.hosts[1].state.ConfigurationReady())
		}
	})
	t.Run("a host that reads a long stream is not ready before its end", func(t *testing.T) {
		w := newConfigurationWorld(1)
		for range BatchLimit + 1 {
			w.append(fuchsiapitch.NewRecord("garbled", nil))
		}
		w.apply(w.hosts[0], Ticked{})
		for _, want := range []bool{false, true} {
			w.read(w.hosts[0])
			if got := w.hosts[0].state.ConfigurationReady(); got != want {
				t.Errorf("at offset %d: got ready %v, want %v", w.hosts[0].from, got, want)
			}
			if got := w.hosts[0].state.ConfigurationSince(0).Offset > 0; got != want {
				t.Errorf("at offset %d: got state for peers %v, want %v", w.hosts[0].from, got, want)
			}
		}
	})
	t.Run("a host with a peer's state abandons a read that may hang", func(t *testing.T) {
		w := newConfigurationWorld(2)
		w.publish(w.hosts[0], "a")
		w.pass(time.Second)
		s := New(self)
		snapshot := w.hosts[0].state.ConfigurationSince(0)
		effects := s.Apply(at(0), StateFetched{Host: "host-0", Snapshot: snapshot})
		if want := (FollowStream{Stream: ConfigurationStream, From: snapshot.Offset + 1}); !slices.Contains(effects, Effect(want)) {
			t.Errorf("got effects %v, want %v", effects, want)
		}
	})
	for name, fault := range map[string]Event{
		"the log is away":       ReadFailed{Stream: ConfigurationStream},
		"the log was truncated": ReadTruncated{Stream: ConfigurationStream, Oldest: 9},
	} {
		t.Run("a peer's state is asked for at once when "+name, func(t *testing.T) {
			s := New(self)
			peer := fuchsiapitch.NewHost("host-b", "127.0.0.1:2", "gt-xela", 1)
			s.Apply(at(0), fault)
			s.Apply(at(0), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{From: peer, Configuration: 9}})
			effects := s.Apply(at(TickPeriod), Ticked{})
			if want := (FetchState{Host: peer}); !slices.Contains(effects, Effect(want)) {
				t.Errorf("got effects %v, want %v", effects, want)
			}
		})
	}
	t.Run("a peer's state is asked for after a while when the log is silent", func(t *testing.T) {
		s := New(self)
		peer := fuchsiapitch.NewHost("host-b", "127.0.0.1:2", "gt-xela", 1)
		s.Apply(at(0), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{From: peer, Configuration: 9}})
		want := FetchState{Host: peer}
		if effects := s.Apply(at(lagTolerance-1), Ticked{}); slices.Contains(effects, Effect(want)) {
			t.Errorf("got effects %v, want no question yet", effects)
		}
		if effects := s.Apply(at(lagTolerance), Ticked{}); !slices.Contains(effects, Effect(want)) {
			t.Errorf("got effects %v, want %v", effects, want)
		}
	})
	t.Run("a change reaches a whole data centre of which one host has the log", func(t *testing.T) {
		const hosts = 58
		w := newConfigurationWorld(hosts)
		w.publish(w.hosts[0], "a")
		w.pass(15 * time.Second)
		for _, h := range w.hosts[1:] {
			h.logAway = true
		}
		w.pass(time.Second)
		for range 3 {
			w.publish(w.hosts[0], "a")
			want := fuchsiapitch.Offset(len(w.records))
			w.pass(4 * time.Second)
			w.assertSound(t)
			for i, h := range w.hosts {
				if got := h.state.Configuration().Offset(); got < want {
					t.Errorf("host %d after 4 s: got offset %d, want %d", i, got, want)
				}
			}
		}
	})
	t.Run("a host without log and peers is not ready", func(t *testing.T) {
		w := newConfigurationWorld(2)
		w.publish(w.hosts[0], "a")
		w.hosts[0].logAway, w.hosts[0].cutOff = true, true
		w.pass(4 * time.Second)
		if w.hosts[0].state.ConfigurationReady() || !w.hosts[1].state.ConfigurationReady() {
			t.Errorf("got ready %v and %v, want false and true", w.hosts[0].state.ConfigurationReady(), w.hosts[1].state.ConfigurationReady())
		}
	})
	t.Run("two hosts that disagree at one offset are reported", func(t *testing.T) {
		w := newConfigurationWorld(2)
		w.publish(w.hosts[0], "a")
		w.pass(time.Second)
		h := w.hosts[1].state.ComposeHeartbeat()
		h.ConfigurationHash++
		w.apply(w.hosts[0], HeartbeatReceived{Heartbeat: h})
		assertViolation(t, w, "configuration-agreement")
	})
	t.Run("a checkpoint is appended before records expire, by few hosts", func(t *testing.T) {
		w := newConfigurationWorld(4)
		w.publish(w.hosts[0], "a")
		w.pass(time.Hour)
		w.assertSound(t)
		if got := len(w.records) - 1; got < 4 || got > 8 {
			t.Errorf("got %d checkpoints in an hour, want 4 to 8", got)
		}
		w.oldest = fuchsiapitch.Offset(len(w.records))
		for i := range w.hosts {
			w.restart(i)
		}
		w.pass(4 * time.Second)
		if got := w.hosts[0].state.Configuration().Offset(); got == 0 {
			t.Errorf("got offset %d for a host started on a truncated log, want the checkpoint's state", got)
		}
	})
	t.Run("a configuration that reverts is reported", func(t *testing.T) {
		w := newConfigurationWorld(1)
		w.publish(w.hosts[0], "a")
		w.pass(time.Second)
		w.hosts[0].state.setConfiguration(fuchsiapitch.Configuration{})
		w.hosts[0].state.following.described = true
		w.apply(w.hosts[0], Ticked{})
		assertViolation(t, w, "configuration-revert")
	})
}
